"""What this host reports to the others about silent backend servers."""

from collections.abc import Callable
from dataclasses import dataclass

from ..backend_state import Incarnation

# Server id, `born_ms`, seconds since the server last answered any host or since it
# answered again, and whether it answers again.
Item = tuple[str, int, float, bool]
# Time for which hosts that connect are told that a server answers again, in seconds. A
# host that has missed it sends a trial request within the longest pause, see
# `passive_health.CONNECT_PAUSE_MAX_S`.
ANSWERS_KEPT_S = 5.0


@dataclass(slots=True, frozen=True)
class Report:
    """A finding of this host itself.

    Attributes
    ----------
    at : float
        Since when the server has answered nobody, or when it answered again.
    answers : bool
        Whether it answers again.
    """

    at: float
    answers: bool


class SilenceReports:
    """The latest report on each run of a server that this host has reported on.

    Attributes
    ----------
    version : int
        Grows with each new report, so that a stream is sent only what it lacks.
    """

    __slots__ = ("_reports", "version")

    def __init__(self) -> None:
        self._reports: dict[Incarnation, Report] = {}
        self.version = 0

    def put(self, server: Incarnation, report: Report) -> None:
        """Replace what is reported on a run of a server."""
        self._reports[server] = report
        self.version += 1

    def withdraw_silence(self, server: Incarnation) -> None:
        """Remove a report of silence, since another host has heard the server."""
        report = self._reports.get(server)
        if report is not None and not report.answers:
            del self._reports[server]

    def says_answers(self, server: Incarnation, since: float) -> bool:
        """Return whether the others are told that a server has answered since."""
        report = self._reports.get(server)
        return report is not None and report.answers and report.at > since

    def forget_old(self, is_known: Callable[[Incarnation], bool], now: float) -> None:
        """Forget servers that are gone, and old reports that one answers again."""
        self._reports = {
            server: report
            for server, report in self._reports.items()
            if is_known(server)
            and not (report.answers and now - report.at > ANSWERS_KEPT_S)
        }

    def items(self, now: float) -> list[Item]:
        """Return the reports as they are sent."""
        return [
            (*server, max(0.0, now - report.at), report.answers)
            for server, report in self._reports.items()
        ]
