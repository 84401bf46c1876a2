"""Errors of talking to upstreams and the platform."""

from __future__ import annotations


class UpstreamError(Exception):
    """Base class of an upstream's failures."""


class UpstreamUnavailable(UpstreamError):
    """No answer, or one that cannot be used; what was asked may or may not have been done."""


class OrderRefused(UpstreamError):
    """The engine refused an order; nothing was done.

    Attributes
    ----------
    code : str
        The engine's own word for the reason.
    """

    def __init__(self, code: str, message: str) -> None:
        self.code = code
        super().__init__(message)


class FencedOff(OrderRefused):
    """The engine has seen a later owner's token."""
