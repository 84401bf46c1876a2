"""Sending a request to an upstream once, and knowing for certain whether it was handed over."""

from __future__ import annotations

import asyncio
import json
import typing as t
from dataclasses import dataclass

import aiohttp
from gradelug_backends import new_connector

from .exceptions import AnswerTooLarge, NotSent, UpstreamBroken, UpstreamRefused
from .openai import DONE

CONNECT_LIMIT_S = 1.0
READ_LIMIT_S = 30.0
"""An upstream that sends nothing for this long in the midst of an answer is broken."""
EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1_000_000
NOT_RUN_STATUSES = frozenset({404, 409, 429, 503})
"""With these an engine says that it has not begun the request."""
REQUEST_TIMEOUT = 408
"""Does not say whether the engine has begun the request."""


class HandedOver:
    """A body that looks at the clock at the last moment before it goes out.

    Headers alone run nothing: until the body has been handed to the connection the request
    was not run, whatever goes wrong, and that can be said for certain.

    Parameters
    ----------
    body : bytes
        The request's body.
    may_send : callable
        Asked at the last moment.
    """

    __slots__ = ("_body", "_may_send", "happened")

    def __init__(self, body: bytes, may_send: t.Callable[[], bool]) -> None:
        self._body = body
        self._may_send = may_send
        self.happened = False

    async def __aiter__(self) -> t.AsyncIterator[bytes]:
        """Yield the body, if it may still be sent."""
        if not self._may_send():
            raise NotSent("the credit ran out before the request could be sent")
        self.happened = True
        yield self._body


@dataclass(slots=True, frozen=True)
class Outgoing:
    """A request to an engine.

    Parameters
    ----------
    url : str
        Where.
    body : bytes
        What.
    attempt : str
        Identifies this attempt; the engine's answer must carry it.
    adapter : str
        Adapter and version; the engine's answer must name it.
    single_use : bool
        Send over a connection used for nothing else, so that one closed while idle cannot
        leave it in doubt whether the request arrived.
    """

    url: str
    body: bytes
    attempt: str
    adapter: str
    single_use: bool


class UpstreamClient:
    """Sends requests to upstreams.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    answer_bytes : int
        Largest answer that is not streamed.
    """

    __slots__ = ("_answer_bytes", "_clock", "_once", "_shared")

    def __init__(self, clock: t.Callable[[], float], answer_bytes: int) -> None:
        self._clock = clock
        self._answer_bytes = answer_bytes
        limits = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_LIMIT_S, sock_read=READ_LIMIT_S
        )
        self._shared = aiohttp.ClientSession(
            connector=new_connector(limit=0, keepalive_timeout=15.0),
            timeout=limits,
            auto_decompress=False,
        )
        self._once = aiohttp.ClientSession(
            connector=new_connector(limit=0, force_close=True),
            timeout=limits,
            auto_decompress=False,
        )
        for session in (self._shared, self._once):
            # Whether a request may be sent again is decided here and not by the library, which
            # sends those of idempotent methods again, whatever may have become of the first one.
            session._retry_connection = False

    async def close(self) -> None:
        """Close every connection."""
        await self._shared.close()
        await self._once.close()

    async def whole(self, out: Outgoing, valid_until: float) -> bytes:
        """Return an engine's whole answer.

        Raises
        ------
        NotSent, UpstreamRefused
            If the request was not run.
        UpstreamBroken
            If it may have been, and there is no whole answer of its own.
        """
        handed = HandedOver(out.body, lambda: self._clock() < valid_until)
        async with self._open(out, handed) as res:
            raw = await self._read(res)
        _check_answer(raw, out)
        return raw

    async def stream(self, out: Outgoing, valid_until: float) -> t.AsyncIterator[bytes]:
        """Yield an engine's events as they come, whole events at a time, the last one `DONE`.

        Raises as `whole` does; after the first yield, `UpstreamBroken` alone.
        """
        handed = HandedOver(out.body, lambda: self._clock() < valid_until)
        async with self._open(out, handed) as res:
            checker = EventChecker(out)
            try:
                async for chunk in res.content.iter_any():
                    events = checker.feed(chunk)
                    if events:
                        yield events
            except (aiohttp.ClientError, TimeoutError, OSError) as exc:
                raise UpstreamBroken(f"the stream broke: {exc!r}") from exc
            if not checker.done:
                raise UpstreamBroken("the stream ended before its last event")

    def request(
        self, method: str, url: str, headers: t.Mapping[str, str], handed: HandedOver, length: int
    ) -> t.Any:
        """Return the context of a request to a plain service."""
        return self._once.request(
            method,
            url,
            data=handed if length else None,
            headers={**headers, "Content-Length": str(length)},
            allow_redirects=False,
        )

    async def read(self, res: aiohttp.ClientResponse) -> bytes:
        """Return an answer's whole body, within the limit."""
        return await self._read(res)

    def _open(self, out: Outgoing, handed: HandedOver) -> _Opened:
        session = self._once if out.single_use else self._shared
        context = session.post(
            out.url,
            data=handed,
            headers={
                "Content-Type": "application/json",
                "Content-Length": str(len(out.body)),
                "X-Request-Id": out.attempt,
            },
        )
        return _Opened(context, handed)

    async def _read(self, res: aiohttp.ClientResponse) -> bytes:
        parts, size = [], 0
        try:
            async for chunk in res.content.iter_any():
                size += len(chunk)
                if size > self._answer_bytes:
                    raise AnswerTooLarge(f"the answer exceeds {self._answer_bytes} bytes")
                parts.append(chunk)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise UpstreamBroken(f"the answer broke off: {exc!r}") from exc
        return b"".join(parts)


