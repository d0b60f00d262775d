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
    path = asyncio.run(measure_path())
    _save("path.json", path)
    for name, value in path.items():
        print(f"{name} {value:.1f}")
    trial = slots.measure_slots()
    _save("slots.json", trial)
    slots.print_rows(trial)
    whole = asyncio.run(scenarios.measure_scenarios())
    _save("scenarios.json", whole)
    (RESULTS / "report.html").write_text(render(whole), encoding="utf-8")
    print("bench/results/report.html: written")


if __name__ == "__main__":
    main()
