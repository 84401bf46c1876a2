"""The platform's instance list, in the published format of HTTP service discovery."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

import aiohttp

from .exceptions import UpstreamUnavailable

CALL_LIMIT_S = 2.0
LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class Instance:
    """One instance as the list shows it, late as it may be.

    Parameters
    ----------
    address : str
        ``IP:port``.
    leaving : bool
        Whether it is on its way out.
    """

    address: str
    leaving: bool


class InstanceList(t.Protocol):
    """Shows live and leaving instances, with a lag."""

    async def fetch(self) -> dict[str, Instance]:
        """Return the instances by address; raises `UpstreamUnavailable`."""
        ...


class HttpInstanceList:
    """Reads groups of ``{"targets": [...], "labels": {"state": ...}}``.

    Parameters
    ----------
    session : aiohttp.ClientSession
        For the calls.
    address : str
        ``http://IP:port`` of the list.
    """

    __slots__ = ("_session", "_url")

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._url = f"{address}/instances"

    async def fetch(self) -> dict[str, Instance]:
        """Return the instances by address."""
        limits = aiohttp.ClientTimeout(total=CALL_LIMIT_S)
        try:
            async with self._session.get(self._url, timeout=limits) as res:
                return read_groups(await res.json(content_type=None))
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            raise UpstreamUnavailable(f"instance list: {exc!r}") from exc


def read_groups(groups: t.Any) -> dict[str, Instance]:
    """Return the instances of a list's answer; raises `UpstreamUnavailable` for other shapes."""
    if not isinstance(groups, list):
        raise UpstreamUnavailable("the instance list's answer is not a list")
    found = {}
    for group in groups:
        targets = group.get("targets") if isinstance(group, dict) else None
        if not isinstance(targets, list) or not all(isinstance(item, str) for item in targets):
            raise UpstreamUnavailable("a group of the instance list has no targets")
        labels = group.get("labels")
        leaving = isinstance(labels, dict) and labels.get("state") == LEAVING
        found.update({target: Instance(target, leaving) for target in targets})
    return found
