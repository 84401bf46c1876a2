"""Selectors over labels, in the well-known equality and set syntax."""

from __future__ import annotations

import re
import typing as t
from dataclasses import dataclass
from enum import Enum

from .exceptions import SelectorError

Labels = t.Mapping[str, str]

_NAME = r"[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?"
_name_re = re.compile(rf"^{_NAME}$")
_set_re = re.compile(rf"^({_NAME})\s+(in|notin)\s+\(([^()]*)\)$")
_equality_re = re.compile(rf"^({_NAME})\s*(==|=|!=)\s*({_NAME})?$")
_exists_re = re.compile(rf"^(!?)\s*({_NAME})$")
_split_re = re.compile(r",(?![^()]*\))")


class Operator(Enum):
    """How a requirement compares a label with its values."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    ABSENT = "!"


@dataclass(slots=True, frozen=True)
class Requirement:
    """One term of a selector."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Labels) -> bool:
        """Tell whether `labels` meet this term."""
        value = labels.get(self.key)
        if self.operator is Operator.EXISTS:
            return value is not None
        if self.operator is Operator.ABSENT:
            return value is None
        # As in the syntax we follow, an absent label satisfies `!=` and `notin`.
        return (value in self.values) == (self.operator is Operator.IN)

    def describe(self, labels: Labels) -> str:
        """Return a sentence on why this term does or does not match."""
        found = labels.get(self.key)
        state = "is absent" if found is None else f"is {found!r}"
        verdict = "holds" if self.matches(labels) else "does not hold"
        values = ",".join(sorted(self.values))
        return f"{self.key} {state}: {self.operator.value} ({values}) {verdict}"


@dataclass(slots=True, frozen=True)
class Selector:
    """A conjunction of requirements; the empty selector matches everything.

    Examples
    --------
    >>> Selector.parse("org=tax, region in (ub, darkhan)").matches({"org": "tax", "region": "ub"})
    True
    """

    requirements: tuple[Requirement, ...] = ()

    @classmethod
    def parse(cls, text: str) -> Selector:
        """Parse the textual form.

        Raises
        ------
        SelectorError
            With the term that could not be read.
        """
        if not text.strip():
            return cls()
        return cls(tuple(_parse_term(term.strip()) for term in _split_re.split(text)))

    def matches(self, labels: Labels) -> bool:
        """Tell whether `labels` meet every requirement."""
        return all(requirement.matches(labels) for requirement in self.requirements)

    def describe(self, labels: Labels) -> tuple[str, ...]:
        """Return a sentence per requirement."""
        return tuple(requirement.describe(labels) for requirement in self.requirements)

    def __str__(self) -> str:
        return ",".join(_format_term(requirement) for requirement in self.requirements)


def check_name(text: str) -> bool:
    """Tell whether `text` may be used as a label's key or value."""
    return bool(_name_re.match(text))


def _parse_term(term: str) -> Requirement:
    match = _set_re.match(term)
    if match:
        values = frozenset(value.strip() for value in match.group(3).split(","))
        if not all(check_name(value) for value in values):
            raise SelectorError(f"the values in {term!r} must be names separated by commas")
        operator = Operator.IN if match.group(2) == "in" else Operator.NOT_IN
        return Requirement(match.group(1), operator, values)
    match = _equality_re.match(term)
    if match and match.group(3):
        operator = Operator.NOT_IN if match.group(2) == "!=" else Operator.IN
        return Requirement(match.group(1), operator, frozenset([match.group(3)]))
    match = _exists_re.match(term)
    if match:
        operator = Operator.ABSENT if match.group(1) else Operator.EXISTS
        return Requirement(match.group(2), operator)
    raise SelectorError(
        f"{term!r} is not a selector term; write a=b, a!=b, a in (b,c), a notin (b,c), a or !a"
    )


def _format_term(requirement: Requirement) -> str:
    values = sorted(requirement.values)
    if requirement.operator is Operator.EXISTS:
        return requirement.key
    if requirement.operator is Operator.ABSENT:
        return f"!{requirement.key}"
    if len(values) == 1:
        sign = "=" if requirement.operator is Operator.IN else "!="
        return f"{requirement.key}{sign}{values[0]}"
    return f"{requirement.key} {requirement.operator.value} ({','.join(values)})"
