"""The report of a trial: one HTML page with a chart, the figures, the violations and the faults."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event, intervals, operations

MAX_SHOWN = 60  # violations, and faults, that the page lists; the history holds all
COLOURS = {"ok": "#2a7f4f", "fail": "#c9a227", "unknown": "#b23a48"}
BANDS = {"kill": "#444444", "stop": "#8e6bbf"}


def draw(events: Sequence[Event], names: Sequence[str], end: float) -> bytes:
    """Return the chart as PNG: one lane per process with operations, faults, leaders and lease holders over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    lane = {name: number for number, name in enumerate(names)}
    figure, (top, bottom) = plt.subplots(
        2, 1, sharex=True, figsize=(12, 2.4 + 0.55 * len(names)), height_ratios=(max(2, len(names)), 2)
    )
    for number, (what, fields, begin, over) in enumerate(intervals(events, end)):
        if over <= begin:
            top.axvline(begin, color="#8888aa", linewidth=0.8, linestyle=":")
            continue
        if "who" in fields and what in BANDS:
            at = lane[fields["who"]]
            top.barh(at, over - begin, left=begin, height=0.8, color=BANDS[what], alpha=0.35)
            top.text(begin, at + 0.38, what, fontsize=7, va="top")
        else:
            colour = "#c0504d" if "cuts" in fields else "#4f81bd"
            for axes in (top, bottom):
                axes.axvspan(begin, over, color=colour, alpha=0.13, linewidth=0)
            top.text(begin, len(names) - 0.35 + 0.22 * (number % 2), what, fontsize=7, color=colour)
    for answer, colour in COLOURS.items():
        found = [op for op in operations(events) if op.outcome == answer and op.process in lane]
        heights = [lane[op.process] - 0.15 for op in found]
        top.scatter([op.begin for op in found], heights, s=3, color=colour, label=answer)
    led = [event for event in events if event["kind"] == "sample" and event.get("role") == "leader"]
    top.scatter([e["t"] for e in led], [lane[e["process"]] + 0.25 for e in led], s=8, marker="s", color="#d62728")
    for act in events:
        if act["kind"] == "held" and act["process"] in lane:
            top.plot([act["from"], act["to"]], [lane[act["process"]] + 0.32] * 2, color="#1f77b4", linewidth=3)
    top.set_yticks(range(len(names)), names)
    top.set_ylim(-0.6, len(names) + 0.2)
    top.legend(loc="upper right", fontsize=7, markerscale=3)
    top.set_title(
        "dots: operations by outcome; red squares: leader; blue lines: lease holder; bands: faults", fontsize=8
    )
    ends = [op.end for op in operations(events) if op.outcome == "ok"]
    ends += [act["t"] for act in events if act["kind"] == "act" and act["accepted"]]
    if ends:
        bottom.hist(ends, bins=[second / 2 for second in range(int(2 * end) + 2)], color=COLOURS["ok"])
    bottom.set_ylabel("completed per 0.5 s", fontsize=8)
    bottom.set_xlabel("seconds since the trial began")
    figure.tight_layout()
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110)
    plt.close(figure)
    return out.getvalue()


def page(title: str, about: str, summary: dict[str, Any], violations: Sequence[Violation], events: Sequence[Event],
         names: Sequence[str], end: float) -> str:  # fmt: skip
    """Return the page as HTML."""
    picture = base64.b64encode(draw(events, names, end)).decode()
    rows = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{html.escape(str(value))}</td></tr>" for name, value in summary.items()
    )
    bad = "".join(f"<li>{html.escape(str(v))}</li>" for v in violations[:MAX_SHOWN]) or "<li>none</li>"
    faults = "".join(
        f"<li>{event['t']:8.3f} s  {html.escape(_fault_text(event))}</li>"
        for event in [e for e in events if e["kind"] in ("fault", "power", "fault-not-taken")][:MAX_SHOWN]
    )
    return f"""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{html.escape(title)}</title>
<style>body {{ font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 1200px; padding: 0 1em }}
table {{ border-collapse: collapse }} td {{ border: 1px solid #ccc; padding: 2px 10px }}
img {{ max-width: 100% }} li {{ font-family: monospace; font-size: 13px }}</style></head><body>
<h1>{html.escape(title)}</h1><p>{html.escape(about)}</p>
<img alt="operations and faults over time" src="data:image/png;base64,{picture}">
<h2>Figures</h2><table>{rows}</table>
<h2>Violations: {len(violations)}</h2><ul>{bad}</ul>
<h2>Faults</h2><ul>{faults}</ul>
<p>The complete history is in history.jsonl beside this page.</p></body></html>
"""


def _fault_text(event: Event) -> str:
    return ", ".join(f"{key} {value}" for key, value in event.items() if key not in ("t", "kind", "cuts", "span"))


def write(path: Path, *of: Any) -> None:
    """Write the page to a file; `of` are the arguments of `page`."""
    path.write_text(page(*of))
