"""The engine behind the OpenAI-compatible interface and its adapter orders."""

from __future__ import annotations

import asyncio
import json
import typing as t
import uuid

from aiohttp import web
from gradelug_backends import OrderRefused, UpstreamUnavailable

from .engine import EngineDied, EngineFaults, NotStarted, StubEngine
from .framing import UNFRAMED_SHARE, Responder

DEFAULT_TOKENS = 8
CHAT = "chat.completion"
TEXT = "text_completion"


class EngineServer:
    """Serves a `StubEngine`.

    Parameters
    ----------
    engine : StubEngine
        The engine.
    unframed : float
        Share of the completions that come without a length or chunks, from 0 to 1.
    """

    def __init__(self, engine: StubEngine, unframed: float = UNFRAMED_SHARE) -> None:
        self._engine = engine
        self._responder = Responder(engine.name, unframed)

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_post("/v1/completions", self._text)
        app.router.add_post("/v1/load_lora_adapter", self._load)
        app.router.add_post("/v1/unload_lora_adapter", self._unload)
        app.router.add_post("/v1/role", self._role)
        app.router.add_get("/load", self._report)
        app.router.add_post("/_faults", self._set_faults)
        app.router.add_post("/_restart", self._restart)
        app.router.add_get("/_runs", self._runs)
        return app

    async def _load(self, req: web.Request) -> web.Response:
        body = await req.json()
        order = self._engine.load(body["lora_name"], body["lora_path"], int(body["fence"]))
        return await _order(order)

    async def _unload(self, req: web.Request) -> web.Response:
        body = await req.json()
        return await _order(self._engine.unload(body["lora_name"], int(body["fence"])))

    async def _role(self, req: web.Request) -> web.Response:
        return await _order(self._engine.claim(int((await req.json())["fence"])))

    async def _report(self, req: web.Request) -> web.Response:
        report = await self._engine.report()
        return web.json_response(
            {
                "boot": report.boot,
                "age_s": report.age_s,
                "fence": report.fence,
                "adapters": report.running,
                "slots": report.slots,
                "leaving": report.leaving,
            }
        )

    async def _chat(self, req: web.Request) -> web.StreamResponse:
        return await self._complete(req, CHAT)

    async def _text(self, req: web.Request) -> web.StreamResponse:
        return await self._complete(req, TEXT)

    async def _complete(self, req: web.Request, kind: str) -> web.StreamResponse:
        body = await req.json()
        request_id = req.headers.get("X-Request-Id", uuid.uuid4().hex)
        answer = _Answer(kind, f"cmpl-{request_id}", body["model"])
        tokens = self._engine.run(
            request_id,
            body["model"],
            float(body.get("priority", 0)),
            int(body.get("max_tokens") or DEFAULT_TOKENS),
        )
        try:
            first = await anext(tokens)
        except NotStarted as exc:
            return _error(exc.status, exc.code)
        except (EngineDied, StopAsyncIteration):
            return _die(req)
        try:
            if body.get("stream"):
                return await _stream(req, self._responder, answer, first, tokens)
            text = first + "".join([token async for token in tokens])
            return await self._responder.send_json(req, answer.whole(text))
        except EngineDied:
            return _die(req)
        finally:
            await tokens.aclose()  # type: ignore[attr-defined]

    async def _set_faults(self, req: web.Request) -> web.Response:
        self._engine.faults = EngineFaults(**await req.json())
        return web.json_response({})

    async def _restart(self, req: web.Request) -> web.Response:
        self._engine.restart()
        return web.json_response({})

    async def _runs(self, req: web.Request) -> web.Response:
        runs = [[run.request_id, run.adapter] for run in self._engine.runs]
        data = {
            "runs": runs,
            "violations": self._engine.violations,
            "loads": self._engine.loads,
            "adapters": sorted(self._engine.adapters),
        }
        return web.json_response(data)


class _Answer:
    """Shapes tokens as the protocol wants them."""

    __slots__ = ("_id", "_kind", "_model")

    def __init__(self, kind: str, answer_id: str, model: str) -> None:
        self._kind = kind
        self._id = answer_id
        self._model = model

    def whole(self, text: str) -> dict[str, t.Any]:
        choice: dict[str, t.Any] = {"index": 0, "finish_reason": "stop"}
        if self._kind == CHAT:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return self._object(self._kind, choice)

    def part(self, text: str, last: bool = False) -> bytes:
        choice: dict[str, t.Any] = {"index": 0, "finish_reason": "stop" if last else None}
        if self._kind == CHAT:
            choice["delta"] = {} if last else {"content": text}
        else:
            choice["text"] = text
        kind = f"{CHAT}.chunk" if self._kind == CHAT else TEXT
        return b"data: " + json.dumps(self._object(kind, choice)).encode() + b"\n\n"

    def _object(self, kind: str, choice: dict[str, t.Any]) -> dict[str, t.Any]:
        data = {"id": self._id, "object": kind, "created": 0, "model": self._model}
        return {**data, "choices": [choice]}


async def _stream(
    req: web.Request,
    responder: Responder,
    answer: _Answer,
    first: str,
    tokens: t.AsyncIterator[str],
) -> web.StreamResponse:
    res = responder.stream({"Content-Type": "text/event-stream"})
    await res.prepare(req)
    await res.write(answer.part(first))
    async for token in tokens:
        await res.write(answer.part(token))
    await res.write(answer.part("", last=True) + b"data: [DONE]\n\n")
    return res


async def _order(order: t.Awaitable[None]) -> web.Response:
    try:
        await order
    except OrderRefused as exc:
        return _error(409, exc.code, str(exc))
    except UpstreamUnavailable as exc:
        return _error(500, "broken", str(exc))
    return web.json_response({})


def _error(status: int, code: str, message: str = "") -> web.Response:
    data = {"error": {"code": code, "message": message or code, "type": "engine"}}
    return web.json_response(data, status=status)


def _die(req: web.Request) -> web.Response:
    transport = req.transport
    if transport is not None:
        transport.abort()
    raise asyncio.CancelledError
