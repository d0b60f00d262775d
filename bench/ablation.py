"""Measures the worth of each placement mechanism by switching it off.

``python -m bench.ablation PLAYER --sites SITE...`` copies the checkout once for each
switch of `Policy` and turns the switch off in the settings template of the copy. It
plays the days with the users' player and prints a table of each mechanism's worth. The
player's journal entries are copied back.
"""

import json
import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, fields
from pathlib import Path
from statistics import mean

import defopt

from lacewingcross.core.policy import Policy

ROOT = Path(__file__).resolve().parent.parent
TEMPLATE = Path("deploy/host.json.tmpl")
ALL_ON = "(nothing)"
# Timeout of one play, in seconds. The longest day takes some minutes when other plays
# run at the same time.
PLAY_TIMEOUT_S = 1800.0
_WORTH = re.compile(r"^worth (-?\d+\.\d+) =", re.MULTILINE)


@dataclass(slots=True, frozen=True)
class Play:
    """One day of one site, played with one switch off."""

    switch: str
    site: Path
    day: str
    seed: int


@dataclass(slots=True, frozen=True)
class PlayResult:
    """A play and its worth, or None if the player printed none."""

    play: Play
    worth: float | None


def copy_checkout(folder: Path) -> None:
    """Copy the files that git tracks and the build output into a folder."""
    tracked = subprocess.run(
        ["git", "ls-files"], cwd=ROOT, check=True, capture_output=True, text=True
    )
    for name in tracked.stdout.splitlines():
        if name.startswith("journal/") or not (ROOT / name).is_file():
            continue
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(ROOT / name, folder / name)
    if (ROOT / "target").is_dir():
        shutil.copytree(ROOT / "target", folder / "target")
    (folder / "journal").mkdir()


def switch_off(folder: Path, switch: str) -> None:
    """Turn a switch off in the settings template of a copy."""
    path = folder / TEMPLATE
    text = path.read_text().rstrip().removesuffix("}").rstrip()
    # The template format of the platform needs a space between a brace and a
    # placeholder.
    policy = json.dumps({switch: False})
    path.write_text(f'{text},\n  "policy": {policy}\n}}\n')


def prepare_copy(work: Path, switch: str) -> Path:
    """Return a copy of the checkout with a switch off."""
    folder = work / (switch if switch != ALL_ON else "all-on")
    folder.mkdir(parents=True)
    copy_checkout(folder)
    if switch != ALL_ON:
        switch_off(folder, switch)
    return folder


def worth_of(output: str) -> float | None:
    """Return the worth that the player printed, or None."""
    match = _WORTH.search(output)
    return float(match.group(1)) if match else None


def run_play(player: Path, folder: Path, play: Play) -> PlayResult:
    """Play one day in a copy."""
    command = [str(player), "run", str(play.site.resolve()), play.day, "--no-cpu"]
    command += ["--jobs", "1", "--why", f"ablation: {play.switch} off"]
    if play.seed:
        command += ["--seed", str(play.seed)]
    process = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S
    )
    return PlayResult(play, worth_of(process.stdout))


def table(results: list[PlayResult]) -> Iterator[str]:
    """Yield the lines of a table: a row for each switch, a column for each site."""
    sites = sorted({item.play.site for item in results})
    yield "| off | " + " | ".join(site.stem for site in sites) + " |"
    yield "|---|" + "---|" * len(sites)
    switches = dict.fromkeys(item.play.switch for item in results)
    for switch in switches:
        cells = [_cell(results, switch, site) for site in sites]
        yield f"| {switch} | " + " | ".join(cells) + " |"


def _cell(results: list[PlayResult], switch: str, site: Path) -> str:
    worths = _worths(results, switch, site)
    if not worths:
        return "-"
    all_on_worths = _worths(results, ALL_ON, site)
    if switch == ALL_ON or not all_on_worths:
        return f"{mean(worths):.3f}"
    return f"{mean(worths):.3f} ({mean(worths) - mean(all_on_worths):+.3f})"


def _worths(results: list[PlayResult], switch: str, site: Path) -> list[float]:
    return [
        item.worth
        for item in results
        if (item.play.switch, item.play.site) == (switch, site)
        and item.worth is not None
    ]


def ablate(
    player: Path,
    sites: list[Path],
    *,
    days: list[str] | None = None,
    seeds: list[int] | None = None,
    jobs: int = 4,
    switches: list[str] | None = None,
) -> None:
    """Play days with each mechanism switched off and print its worth.

    Parameters
    ----------
    player
        The users' program that plays days.
    sites
        Site files.
    days
        Names of days in the site files; by default ``scale-1`` and ``trouble-1``.
    seeds
        Seeds; 0 means the day's own seed, which is the default.
    jobs
        Number of plays that run at the same time.
    switches
        Switches to try; by default all.
    """
    names = switches or [field.name for field in fields(Policy)]
    with tempfile.TemporaryDirectory(dir=ROOT.parent, prefix="ablation-") as work:
        folders = {name: prepare_copy(Path(work), name) for name in [ALL_ON, *names]}
        plays = [
            Play(name, site, day, seed)
            for site in sites
            for name in folders
            for day in days or ["scale-1", "trouble-1"]
            for seed in seeds or [0]
        ]
        with ThreadPoolExecutor(jobs) as pool:
            results = list(
                pool.map(
                    lambda play: run_play(player, folders[play.switch], play), plays
                )
            )
        for folder in folders.values():
            shutil.copytree(folder / "journal", ROOT / "journal", dirs_exist_ok=True)
    lines = list(table(results))
    sys.stdout.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    defopt.run(ablate)
