"""Holders' questions that wait for an answer at one engine."""

from __future__ import annotations

import asyncio
import typing as t
from dataclasses import dataclass

from gradelug_policy import Demand, Popularity, priority
from returns.result import Failure

from .questions import Answer, Decline, Question


@dataclass(slots=True)
class Waiter:
    """A question that is not answered yet.

    Parameters
    ----------
    question : Question
        What is asked.
    asked_at : float
        When, by the runtime's clock.
    fut : Future
        Takes the answer.
    needed_load : bool
        Whether the adapter was not there when it was asked for.
    """

    question: Question
    asked_at: float
    fut: asyncio.Future[Answer]
    needed_load: bool = False

    @property
    def since(self) -> float:
        """Since when the first of the requests has waited."""
        return self.asked_at - self.question.waited_s

    def priority(self, now: float) -> float:
        """Return how urgent it is; the greater goes first."""
        return priority(self.question.weight, now - self.since)


class Waiters:
    """All questions that wait at one engine."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> t.Iterator[Waiter]:
        return iter(list(self._waiters))

    def add(self, waiter: Waiter) -> None:
        """Let a question wait."""
        self._waiters.append(waiter)

    def drop(self, waiter: Waiter) -> None:
        """Forget a question; nothing happens if it does not wait."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def answer(self, waiter: Waiter, answer: Answer) -> None:
        """Answer a question."""
        self._waiters.remove(waiter)
        if not waiter.fut.done():
            waiter.fut.set_result(answer)

    def decline_all(self, decline: Decline) -> None:
        """Decline every question."""
        for waiter in self:
            self.answer(waiter, Failure(decline))

    def of(self, key: str) -> list[Waiter]:
        """Return the questions for an adapter version."""
        return [waiter for waiter in self._waiters if waiter.question.key == key]

    def wanted(self) -> int:
        """Return how many requests wait."""
        return sum(waiter.question.want for waiter in self._waiters)

    def by_priority(self, now: float) -> list[Waiter]:
        """Return the questions, the most urgent first."""
        self._waiters.sort(key=lambda waiter: -waiter.priority(now))
        return list(self._waiters)

    def demands(
        self, now: float, popularity: Popularity, is_to_load: t.Callable[[str], bool]
    ) -> list[Demand]:
        """Return what is waited for, by adapter version.

        Parameters
        ----------
        now : float
            By the runtime's clock.
        popularity : Popularity
            How often each is asked for.
        is_to_load : callable
            Tells whether an adapter version is to be brought in.
        """
        by_key: dict[str, list[Waiter]] = {}
        for waiter in self._waiters:
            if is_to_load(waiter.question.key):
                by_key.setdefault(waiter.question.key, []).append(waiter)
        return [
            Demand(
                key=key,
                waiters=sum(waiter.question.want for waiter in waiters),
                weight=sum(waiter.question.weight * waiter.question.want for waiter in waiters),
                since=min(waiter.since for waiter in waiters),
                rate=popularity.rate(key, now),
            )
            for key, waiters in by_key.items()
        ]
