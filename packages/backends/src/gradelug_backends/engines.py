"""Orders to model engines and their reports, over the interface they publish over HTTP."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass, field

import aiohttp

from .exceptions import FencedOff, OrderRefused, UpstreamUnavailable

ORDER_LIMIT_S = 30.0
REPORT_LIMIT_S = 1.0


@dataclass(slots=True, frozen=True)
class EngineReport:
    """What an engine says of itself.

    Parameters
    ----------
    boot : str
        Changes when the engine restarts, empty.
    age_s : float
        Age of the snapshot when it was sent, in seconds: reports lag.
    fence : int
        Highest fencing token seen.
    running : dict of str to int
        Requests running or waiting, per adapter resident.
    slots : int
        Adapter slots it has.
    leaving : bool
        Whether it takes no new work.
    """

    boot: str
    age_s: float
    fence: int = 0
    running: dict[str, int] = field(default_factory=dict)
    slots: int = 0
    leaving: bool = False


class EngineControl(t.Protocol):
    """Orders to one engine. Orders carry the owner's fencing token."""

    async def claim(self, fence: int) -> None:
        """Confirm the engine's role, so that it knows the owner's token; raises as `load`."""
        ...

    async def load(self, adapter: str, path: str, fence: int) -> None:
        """Load an adapter; returns when it is resident.

        Raises
        ------
        OrderRefused
            If nothing was done.
        UpstreamUnavailable
            If it is unknown whether it was done.
        """
        ...

    async def unload(self, adapter: str, fence: int, limit_s: float) -> None:
        """Unload an adapter within `limit_s` seconds; raises as `load` does."""
        ...

    async def report(self) -> EngineReport:
        """Return the engine's report; raises `UpstreamUnavailable`."""
        ...


class HttpEngineControl:
    """Implements `EngineControl` over the engine's HTTP interface.

    Parameters
    ----------
    session : aiohttp.ClientSession
        For the calls.
    address : str
        ``http://IP:port`` of the engine.
    """

    __slots__ = ("_address", "_session")

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._address = address

    async def claim(self, fence: int) -> None:
        """Confirm the engine's role."""
        await self._order("/v1/role", {"role": "serving", "fence": fence}, REPORT_LIMIT_S)

    async def load(self, adapter: str, path: str, fence: int) -> None:
        """Load an adapter."""
        body = {"lora_name": adapter, "lora_path": path, "fence": fence}
        await self._order("/v1/load_lora_adapter", body, ORDER_LIMIT_S)

    async def unload(self, adapter: str, fence: int, limit_s: float) -> None:
        """Unload an adapter."""
        body = {"lora_name": adapter, "fence": fence}
        await self._order("/v1/unload_lora_adapter", body, limit_s)

    async def report(self) -> EngineReport:
        """Return the engine's report."""
        limits = aiohttp.ClientTimeout(total=REPORT_LIMIT_S)
        try:
            async with self._session.get(f"{self._address}/load", timeout=limits) as res:
                data = await res.json(content_type=None)
                return EngineReport(
                    boot=str(data["boot"]),
                    age_s=float(data["age_s"]),
                    fence=int(data.get("fence", 0)),
                    running={str(name): int(count) for name, count in data["adapters"].items()},
                    slots=int(data["slots"]),
                    leaving=bool(data.get("leaving", False)),
                )
        except (
            aiohttp.ClientError,
            TimeoutError,
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
        ) as exc:
            raise UpstreamUnavailable(f"report: {exc!r}") from exc

    async def _order(self, path: str, body: dict[str, t.Any], limit_s: float) -> None:
        limits = aiohttp.ClientTimeout(total=limit_s, sock_connect=REPORT_LIMIT_S)
        try:
            async with self._session.post(self._address + path, json=body, timeout=limits) as res:
                if res.status == 200:
                    # A response that breaks off is no proof that the order was carried out.
                    await res.read()
                    return
                data = await res.json(content_type=None)
                error = data["error"]
                code, message = str(error["code"]), str(error["message"])
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError) as exc:
            raise UpstreamUnavailable(f"{path}: {exc!r}") from exc
        if code == "fenced_off":
            raise FencedOff(code, message)
        raise OrderRefused(code, message)
