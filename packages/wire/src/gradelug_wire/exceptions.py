"""Errors of talking to a peer."""

from __future__ import annotations


class PeerUnavailable(Exception):
    """A peer did not answer in time; what was asked may or may not have been done."""
