"""Faulty replicas on sockets and the callers of a crowd, for tests of a gateway's memory."""

import asyncio
import json
import os
import re
import socket
import time
from pathlib import Path

from fleet_stand_in import GATEWAY_HOST, HOST
from gradelug_http import HttpServer, ServerLimits
from platform_stand_in import FakeStore
from soak_parts import Gateway, free_ports

READY_S = 20.0
BUDGET_EXTRA = 100_000
"""Retries that the settings allow: each failed request is sent again."""
ATTEMPTS = 20
ATTEMPT_S = 0.5
SMALL_BUFFER_BYTES = 4_096
_ident_re = re.compile(rb"\r\nx-gradelug-request-id: (\S+)\r\n", re.I)
_vm_hwm_re = re.compile(r"VmHWM:\s+(\d+) kB")
KINDS = {
    "unsafe": ("non_idempotent", 1),
    "safe": ("idempotent", 2),
    "stream": ("streaming", 1),
}
"""Kind and largest number of attempts of each route."""
ENGINE = {
    "Slots": 8,
    "WeightsMb": 1000,
    "AdapterSlots": 3,
    "LoadsPerS": 4,
    "Models": [{"Name": "m", "WeightsMb": 500, "LoadS": 0.6, "AdapterMb": 14}],
}


class EndlessConnection(asyncio.Protocol):
    """Answers each request by what `FaultyReplica` sends, as fast as its peer takes it."""

    def __init__(self, replica):
        self._replica = replica
        self._is_paused = False
        self._piece = b""
        self._received = b""

    def connection_made(self, transport):
        self.transport = transport
        self._replica.connections.add(self)

    def data_received(self, data):
        self._received += data
        if b"\r\n\r\n" not in self._received:
            return
        found = _ident_re.search(self._received)
        ident = found[1] if found is not None else b""
        self._received = b""
        first, self._piece = self._replica.response(ident)
        self.transport.write(first.replace(b"%b", ident))
        self._send()

    def pause_writing(self):
        self._is_paused = True

    def resume_writing(self):
        self._is_paused = False
        self._send()

    def _send(self):
        if self._piece and not self._is_paused and not self.transport.is_closing():
            self.transport.write(self._piece)
            asyncio.get_running_loop().call_soon(self._send)

    def connection_lost(self, exc):
        self._replica.connections.discard(self)


