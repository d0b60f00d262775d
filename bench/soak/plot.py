"""Plots one run: the responses in each second, and below them the faults."""

from pathlib import Path

import matplotlib.pyplot as plt

from .run import Result


def draw_series(result: Result, path: Path) -> None:
    """Write the plot of a run to a PNG file."""
    figure, (answers, faults) = plt.subplots(2, 1, sharex=True, figsize=(9, 6))
    seconds = [row[0] for row in result.series]
    for column, name in enumerate(("served", "refused", "failed"), start=1):
        answers.plot(seconds, [row[column] for row in result.series], label=name)
    answers.set_ylabel("answers a second")
    answers.legend()
    for item in result.broken:
        answers.axvline(item.at, color="red", linewidth=0.5)
    for row, fault in enumerate(result.faults):
        faults.barh(row, max(0.1, fault.for_s), left=fault.at)
        faults.text(fault.at, row, f" {fault.kind}", fontsize=6, va="center")
    faults.set_yticks([])
    faults.set_xlabel("seconds")
    answers.set_title(f"seed {result.seed}: {len(result.broken)} broken")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
