"""The callers' door: circuits.web on the asyncio loop, one task per request."""

from __future__ import annotations

import asyncio
import math
import typing as t

import logbook
from circuits import BaseComponent, handler
from circuits.net.events import close
from circuits.web.events import response
from circuits.web.servers import BaseServer
from gradelug_runtime.loop import LoopPoller, Root

from .exceptions import ApiError, CallerGone
from .guard import Guard
from .openai import error_body
from .settings import Limits
from .stopping import yield_turns
from .unsized import UnsizedAnswers

log = logbook.Logger("door")
SWEEP_S = 0.5
MAX_SWEEP_DELAY_S = 0.25
"""A sweep that is later than this is skipped: what arrived meanwhile is read first."""
READ_BYTES = 16_384
LAST_CHUNK = b"0\r\n\r\n"

Serve = t.Callable[["Exchange"], t.Awaitable[None]]


class Exchange:
    """One request and the way to answer it.

    Parameters
    ----------
    door : Door
        Where it came in.
    req, res : circuits.web.wrappers.Request and Response
        As the library made them.
    """

    __slots__ = ("_door", "_res", "body", "headers", "method", "path", "query", "sock", "started")

    def __init__(self, door: Door, req: t.Any, res: t.Any) -> None:
        self._door = door
        self._res = res
        self.sock = req.sock
        self.method: str = req.method
        self.path: str = req.path
        self.query: str = req.qs
        self.headers = req.headers
        self.body: bytes = req.body.getvalue()
        self.started = False
        """Whether an answer has begun."""

    def header(self, name: str) -> str:
        """Return a request's header, empty if absent."""
        return str(self.headers.get(name, "") or "")

    def respond(self, status: int, body: bytes, headers: t.Mapping[str, str]) -> None:
        """Answer whole."""
        self.started = True
        res = self._res
        res.status = status
        res.close = res.close or self._door.is_last(self.sock)
        for name, value in headers.items():
            res.headers[name] = value
        res.body = body
        if not body:
            res.headers["Content-Length"] = "0"
        self._door.fire(response(res), "web")
        self._door.guard.finished(self.sock)

    def begin(self, status: int, headers: t.Mapping[str, str]) -> None:
        """Begin an answer in chunks."""
        self.started = True
        res = self._res
        res.status = status
        res.close = res.close or self._door.is_last(self.sock)
        for name, value in headers.items():
            res.headers[name] = value
        res.stream = True
        # A tuple has no length that the library would state.
        res.body = ()
        res.prepare()
        if not res.chunked:
            self._door.begin_unsized(self.sock)
        self._door.send(self.sock, bytes(res) + bytes(res.headers))

    async def send(self, data: bytes) -> None:
        """Send a chunk, waiting for a caller that reads slowly.

        Raises
        ------
        CallerGone
            If it has gone, or reads too slowly.
        """
        framed = b"%x\r\n%b\r\n" % (len(data), data) if self._res.chunked else data
        self._door.send(self.sock, framed)
        await self._door.wait_sent(self.sock)

    def send_now(self, data: bytes) -> None:
        """Send a last chunk without waiting."""
        framed = b"%x\r\n%b\r\n" % (len(data), data) if self._res.chunked else data
        self._door.send(self.sock, framed)

    def finish(self) -> None:
        """End an answer in chunks as whole."""
        if self._res.chunked:
            self._door.send(self.sock, LAST_CHUNK)
        self._door.end(self.sock, self._res.close or not self._res.chunked)

    def cut(self) -> None:
        """Break an answer off, so that it cannot be taken for whole."""
        self._door.cut(self.sock)


