"""Plots one run: the responses in each second, and below them the faults."""

from pathlib import Path

import matplotlib.pyplot as plt

from .run import Result


def draw_series(result: Result, path: Path) -> None:
    """Write the plot of a run to a PNG file."""
    figure, (response_axes, fault_axes) = plt.subplots(
        2, 1, sharex=True, figsize=(9, 6)
    )
    seconds = [row[0] for row in result.series]
    for column, name in enumerate(("served", "refused", "failed"), start=1):
        response_axes.plot(seconds, [row[column] for row in result.series], label=name)
    response_axes.set_ylabel("answers a second")
    response_axes.legend()
    for item in result.violations:
        response_axes.axvline(item.at, color="red", linewidth=0.5)
    for row, fault in enumerate(result.faults):
        fault_axes.barh(row, max(0.1, fault.for_s), left=fault.at)
        fault_axes.text(fault.at, row, f" {fault.kind}", fontsize=6, va="center")
    fault_axes.set_yticks([])
    fault_axes.set_xlabel("seconds")
    response_axes.set_title(f"seed {result.seed}: {len(result.violations)} broken")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
