"""Errors of the configuration package."""

from __future__ import annotations

import typing as t

if t.TYPE_CHECKING:
    from .findings import Finding


class ConfigError(Exception):
    """Base class of everything this package raises."""


class SelectorError(ConfigError):
    """A selector's text is malformed; the message points at the offending part."""


class InvalidConfig(ConfigError):
    """A document was refused whole.

    Attributes
    ----------
    findings : tuple of Finding
        Everything that is wrong with it, in the order of the document.
    """

    def __init__(self, findings: t.Sequence[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))