class Door(BaseComponent):
    """Accepts callers' requests and serves each in a task of its own.

    Parameters
    ----------
    address : tuple of (str, int)
        Where to listen.
    limits : Limits
        Bounds on input and unsent output.
    serve : callable
        Coroutine function that answers an `Exchange`.
    """

    channel = "web"

    def __init__(self, address: tuple[str, int], limits: Limits, serve: Serve) -> None:
        super().__init__()
        self._loop = asyncio.get_running_loop()
        self._limits = limits
        self._serve = serve
        self._tasks: dict[t.Any, asyncio.Task[None]] = {}
        self._draining: dict[t.Any, asyncio.Future[None]] = {}
        self._unsized = UnsizedAnswers()
        self._sweeper: asyncio.TimerHandle | None = None
        self._was_sweep_skipped = False
        self.is_draining = False
        """Whether each connection is closed after its next answer, unless a further request has
        begun to arrive by then."""
        self.tree = Root(self._loop)
        self._poller = LoopPoller(self._loop).register(self.tree)
        self._web = BaseServer(address, display_banner=False, bufsize=READ_BYTES)
        self._web.register(self.tree)
        guard = Guard(limits, self._loop.time, self._web.http._on_read, self._forget)
        self.guard = guard.register(self.tree)
        self.register(self.tree)
        self._sweep()

    @property
    def port(self) -> int:
        """The port listened on."""
        return self._web.server.port

    @property
    def in_progress(self) -> int:
        """Requests being served."""
        return len(self._tasks)

    @property
    def has_unsent(self) -> bool:
        """Whether a part of an answer is not sent yet."""
        return any(self._web.server._buffers.values())

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or served, or an answer is not sent yet."""
        return bool(self._tasks) or self.has_unsent or self.guard.is_receiving

    def is_last(self, sock: t.Any) -> bool:
        """Return whether a connection is closed after its current request."""
        return self.is_draining and not self.guard.has_next(sock)

    async def stop_listening(self) -> None:
        """Take the connections that wait to be accepted, and accept no more."""
        self.is_draining = True
        sock = self._web.server._sock
        if sock is None:
            return
        self._poller.discard(sock)
        # The library accepts in a later turn what it was told of before.
        await yield_turns()
        self._accept_queued(sock)
        self.close_listener()

    def _accept_queued(self, listener: t.Any) -> None:
        """Accept what the kernel has queued; closing the listening socket would reset it."""
        while True:
            try:
                sock, _ = listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as exc:
                log.warning("connections are left in the accept queue: {}", exc)
                return
            self._web.server._on_accept_done(sock)

    def close_listener(self) -> None:
        """Accept no further connections."""
        sock = self._web.server._sock
        if sock is not None:
            self._poller.discard(sock)
            sock.close()
            self._web.server._sock = None

    async def cancel_requests(self) -> int:
        """Cancel the requests being served; return their number."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return len(tasks)

    async def close(self) -> None:
        """End everything at once."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        await self.cancel_requests()
        self.close_listener()
        for sock in list(self._web.server._clients):
            if sock in self._unsized:
                self.cut(sock)
            else:
                self._web.server._close(sock)

    @handler("request")
    def _on_request(self, req: t.Any, res: t.Any, *_: t.Any) -> bool:
        if req.headers.get("Transfer-Encoding"):
            # Where such a request ends only the library knows; nothing may follow it.
            res.close = True
        task = self._loop.create_task(self._run(Exchange(self, req, res)))
        self._tasks[req.sock] = task
        return True

    @handler("disconnect")
    def _on_disconnect(self, sock: t.Any) -> None:
        self._unsized.forget(sock)
        task = self._tasks.get(sock)
        if task is not None:
            task.cancel()

    @handler("httperror", priority=10)
    def _on_httperror(
        self, event: t.Any, req: t.Any, res: t.Any, code: t.Any = None, **_: t.Any
    ) -> None:
        event.stop()
        status = code or 500
        exc = ApiError(status, "bad_request" if status < 500 else "internal", f"status {status}")
        res.status = status
        res.close = True
        res.headers["Content-Type"] = "application/json"
        res.headers["Gradelug-Outcome"] = exc.outcome.value
        res.body = error_body(exc, "")
        self.fire(response(res), "web")

    @handler("_write", priority=-1)
    def _after_write(self, sock: t.Any) -> None:
        self._close_if_sent(sock)
        fut = self._draining.get(sock)
        if fut is not None and not fut.done() and self._unsent(sock) <= self._limits.unsent_bytes:
            fut.set_result(None)

    def send(self, sock: t.Any, data: bytes) -> None:
        """Send now what the socket takes and keep the rest.

        The library's own way, an event per write, costs five times as much per token.
        """
        server = self._web.server
        if sock not in self._tasks or sock not in self.guard._connections:
            raise CallerGone("the caller has closed its connection")
        if server._buffers[sock]:
            server._buffers[sock].append(data)
        else:
            server._write(sock, data)
        if server._buffers[sock] and not self._poller.isWriting(sock):
            self._poller.addWriter(server, sock)

    async def wait_sent(self, sock: t.Any) -> None:
        """Wait until a caller has read enough; raises `CallerGone`."""
        if self._unsent(sock) <= self._limits.unsent_bytes:
            return
        fut = self._draining[sock] = self._loop.create_future()
        try:
            async with asyncio.timeout(self._limits.slow_reader_s):
                await fut
        except TimeoutError:
            raise CallerGone("the caller reads too slowly") from None
        finally:
            del self._draining[sock]

    def end(self, sock: t.Any, close_it: bool) -> None:
        """End an answer in chunks, or without a length."""
        self._web.http._clients.pop(sock, None)
        if sock in self._unsized:
            self._unsized.end(sock)
            self._close_if_sent(sock)
        elif close_it:
            self.fire(close(sock), "web")
        else:
            self.guard.finished(sock)

    def begin_unsized(self, sock: t.Any) -> None:
        """Prepare for an answer whose end is marked by that of its connection alone."""
        if sock in self._web.server._clients:
            self._unsized.begin(sock)

    def cut(self, sock: t.Any) -> None:
        """End the connection of an answer that is not whole."""
        self._web.http._clients.pop(sock, None)
        if sock not in self._unsized:
            self.fire(close(sock), "web")
            return
        self._unsized.forget(sock)
        # The library would shut the connection down in order before it closes the socket.
        self._poller.discard(sock)
        sock.close()
        self._web.server._close(sock)

    def _close_if_sent(self, sock: t.Any) -> None:
        """Close the connection of a whole answer without a length once all of it is sent."""
        if not self._unsent(sock) and self._unsized.note_sent(sock):
            self.fire(close(sock), "web")

    async def _run(self, exchange: Exchange) -> None:
        try:
            await self._serve(exchange)
        except CallerGone:
            exchange.cut()
        except asyncio.CancelledError:
            exchange.cut()
        finally:
            # The connection's next request may have begun while this one was settled.
            if self._tasks.get(exchange.sock) is asyncio.current_task():
                del self._tasks[exchange.sock]

    def _unsent(self, sock: t.Any) -> int:
        buffers = self._web.server._buffers
        return sum(map(len, buffers[sock])) if sock in buffers else 0

    def _forget(self, sock: t.Any) -> None:
        self._web.http._buffers.pop(sock, None)
        self._web.http._clients.pop(sock, None)

    def _sweep(self, due_at: float = math.inf) -> None:
        now = self._loop.time()
        delay_s = now - due_at
        if delay_s > MAX_SWEEP_DELAY_S and not self._was_sweep_skipped:
            # Only one in a row, so that limits hold on a process that is always late.
            self._was_sweep_skipped = True
            log.info("event loop was held up", delay_s=round(delay_s, 3))
        else:
            self._was_sweep_skipped = False
            self.guard.sweep()
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep, now + SWEEP_S)
