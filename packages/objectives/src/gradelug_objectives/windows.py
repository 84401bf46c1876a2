"""Windows over service-level objectives: counts by the minute, histograms by the slice.

A router keeps them in memory and loses them when it restarts; what a window covers is part of
what it tells.
"""

from __future__ import annotations

import base64
import typing as t
from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MINUTE_S = 60.0
KEPT_MINUTES = 360
SLICE_MINUTES = 10
KEPT_SLICES = 6
MAX_ADAPTERS = 1000
MOST_MS = 600_000
DIGITS = 2


@dataclass(slots=True, frozen=True)
class Limits:
    """What counts as good.

    Parameters
    ----------
    first_token_s, between_tokens_s, stall_s : float
        Longest time to the first token, mean time between tokens, and wait for a load.
    """

    first_token_s: float
    between_tokens_s: float
    stall_s: float


@dataclass(slots=True, frozen=True)
class Served:
    """One request that has ended; times in seconds, None where there was none.

    Parameters
    ----------
    adapter : str
        Adapter and version.
    answered : bool
        Whether its caller got a whole answer.
    """

    adapter: str
    answered: bool
    first_token_s: float | None = None
    between_tokens_s: float | None = None
    stall_s: float = 0.0


INDICATORS = ("availability", "first_token", "between_tokens", "load_stall")


@dataclass(slots=True)
class Minute:
    """Counts of one minute.

    Parameters
    ----------
    number : int
        Minutes since the epoch.
    total : int
        Requests that ended.
    bad : dict of str to int
        Those that missed an objective, by indicator.
    """

    number: int
    total: int = 0
    bad: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Slice:
    number: int
    histograms: dict[str, HdrHistogram] = field(default_factory=dict)


class Window:
    """What is known of one objective.

    Parameters
    ----------
    limits : Limits
        What counts as good.
    """

    __slots__ = ("_slices", "limits", "minutes", "worst")

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.minutes: list[Minute] = []
        self.worst: Counter[str] = Counter()
        """Misses by adapter, of the adapters that miss most."""
        self._slices: list[_Slice] = []

    def note(self, served: Served, now: float) -> None:
        """Count a request; `now` is wall-clock time in seconds."""
        minute = self._minute(int(now // MINUTE_S))
        minute.total += 1
        missed = [name for name in INDICATORS if self._misses(name, served)]
        for name in missed:
            minute.bad[name] = minute.bad.get(name, 0) + 1
        if missed:
            self._note_worst(served.adapter)
        self._record(int(now // MINUTE_S) // SLICE_MINUTES, served)

    def histogram(self, indicator: str) -> HdrHistogram:
        """Return the times of the kept slices, in milliseconds."""
        joined = _new_histogram()
        for item in self._slices:
            if indicator in item.histograms:
                joined.add(item.histograms[indicator])
        return joined

    def to_plain(self) -> dict[str, t.Any]:
        """Return what a router tells."""
        return {
            "minutes": [[m.number, m.total, m.bad] for m in self.minutes],
            "worst": dict(self.worst.most_common(20)),
            "histograms": {
                name: base64.b64encode(self.histogram(name).encode()).decode()
                for name in INDICATORS[1:]
            },
        }

    def _misses(self, indicator: str, served: Served) -> bool:
        if indicator == "availability":
            return not served.answered
        value, limit = {
            "first_token": (served.first_token_s, self.limits.first_token_s),
            "between_tokens": (served.between_tokens_s, self.limits.between_tokens_s),
            "load_stall": (served.stall_s, self.limits.stall_s),
        }[indicator]
        return value is not None and value > limit

    def _minute(self, number: int) -> Minute:
        if not self.minutes or self.minutes[-1].number != number:
            self.minutes.append(Minute(number))
            oldest = number - KEPT_MINUTES
            self.minutes = [minute for minute in self.minutes if minute.number > oldest]
        return self.minutes[-1]

    def _note_worst(self, adapter: str) -> None:
        self.worst[adapter] += 1
        if len(self.worst) > MAX_ADAPTERS:
            self.worst = Counter(dict(self.worst.most_common(MAX_ADAPTERS // 2)))

    def _record(self, number: int, served: Served) -> None:
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
            del self._slices[:-KEPT_SLICES]
        times = (
            ("first_token", served.first_token_s),
            ("between_tokens", served.between_tokens_s),
            ("load_stall", served.stall_s or None),
        )
        for name, seconds in times:
            if seconds is not None:
                histogram = self._slices[-1].histograms.setdefault(name, _new_histogram())
                histogram.record_value(min(MOST_MS, max(1, round(seconds * 1000))))


class Joined:
    """The windows of several routers on one objective."""

    __slots__ = ("histograms", "minutes", "worst")

    def __init__(self) -> None:
        self.minutes: dict[int, Minute] = {}
        self.worst: Counter[str] = Counter()
        self.histograms = {name: _new_histogram() for name in INDICATORS[1:]}

    def add(self, plain: t.Mapping[str, t.Any]) -> None:
        """Add what one router told."""
        for number, total, bad in plain["minutes"]:
            minute = self.minutes.setdefault(number, Minute(number))
            minute.total += total
            for name, count in bad.items():
                minute.bad[name] = minute.bad.get(name, 0) + count
        self.worst.update(plain["worst"])
        for name, text in plain["histograms"].items():
            self.histograms[name].add(HdrHistogram.decode(base64.b64decode(text)))

    def share_bad(self, indicator: str, last: int, minutes: int) -> float | None:
        """Return the share of misses in the minutes up to `last`, None without requests."""
        chosen = [self.minutes[n] for n in range(last - minutes + 1, last + 1) if n in self.minutes]
        total = sum(minute.total for minute in chosen)
        if not total:
            return None
        return sum(minute.bad.get(indicator, 0) for minute in chosen) / total


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MOST_MS, DIGITS)
