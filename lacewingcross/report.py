"""Render a benchmark result as an HTML page with plots."""

import base64
import html
import io
from collections.abc import Callable, Iterator
from typing import Any

from .errors import UserError

VERSIONS = ("lacewingcross", "naive")
FIGURES = (
    ("offered", "offered"),
    ("goodput", "goodput"),
    ("p50_ms", "p50, ms"),
    ("p99_ms", "p99, ms"),
    ("p999_ms", "p99.9, ms"),
    ("doubled", "doubled"),
    ("false_not_run", "false not-run"),
    ("drain_s", "drain, s"),
    ("most_moved_over_cap", "most moved / cap"),
)
STYLE = (
    "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
    "table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2em .6em;"
    "text-align:right}td:first-child,th:first-child{text-align:left}"
)

Cases = dict[str, dict[str, dict[str, Any]]]


def render(data: object) -> str:
    """Return a benchmark result as an HTML page.

    Parameters
    ----------
    data : object
        Decoded JSON as written by ``python -m bench.scenarios``: the figures for each
        case and version, with the sampled time series in ``series``.

    Returns
    -------
    page : str

    Raises
    ------
    UserError
        With code ``bad-result`` when `data` has another structure, or ``no-matplotlib``
        when the plotting library is not installed.
    """
    cases = _checked(data)
    parts = [
        "<!doctype html><meta charset='utf-8'><title>lacewingcross report</title>",
        f"<style>{STYLE}</style><h1>lacewingcross report</h1>",
        _table(cases),
        _refusals(cases),
        _configuration(data),
    ]
    parts += [f"<h2>{title}</h2>{image}" for title, image in _plots(cases)]
    return "\n".join(part for part in parts if part) + "\n"


def _checked(data: object) -> Cases:
    """Return the cases in `data`, without the figures for the configuration."""
    if not isinstance(data, dict):
        raise UserError("bad-result", "expected an object of cases")
    cases = {key: val for key, val in data.items() if key != "configuration"}
    for key, versions in cases.items():
        valid = isinstance(versions, dict) and all(
            isinstance(figures, dict) and "goodput" in figures
            for figures in versions.values()
        )
        if not valid:
            raise UserError("bad-result", f"{key}: expected figures for each version")
    return cases


def _rows(cases: Cases) -> Iterator[tuple[str, str, dict[str, Any]]]:
    """Yield case, version and figures for each version that a case has."""
    for key, versions in cases.items():
        for version in VERSIONS:
            if version in versions:
                yield key, version, versions[version]


def _table(cases: Cases) -> str:
    head = "".join(f"<th>{title}</th>" for _, title in FIGURES)
    lines = [f"<h2>Figures</h2><table><tr><th>case</th><th>version</th>{head}</tr>"]
    for key, version, figures in _rows(cases):
        cells = "".join(
            f"<td>{_format_number(figures.get(name))}</td>" for name, _ in FIGURES
        )
        lines.append(f"<tr><td>{html.escape(key)}</td><td>{version}</td>{cells}</tr>")
    return "\n".join(lines) + "</table>"


def _format_number(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, int | float) else "-"


def _refusals(cases: Cases) -> str:
    lines = ["<h2>Refusals and unknown outcomes</h2><table>"]
    lines.append("<tr><th>case</th><th>version</th><th>reasons</th></tr>")
    for key, version, figures in _rows(cases):
        reasons = figures.get("reasons", {})
        text = ", ".join(f"{name} {num}" for name, num in sorted(reasons.items()))
        shown = html.escape(text or "none")
        lines.append(
            f"<tr><td>{html.escape(key)}</td><td>{version}</td><td>{shown}</td></tr>"
        )
    return "\n".join(lines) + "</table>"


def _configuration(data: dict[str, Any]) -> str:
    figures = data.get("configuration", {}).get("lacewingcross", {})
    if not figures:
        return ""
    return (
        f"<h2>Configuration</h2><p>In force on {figures['hosts']:.0f} hosts: "
        f"p50 {figures['p50_ms']:.0f} ms, p99 {figures['p99_ms']:.0f} ms.</p>"
    )


def _plots(cases: Cases) -> Iterator[tuple[str, str]]:
    try:
        from matplotlib.figure import Figure
    except ImportError as exc:
        raise UserError(
            "no-matplotlib", "install lacewingcross[report] for plots"
        ) from exc

    def draw(fill: Callable[[Any], None]) -> str:
        figure = Figure(figsize=(10, 3.6))
        axes = figure.add_subplot()
        fill(axes)
        axes.grid(visible=True, alpha=0.3)
        axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))
        figure.tight_layout()
        buffer = io.BytesIO()
        figure.savefig(buffer, format="png", dpi=100)
        text = base64.b64encode(buffer.getvalue()).decode()
        return f"<img alt='plot' src='data:image/png;base64,{text}'>"

    yield "Latency percentiles", draw(lambda axes: _latency(axes, cases))
    yield "Goodput over capacity", draw(lambda axes: _goodput(axes, cases))
    yield "Requests in service over time", draw(lambda axes: _busy(axes, cases))
    yield "Shifts: buckets at home", draw(lambda axes: _shifts(axes, cases))
    yield "Most moved in a window, over the cap", draw(lambda axes: _caps(axes, cases))
    yield "Drain time", draw(lambda axes: _drains(axes, cases))


def _latency(axes: Any, cases: Cases) -> None:
    for key, version, figures in _rows(cases):
        values = [figures.get(name, 0.0) for name in ("p50_ms", "p99_ms", "p999_ms")]
        style = "-" if version == VERSIONS[0] else "--"
        axes.plot(("p50", "p99", "p99.9"), values, style, label=f"{key} {version}")
    axes.set_yscale("log")
    axes.set_ylabel("ms")


def _goodput(axes: Any, cases: Cases) -> None:
    width = 0.4
    for offset, version in enumerate(VERSIONS):
        values = [cases[key].get(version, {}).get("goodput", 0.0) for key in cases]
        positions = [index + offset * width for index in range(len(cases))]
        axes.bar(positions, values, width, label=version)
    axes.set_xticks([index + width / 2 for index in range(len(cases))], list(cases))
    axes.tick_params(labelsize=7)


def _busy(axes: Any, cases: Cases) -> None:
    for key, version, figures in _rows(cases):
        series = figures.get("series", {}).get("busy", [])
        style = "-" if version == VERSIONS[0] else "--"
        axes.plot(series, style, linewidth=1, label=f"{key} {version}")
    axes.set_xlabel("sample")
    axes.set_ylabel("slots in use")


def _shifts(axes: Any, cases: Cases) -> None:
    for key, version, figures in _rows(cases):
        points = figures.get("series", {}).get("plans", [])
        if points:
            times, home = zip(*points, strict=True)
            axes.plot(times, home, label=f"{key} {version}")
    axes.set_xlabel("s")
    axes.set_ylabel("buckets of north at home")


def _caps(axes: Any, cases: Cases) -> None:
    names = [key for key in cases if VERSIONS[0] in cases[key]]
    moved = [cases[key][VERSIONS[0]].get("most_moved_over_cap", 0.0) for key in names]
    axes.bar(names, moved, label="most moved")
    axes.axhline(1.0, color="red", linewidth=1, label="cap")
    axes.tick_params(labelsize=7)


def _drains(axes: Any, cases: Cases) -> None:
    rows = [
        (f"{key} {version}", figures["drain_s"])
        for key, version, figures in _rows(cases)
        if figures.get("drain_s")
    ]
    axes.barh([name for name, _ in rows], [value for _, value in rows], label="drain")
    axes.set_xlabel("s until idle")
