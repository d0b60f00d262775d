"""The example driver runs the core under its own clock and transport, repeatably."""

import importlib.util
from pathlib import Path

PATH = Path(__file__).parent.parent / "examples" / "drive_core.py"


def _main():
    spec = importlib.util.spec_from_file_location("drive_core", PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.main()


def test_driver_without_io_answers_or_refuses_everything_and_repeats_itself():
    first, second = _main(), _main()
    assert first.answered + first.refused == 100
    # Lower bound: four slots serve requests of 50 ms each for half a second of the
    # deadlines of one second.
    assert 35 <= first.answered <= 100
    assert (first.answered, first.refused) == (second.answered, second.refused)
    assert first.sent_between_hosts == second.sent_between_hosts
