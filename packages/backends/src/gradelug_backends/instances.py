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
                groups = await res.json(content_type=None)
                return {
                    target: Instance(target, group.get("labels", {}).get("state") == LEAVING)
                    for group in groups
                    for target in group["targets"]
                }
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, AttributeError) as exc:
            raise UpstreamUnavailable(f"instance list: {exc!r}") from exc
