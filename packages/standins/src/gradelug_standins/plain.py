"""The smaller stand-ins: weight store, instance list, plain service, old scripts."""

from __future__ import annotations

import asyncio
import typing as t
from collections import Counter

import aiohttp
from aiohttp import web
from gradelug_backends import OrderRefused, UpstreamUnavailable

from .framing import UNFRAMED_SHARE, Responder

STORE_LIMIT_S = 30.0


class WeightStore:
    """Hands out weights within a rate and a number of fetches at full speed.

    Parameters
    ----------
    rate : float
        Fetches that may begin per second.
    parallel : int
        Fetches at full speed; more share it.
    fetch_s : float
        Duration of a fetch at full speed.
    """

    def __init__(self, rate: float, parallel: int, fetch_s: float) -> None:
        self._rate = rate
        self._parallel = parallel
        self._fetch_s = fetch_s
        self._running = 0
        self._tokens = max(1.0, rate)
        self._at = 0.0
        self.refused = 0
        self.fetches = 0

    async def fetch(self, path: str) -> None:
        """Fetch weights; raises `OrderRefused` beyond the rate."""
        loop = asyncio.get_running_loop()
        burst = max(1.0, self._rate)
        self._tokens = min(burst, self._tokens + (loop.time() - self._at) * self._rate)
        self._at = loop.time()
        if self._tokens < 1:
            self.refused += 1
            raise OrderRefused("store_busy", "the store is at its rate")
        self._tokens -= 1
        self.fetches += 1
        self._running += 1
        try:
            await asyncio.sleep(self._fetch_s * max(1.0, self._running / self._parallel))
        finally:
            self._running -= 1

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_get("/weights/{path:.+}", self._serve)
        app.router.add_get("/_stats", self._stats)
        return app

    async def _serve(self, req: web.Request) -> web.Response:
        try:
            await self.fetch(req.match_info["path"])
        except OrderRefused:
            return web.Response(status=429, headers={"Retry-After": "1"})
        return web.Response(body=b"weights")

    async def _stats(self, req: web.Request) -> web.Response:
        return web.json_response({"fetches": self.fetches, "refused": self.refused})


class StoreClient:
    """Fetches weights for an engine over HTTP."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self, path: str) -> None:
        """Fetch weights; raises `OrderRefused`."""
        if self._session is None:
            limits = aiohttp.ClientTimeout(total=STORE_LIMIT_S)
            self._session = aiohttp.ClientSession(timeout=limits)
        try:
            async with self._session.get(f"{self._address}/weights/{path}") as res:
                await res.read()
                if res.status != 200:
                    raise OrderRefused("store_busy", f"the store answered {res.status}")
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise UpstreamUnavailable(f"store: {exc!r}") from exc


class InstanceListServer:
    """Shows instances, with a lag.

    Parameters
    ----------
    targets : sequence of str
        ``IP:port`` of the instances.
    lag_s : float
        How late a change shows.
    """

    def __init__(self, targets: t.Sequence[str], lag_s: float) -> None:
        self._states = dict.fromkeys(targets, "live")
        self._lag_s = lag_s

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_get("/instances", self._list)
        app.router.add_post("/_state", self._set_state)
        return app

    async def _list(self, req: web.Request) -> web.Response:
        groups = [
            {"targets": [target], "labels": {"state": state}}
            for target, state in self._states.items()
        ]
        return web.json_response(groups)

    async def _set_state(self, req: web.Request) -> web.Response:
        body = await req.json()
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag_s, self._states.__setitem__, body["target"], body["state"])
        return web.json_response({})


class PlainService:
    """A plain service that counts what it ran, by idempotency key and request.

    Parameters
    ----------
    name : str
        What it answers as.
    unframed : float
        Share of the responses that come without a length or chunks, from 0 to 1.
    """

    def __init__(self, name: str, unframed: float = UNFRAMED_SHARE) -> None:
        self._name = name
        self._responder = Responder(name, unframed)
        self.ran: Counter[str] = Counter()

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_get("/_runs", self._runs)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _serve(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        key = req.headers.get("Idempotency-Key", "")
        self.ran[key or f"{req.method} {req.path}"] += 1
        await asyncio.sleep(float(req.query.get("delay_s", "0")))
        data = {"served_by": self._name, "path": req.path, "bytes": len(body)}
        return await self._responder.send_json(req, data)

    async def _runs(self, req: web.Request) -> web.Response:
        return web.json_response(self.ran)
