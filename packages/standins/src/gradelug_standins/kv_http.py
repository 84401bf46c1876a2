"""The key-value service behind the published JSON interface that the platform's client speaks."""

from __future__ import annotations

import asyncio
import base64
import json
import typing as t

from aiohttp import web
from gradelug_coordination import (
    KvEntry,
    KvEvent,
    KvThrottled,
    KvUnavailable,
    WatchCompacted,
)

from .kv import KvFaults, MemoryKv

MAX_BODY_BYTES = 4_000_000
Body = dict[str, t.Any]


class KvServer:
    """Serves a `MemoryKv`.

    Parameters
    ----------
    kv : MemoryKv
        What is served.
    """

    def __init__(self, kv: MemoryKv) -> None:
        self._kv = kv

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v3/kv/range", self._answer(self._range))
        app.router.add_post("/v3/kv/txn", self._answer(self._txn))
        app.router.add_post("/v3/lease/grant", self._answer(self._grant))
        app.router.add_post("/v3/lease/keepalive", self._answer(self._keepalive))
        app.router.add_post("/v3/lease/revoke", self._answer(self._revoke))
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_post("/_faults", self._set_faults)
        app.router.add_get("/_stats", self._stats)
        return app

    def _answer(
        self, method: t.Callable[[Body], t.Awaitable[Body]]
    ) -> t.Callable[[web.Request], t.Awaitable[web.Response]]:
        async def answer(req: web.Request) -> web.Response:
            try:
                return web.json_response(await method(await req.json()))
            except KvThrottled as exc:
                headers = {"Retry-After": f"{exc.retry_after_s:.3f}"}
                return web.json_response({"code": 8}, status=429, headers=headers)
            except KvUnavailable as exc:
                return web.json_response({"code": 14, "message": str(exc)}, status=503)

        return answer

    async def _range(self, body: Body) -> Body:
        key = _decode(body["key"])
        if "range_end" in body:
            listing = await self._kv.list(key)
            return self._with_header({"kvs": [_entry(item) for item in listing.entries]})
        found = await self._kv.get(key)
        return self._with_header({"kvs": [_entry(found)] if found else []})

    async def _txn(self, body: Body) -> Body:
        compare, operation = body["compare"][0], body["success"][0]
        key, expected = _decode(compare["key"]), int(compare["mod_revision"])
        if "requestPut" in operation:
            put = operation["requestPut"]
            value, lease = base64.b64decode(put["value"]), int(put.get("lease", 0))
            outcome = await self._kv.swap(key, value, expected, lease)
            if not outcome.swapped:
                return self._with_header({})
            return {"header": {"revision": str(outcome.revision)}, "succeeded": True}
        deleted = await self._kv.delete(key, expected)
        return self._with_header({"succeeded": True} if deleted else {})

    async def _grant(self, body: Body) -> Body:
        lease = await self._kv.grant_lease(float(body["TTL"]))
        return self._with_header({"ID": str(lease), "TTL": str(body["TTL"])})

    async def _keepalive(self, body: Body) -> Body:
        renewed = await self._kv.renew_lease(int(body["ID"]))
        return {"result": {"ID": body["ID"], "TTL": "1" if renewed else "0"}}

    async def _revoke(self, body: Body) -> Body:
        await self._kv.revoke_lease(int(body["ID"]))
        return self._with_header({})

    async def _watch(self, req: web.Request) -> web.StreamResponse:
        create = (await req.json())["create_request"]
        prefix, after = _decode(create["key"]), int(create["start_revision"]) - 1
        res = web.StreamResponse()
        await res.prepare(req)
        await _send_line(res, {"result": {"created": True}})
        beat = asyncio.get_running_loop().create_task(_beat(res))
        try:
            async for events in self._kv.watch(prefix, after):
                data = {"events": [_event(event) for event in events]}
                await _send_line(res, {"result": data})
        except WatchCompacted:
            await _send_line(res, {"result": {"canceled": True, "compact_revision": "1"}})
        except (KvUnavailable, KvThrottled):
            await _send_line(res, {"result": {"canceled": True}})
        finally:
            beat.cancel()
        return res

    async def _set_faults(self, req: web.Request) -> web.Response:
        self._kv.faults = KvFaults(**await req.json())
        self._kv.set_down(self._kv.faults.down)
        return web.json_response({})

    async def _stats(self, req: web.Request) -> web.Response:
        return web.json_response({"calls": self._kv.calls, "writes": self._kv.writes})

    def _with_header(self, data: Body) -> Body:
        return {"header": {"revision": str(self._kv.revision)}, **data}


async def _beat(res: web.StreamResponse) -> None:
    while True:
        await asyncio.sleep(10.0)
        await _send_line(res, {"result": {}})


async def _send_line(res: web.StreamResponse, data: Body) -> None:
    await res.write(json.dumps(data).encode() + b"\n")


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _entry(entry: KvEntry) -> Body:
    return {
        "key": base64.b64encode(entry.key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.revision),
        "lease": str(entry.lease),
    }


def _event(event: KvEvent) -> Body:
    if event.entry is not None:
        return {"kv": _entry(event.entry)}
    entry = KvEntry(event.key, b"", event.revision)
    return {"type": "DELETE", "kv": _entry(entry)}
