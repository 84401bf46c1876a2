"""Why a request would go where it goes."""

from __future__ import annotations

import typing as t
from dataclasses import asdict, dataclass, field

from gradelug_config import Catalog, ConfigError, Document, Selector
from gradelug_config.findings import suggest


@dataclass(slots=True)
class Explanation:
    """Where a request goes, and the rules that decide it.

    Parameters
    ----------
    revision : int
        The configuration it follows.
    caller, model, adapter : str
        What was asked, and what would run.
    access, route, weight_rule : str
        Names of the rules that matched; empty if none did.
    pools, engines : list of str
        Where it may run.
    weight : float
        How much it counts.
    legacy : bool
        Whether the old scripts serve it.
    reasons : list of str
        The rules in the order they were tried, each with its outcome.
    """

    revision: int
    caller: str
    model: str
    adapter: str
    access: str
    route: str
    weight_rule: str
    weight: float
    legacy: bool
    pools: list[str] = field(default_factory=list)
    engines: list[str] = field(default_factory=list)
    reasons: list[str] = field(default_factory=list)

    def to_plain(self) -> dict[str, t.Any]:
        """Return a dict."""
        return asdict(self)

    def __str__(self) -> str:
        target = "the old scripts" if self.legacy else f"pools {', '.join(self.pools)}"
        lines = [
            f"{self.caller} asking for {self.model} (revision {self.revision})",
            f"  runs     {self.adapter}",
            f"  access   {self.access}",
            f"  route    {self.route or 'none: every pool that carries it'} -> {target}",
            f"  engines  {', '.join(self.engines) or '-'}",
            f"  weight   {self.weight} by {self.weight_rule or 'default'}",
            "  because",
        ]
        return "\n".join(lines + [f"    {reason}" for reason in self.reasons])


def explain(revision: int, document: Document, caller_name: str, model: str) -> Explanation:
    """Explain a request.

    Raises
    ------
    ConfigError
        If the caller or the model is unknown, or access is refused.
    """
    catalog = Catalog(revision, document)
    callers = {caller.name: caller for caller in document.callers}
    if caller_name not in callers:
        hint = suggest(caller_name, callers)
        raise ConfigError(f"there is no caller {caller_name!r}{hint}")
    caller = callers[caller_name]
    plan = catalog.plan(caller, model)
    adapter = next(item for item in document.adapters if item.name == plan.adapter.name)
    reasons: list[str] = []
    access = ""
    for rule in document.access:
        matched = _try_rule("access", rule, caller.labels, adapter.labels, reasons)
        access = access or (rule.name if matched else "")
    for route in document.routes:
        if _try_rule("route", route, caller.labels, adapter.labels, reasons):
            break
    for weight in document.weights:
        if _try_rule("weight", weight, caller.labels, adapter.labels, reasons):
            break
    engines = [
        engine.name
        for name in plan.pools
        for engine in catalog.pools[name].engines
        if engine.name not in document.draining
    ]
    return Explanation(
        revision=revision,
        caller=caller_name,
        model=model,
        adapter=str(plan.adapter),
        access=access,
        route=plan.route,
        weight_rule=plan.weight_rule,
        weight=plan.weight,
        legacy=plan.legacy,
        pools=list(plan.pools),
        engines=engines,
        reasons=reasons,
    )


def _try_rule(
    kind: str,
    rule: t.Any,
    caller_labels: t.Mapping[str, str],
    adapter_labels: t.Mapping[str, str],
    reasons: list[str],
) -> bool:
    callers, adapters = Selector.parse(rule.callers), Selector.parse(rule.adapters)
    terms = [*callers.describe(caller_labels), *adapters.describe(adapter_labels)]
    matched = callers.matches(caller_labels) and adapters.matches(adapter_labels)
    verdict = "matches" if matched else "does not match"
    reasons.append(f"{kind} {rule.name} {verdict}: {'; '.join(terms) or 'it takes everything'}")
    return matched
