"""Runs every measurement and writes the results to bench/results (`make bench`)."""

import asyncio
import json
from pathlib import Path

from lacewingcross.report import render

from . import scenarios, slots
from .path import measure_path

RESULTS = Path(__file__).parent / "results"


def _save(name: str, data: object) -> None:
    path = RESULTS / name
    path.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")


def main() -> None:
    """Measure the path, the ways of sharing slots and the scenarios."""
    RESULTS.mkdir(exist_ok=True)
    path_figures = asyncio.run(measure_path())
    _save("path.json", path_figures)
    for name, value in path_figures.items():
        print(f"{name} {value:.1f}")
    slot_figures = slots.measure_slots()
    _save("slots.json", slot_figures)
    slots.print_rows(slot_figures)
    scenario_figures = asyncio.run(scenarios.measure_scenarios())
    _save("scenarios.json", scenario_figures)
    (RESULTS / "report.html").write_text(render(scenario_figures), encoding="utf-8")
    print("bench/results/report.html: written")


if __name__ == "__main__":
    main()