class FaultyReplica:
    """Answers a request by a beginning and a piece that it sends without end.

    Parameters
    ----------
    first, piece : bytes
        The beginning, with ``%b`` in place of the request's identifier, and the piece; nothing
        follows the beginning if the piece is empty.
    repeats : bool
        Whether a request that comes again is answered likewise; otherwise it gets no answer.
    """

    def __init__(self, first, piece, repeats=True):
        self._first, self._piece, self._repeats = first, piece, repeats
        self.connections = set()
        self.idents = set()
        """Identifiers of the requests that arrived."""

    def response(self, ident):
        is_known = ident in self.idents
        self.idents.add(ident)
        return (b"", b"") if is_known and not self._repeats else (self._first, self._piece)

    async def start(self):
        """Listen, and return the address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: EndlessConnection(self), HOST, 0, backlog=1024
        )
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def close(self):
        self._server.close()
        for conn in list(self.connections):
            conn.transport.abort()


class CrowdCaller(asyncio.Protocol):
    """A caller that sends one request and reads or ignores its answer."""

    def __init__(self, request, is_reading):
        self._request, self._is_reading = request, is_reading
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self.transport = transport
        transport.write(self._request)
        if not self._is_reading:
            transport.pause_reading()

    def connection_lost(self, exc):
        if not self.ended.done():
            self.ended.set_result(None)


def build_request(kind, ident, deadline_ms):
    """Return the bytes of a request."""
    return (
        f"POST /{kind}/x HTTP/1.1\r\nHost: h\r\nX-Gradelug-Request-Id: {ident}\r\n"
        f"X-Gradelug-Deadline-Ms: {deadline_ms}\r\nContent-Length: 4\r\n\r\nbody"
    ).encode()


class GatewayBeforeFaultyReplicas:
    """One gateway process with a store, faulty replicas and a sound one.

    Parameters
    ----------
    folder : Path
        Where the gateway's settings and log lie.
    replica : FaultyReplica
        Faulty replica, known under several names.
    memory_mb : int
        Memory limit in the gateway's settings, in megabytes.
    names : int
        Number of replicas that the faulty one is entered as.
    has_engines : bool
        Whether the faulty replicas are engines, which the gateway asks for reports.
    """

    def __init__(self, folder, replica, memory_mb, names, has_engines=False):
        self._folder, self._replica = folder, replica
        self._memory_mb, self._names, self._has_engines = memory_mb, names, has_engines
        self.store = FakeStore()

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._servers = [
            HttpServer(self.store.serve, ServerLimits, loop.time),
            HttpServer(self._serve_sound, ServerLimits, loop.time),
        ]
        store_port = await self._servers[0].start(HOST, 0)
        sound = f"{HOST}:{await self._servers[1].start(HOST, 0)}"
        address = await self._replica.start()
        await self._write("op/config", _config(self._has_engines))
        await self._write("servers/sound", _entry("sound", sound))
        for number in range(self._names):
            await self._write(f"servers/f{number}", _entry("faulty", address))
        self.gateway = Gateway(0, self._folder, store_port, free_ports(3), True, (), BUDGET_EXTRA)
        with self.gateway.settings.open("a") as settings:
            settings.write(f"[Limits]\nMemoryMb = {self._memory_mb}\n")
        self.gateway.start()
        self.pid = self.gateway.process.pid
        await self._wait_ready()
        return self

    async def __aexit__(self, *args):
        self.gateway.process.kill()
        self.gateway.process.wait()
        self._replica.close()
        for server in self._servers:
            await server.close()

    async def play_crowd(self, kind, crowd, deadline_ms, rounds, is_reading=True, spacing_s=0.0):
        """Send as many requests at a time as the crowd has callers, several times in a row."""
        for number in range(rounds):
            callers = []
            for at in range(crowd):
                ident = f"r{number}-{at}"
                callers.append(await self._connect_caller(kind, ident, deadline_ms, is_reading))
                await asyncio.sleep(spacing_s)
            await asyncio.wait(
                [caller.ended for caller in callers], timeout=deadline_ms / 1000 + 1.0
            )
            for caller in callers:
                caller.transport.abort()

    async def send_unfinished(self, port, request, count, wait_s):
        """Send the same bytes over several connections and keep these open for a while."""
        writers = []
        for _ in range(count):
            _, writer = await asyncio.open_connection(GATEWAY_HOST, port)
            writer.write(request)
            writers.append(writer)
        await asyncio.sleep(wait_s)
        for writer in writers:
            writer.transport.abort()

    async def _connect_caller(self, kind, ident, deadline_ms, is_reading):
        sock = socket.socket()
        if not is_reading:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (GATEWAY_HOST, self.gateway.front))
        request = build_request(kind, ident, deadline_ms).replace(
            b"\r\nHost", b"\r\nConnection: close\r\nHost"
        )
        _, caller = await loop.create_connection(
            lambda: CrowdCaller(request, is_reading), sock=sock
        )
        return caller

    async def ask_sound(self):
        """Return the answer to one ordinary request, sent again while it is refused."""
        data = b""
        for number in range(ATTEMPTS):
            reader, writer = await asyncio.open_connection(GATEWAY_HOST, self.gateway.front)
            writer.write(build_request("sound", f"sound{number}", 5000))
            try:
                data = await reader.readuntil(b"\r\n\r\n")
                if data.startswith(b"HTTP/1.1 200"):
                    return data + await reader.readexactly(len(b"sound"))
            except (asyncio.IncompleteReadError, ConnectionResetError) as exc:
                data = repr(exc).encode()
            finally:
                writer.close()
            await asyncio.sleep(ATTEMPT_S)
        return data

    def peak_bytes(self):
        """Return the largest resident memory of the process so far."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        return int(_vm_hwm_re.search(status)[1]) * 1024

    def descriptors(self):
        """Return the number of descriptors that the process has open."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    async def _serve_sound(self, inc):
        ident = inc.header(b"x-gradelug-request-id")
        headers = [(b"X-Gradelug-Request-Id", ident), (b"X-Gradelug-Server-Signature", b"s")]
        inc.respond(200, headers, b"sound")

    async def _write(self, key, value):
        await self.store.kv.swap(key, json.dumps(value).encode(), 0)

    async def _wait_ready(self):
        until = time.monotonic() + READY_S
        while time.monotonic() < until and self.gateway.is_running:
            try:
                reader, writer = await asyncio.open_connection(GATEWAY_HOST, self.gateway.ready)
                writer.write(b"GET /gradelug/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                data = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if data.startswith(b"HTTP/1.1 200"):
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise AssertionError(self.gateway.log.read_text(errors="replace"))


def _entry(service, address):
    return {
        "Backend": service,
        "Address": address,
        "Zone": "z",
        "Slots": 100,
        "State": "ready",
        "Models": [],
    }


def _config(has_engines):
    routes = [
        {
            "Name": name,
            "Hostname": "h",
            "PathPrefix": f"/{name}/",
            "Kind": kind,
            "TimeoutMs": 8000,
            "TargetLatencyMs": 8000,
            "MaxAttempts": attempts,
            "Backend": "faulty",
        }
        for name, (kind, attempts) in KINDS.items()
    ]
    sound = {**routes[0], "Name": "sound", "PathPrefix": "/sound/", "Backend": "sound"}
    services = [{"Name": name, "MaxConns": 400} for name in ("faulty", "sound")]
    if has_engines:
        services[0]["Engine"] = ENGINE
    return {"Version": 1, "Routes": [*routes, sound], "Services": services}
