"""A chart of the policies over the scenarios."""

from __future__ import annotations

import typing as t

import matplotlib as mpl

from .measure import Figures

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

COLOURS = {"lru": "#888888", "hash": "#c9b458", "gradelug": "#2b6cb0", "bound": "#2f855a"}
BAR_WIDTH = 0.2


def draw(found: t.Sequence[Figures], path: str) -> None:
    """Draw weighted stall and batch fullness per scenario and policy."""
    scenarios = list(dict.fromkeys(figures.scenario for figures in found))
    policies = list(dict.fromkeys(figures.policy for figures in found))
    by_name = {(figures.scenario, figures.policy): figures for figures in found}
    figure, (stall, fill) = plt.subplots(2, 1, figsize=(12, 8), sharex=True)
    for offset, policy in enumerate(policies):
        places = [index + (offset - 1.5) * BAR_WIDTH for index in range(len(scenarios))]
        runs = [by_name[scenario, policy] for scenario in scenarios]
        style = {"width": BAR_WIDTH, "color": COLOURS.get(policy), "label": policy}
        stall.bar(places, [run.stall_s_per_1k for run in runs], **style)
        fill.bar(places, [run.batch_fill for run in runs], **style)
    stall.set_yscale("log")
    stall.set_ylabel("weighted stall, s per 1,000 requests")
    stall.legend(ncol=len(policies))
    fill.set_ylabel("mean fullness of batches")
    fill.set_xticks(range(len(scenarios)), scenarios, rotation=40, ha="right")
    figure.tight_layout()
    figure.savefig(path)