class _Opened:
    """An engine's answer whose status has been judged."""

    __slots__ = ("_context", "_handed", "_res")

    def __init__(self, context: t.Any, handed: HandedOver) -> None:
        self._context = context
        self._handed = handed
        self._res: aiohttp.ClientResponse | None = None

    async def __aenter__(self) -> aiohttp.ClientResponse:
        try:
            res = await self._context.__aenter__()
        except (aiohttp.ClientError, TimeoutError, OSError, NotSent) as exc:
            if not self._handed.happened:
                raise NotSent(f"not sent: {exc!r}") from exc
            raise UpstreamBroken(f"no answer: {exc!r}") from exc
        self._res = res
        if res.status != 200:
            try:
                await _raise_refusal(res)
            finally:
                res.close()
        return res

    async def __aexit__(self, *exc_info: t.Any) -> None:
        if self._res is not None:
            # An answer not read to its end closes its connection: nothing of it can turn up
            # in the next answer.
            await self._context.__aexit__(*exc_info)


class EventChecker:
    """Passes on whole events, each of which must belong to the request.

    Parameters
    ----------
    out : Outgoing
        The request.
    """

    __slots__ = ("_buffer", "_marker", "_out", "_seen_first", "done")

    def __init__(self, out: Outgoing) -> None:
        self._out = out
        self._marker = out.attempt.encode()
        self._buffer = b""
        self._seen_first = False
        self.done = False
        """Whether the last event has come."""

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that are whole now."""
        data = self._buffer + chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            self._keep(data)
            return b""
        events, rest = data[: end + 2], data[end + 2 :]
        self._keep(rest)
        self._check(events)
        return events

    def _keep(self, data: bytes) -> None:
        if len(data) > MAX_EVENT_BYTES:
            raise UpstreamBroken("an event is too large")
        self._buffer = data

    def _check(self, events: bytes) -> None:
        if self.done:
            raise UpstreamBroken("events came after the last one")
        count = events.count(EVENT_END)
        if events.endswith(DONE):
            self.done = True
            count -= 1
        if not self._seen_first and count:
            first = events[: events.find(EVENT_END)].removeprefix(b"data: ")
            _check_answer(first, self._out)
            self._seen_first = True
        # A cheap count in place of parsing every token: an event of another request lacks
        # the identifier of this one.
        if events.count(self._marker) < count:
            raise UpstreamBroken("an event belongs to another request")


def _check_answer(raw: bytes, out: Outgoing) -> None:
    try:
        data = json.loads(raw)
        found, model = str(data["id"]), str(data["model"])
    except (ValueError, KeyError, TypeError) as exc:
        raise UpstreamBroken(f"the answer cannot be read: {exc!r}") from exc
    if not found.endswith(out.attempt):
        raise UpstreamBroken("the answer belongs to another request")
    if model != out.adapter:
        raise UpstreamBroken(f"the answer comes from {model!r}, not {out.adapter!r}")


async def _raise_refusal(res: aiohttp.ClientResponse) -> t.NoReturn:
    try:
        async with asyncio.timeout(CONNECT_LIMIT_S):
            data = await res.json(content_type=None)
        error = data["error"]
        code, message = str(error.get("code")), str(error.get("message"))
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError, AttributeError):
        code, message = "", f"status {res.status}"
        if res.status in NOT_RUN_STATUSES:
            # Without the engine's own words anything in between may have answered.
            raise UpstreamBroken(message) from None
    if 400 <= res.status < 500 and res.status != REQUEST_TIMEOUT or res.status in NOT_RUN_STATUSES:
        raise UpstreamRefused(res.status, code, message, _retry_after(res))
    raise UpstreamBroken(f"status {res.status}: {message}")


def _retry_after(res: aiohttp.ClientResponse) -> float | None:
    try:
        return float(res.headers["Retry-After"])
    except (KeyError, ValueError):
        return None
