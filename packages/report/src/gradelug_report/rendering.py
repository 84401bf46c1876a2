"""The report as text and as a page of its own, with pictures."""

from __future__ import annotations

import base64
import html
import io
import time
import typing as t

import matplotlib as mpl

from .burn import WINDOWS, IndicatorBurn, Report
from .gathering import Gathered

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

_STYLE = (
    "body{font-family:sans-serif;margin:2em;max-width:70em}"
    "table{border-collapse:collapse}td,th{padding:.3em .8em;border-bottom:1px solid #ccc;"
    "text-align:right}td:first-child,th:first-child{text-align:left}.alarm{color:#b00020}"
)


def to_text(report: Report) -> str:
    """Return the report as text."""
    lines = [_coverage(report), ""]
    for objective in report.objectives:
        lines.append(f"{objective.name}: target {objective.target}, {objective.requests} requests")
        head = "".join(f"{window:>8}" for window in WINDOWS)
        lines.append(f"  {'':16}{head}{'left':>8}{'p95 ms':>8}")
        for name, indicator in objective.indicators.items():
            cells = "".join(f"{cell:>8}" for cell in _cells(indicator))
            alarm = f"  {indicator.alarm} burn" if indicator.alarm else ""
            lines.append(f"  {name:16}{cells}{alarm}")
        if objective.worst:
            worst = ", ".join(f"{name} ({count})" for name, count in objective.worst.items())
            lines.append(f"  worst adapters: {worst}")
        lines.append("")
    return "\n".join(lines)


def to_page(report: Report, gathered: Gathered) -> str:
    """Return the report as one HTML page that needs nothing else."""
    parts = [f"<p>{html.escape(_coverage(report))}</p>"]
    for objective in report.objectives:
        parts.append(f"<h2>{html.escape(objective.name)}</h2>")
        parts.append(f"<p>target {objective.target}, {objective.requests} requests</p>")
        head = "".join(f"<th>{window}</th>" for window in WINDOWS)
        parts.append(f"<table><tr><th></th>{head}<th>left</th><th>p95 ms</th><th></th></tr>")
        for name, indicator in objective.indicators.items():
            cells = "".join(f"<td>{cell}</td>" for cell in _cells(indicator))
            alarm = f"{indicator.alarm} burn" if indicator.alarm else ""
            parts.append(f"<tr><td>{name}</td>{cells}<td class=alarm>{alarm}</td></tr>")
        parts.append("</table>")
        worst = ", ".join(f"{name} ({count})" for name, count in objective.worst.items())
        parts.append(f"<p>Worst adapters: {html.escape(worst) or 'none'}</p>")
    picture = base64.b64encode(draw(report, gathered)).decode()
    parts.append(f'<img alt="misses by the minute" src="data:image/png;base64,{picture}">')
    return (
        f"<!doctype html><meta charset=utf-8><title>Service-level burn</title>"
        f"<style>{_STYLE}</style><h1>Service-level burn</h1>{''.join(parts)}"
    )


def draw(report: Report, gathered: Gathered) -> bytes:
    """Return a PNG of requests and misses by the minute, a row per objective."""
    rows = max(1, len(report.objectives))
    figure, axes = plt.subplots(rows, 1, figsize=(10, 2.6 * rows), squeeze=False)
    last = int(report.now // 60)
    for axis, objective in zip(axes[:, 0], report.objectives, strict=False):
        joined = gathered.objectives.get(objective.name)
        minutes = sorted(joined.minutes.values(), key=lambda m: m.number) if joined else []
        places = [minute.number - last for minute in minutes]
        axis.bar(places, [minute.total for minute in minutes], color="#cbd5e0", label="requests")
        for name in objective.indicators:
            misses = [minute.bad.get(name, 0) for minute in minutes]
            if any(misses):
                axis.plot(places, misses, marker="o", label=name)
        axis.set_title(objective.name)
        axis.set_xlabel("minutes ago")
        axis.legend(loc="upper left", fontsize="small")
    figure.tight_layout()
    out = io.BytesIO()
    figure.savefig(out, format="png")
    plt.close(figure)
    return out.getvalue()


def _cells(indicator: IndicatorBurn) -> t.Iterator[str]:
    for window in WINDOWS:
        rate = indicator.burn[window]
        yield "-" if rate is None else f"{rate:.2f}"
    yield "-" if indicator.left is None else f"{indicator.left:.0%}"
    yield "-" if indicator.p95_ms is None else str(indicator.p95_ms)


def _coverage(report: Report) -> str:
    if not report.answered:
        text = "no router answered"
    else:
        oldest = min(report.answered.values())
        youngest = max(report.answered.values())
        text = (
            f"{len(report.answered)} routers answered; their windows reach back "
            f"{_span(report.now - youngest)} to {_span(report.now - oldest)}"
        )
    if report.silent:
        silent = "; ".join(f"{name}: {reason}" for name, reason in report.silent.items())
        text += f"; did not answer: {silent}"
    return text


def _span(seconds: float) -> str:
    return time.strftime("%H h %M min", time.gmtime(max(0.0, seconds)))
