"""Clients that keep to no limit, and the gateway process that they call."""

import asyncio
import itertools
import json
import os
import resource
import socket
import subprocess
import sys
from pathlib import Path

from fleet_stand_in import GATEWAY_HOST, HOST
from gradelug_http import (
    ConnectFailed,
    HttpPool,
    HttpServer,
    OutgoingRequest,
    ResponseBroken,
    ServerLimits,
)
from platform_stand_in import FakeStore
from soak_parts import Gateway, free_ports
from soak_settings import ROOT

FILE_DESCRIPTORS = 200
"""Descriptors of a process that the platform keeps for files."""
BODY_BYTES = 4_194_304
HEAD_BYTES = 16_384
HEADER_MS = 3_000
IDLE_MS = 15_000
PIECE_BYTES = 65_536
SAMPLE_S = 0.05
START_TIMEOUT_S = 30.0
ORDINARY_TIMEOUT_S = 60.0
CROWD_S = 4.0
"""How long a crowd sends, and rests if it has sent all."""
RETRY_S = 0.25
KB = 1_024
MB = 1_000_000
ROUTE = {
    "Name": "p",
    "Hostname": "h",
    "PathPrefix": "/p/",
    "Kind": "idempotent",
    "TimeoutMs": 8_000,
    "TargetLatencyMs": 1_000,
    "MaxAttempts": 2,
    "Backend": "plain",
}
CONFIG = {
    "Version": 1,
    "Routes": [ROUTE],
    "Services": [{"Name": "plain", "MaxConns": 1_000}],
    "Limits": {
        "MaxHeaderBytes": HEAD_BYTES,
        "MaxBodyBytes": BODY_BYTES,
        "HeaderTimeoutMs": HEADER_MS,
        "IdleTimeoutMs": IDLE_MS,
    },
}
LARGE_PATH = b"/p/large"
LARGE_BYTES = 262_144
"""Size of the response to requests for `LARGE_PATH`."""


class BoundedGateway(Gateway):
    """A gateway process as the deploy file runs it, with lowered limits."""

    def __init__(self, folder, store_port, memory_mb, max_fds):
        super().__init__(0, folder, store_port, free_ports(3), False, ["--without=fair-shares"])
        limits = f"[Limits]\nMemoryMb = {memory_mb}\nMaxFds = {max_fds}\n"
        self.settings.write_text(self.settings.read_text() + limits)
        self._max_fds = max_fds

    def start(self):
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        limit = self._max_fds if hard == resource.RLIM_INFINITY else min(self._max_fds, hard)
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "serve.py"), *self.args],
                env={**os.environ, "GRADELUG_CONFIG": str(self.settings)},
                stdout=out,
                stderr=out,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
            )

    def memory_kb(self, field):
        """Return `VmRSS` or `VmHWM`."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition(f"{field}:")[2].split()[0])

    def sockets(self):
        """Return the number of open descriptors that are sockets."""
        count = 0
        folder = f"/proc/{self.process.pid}/fd"
        for name in os.listdir(folder):
            try:
                count += os.readlink(f"{folder}/{name}").startswith("socket:")
            except FileNotFoundError:
                continue
        return count

    def unread_bytes(self):
        """Return the bytes of callers that arrived and were not read by the process."""
        local = f"{_hex_address(GATEWAY_HOST)}:{self.front:04X}"
        total = 0
        for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = row.split()
            is_open = fields[3] == "01"
            if fields[1] == local and is_open:
                total += int(fields[4].partition(":")[2], 16)
        return total


def _hex_address(host):
    return socket.inet_aton(host)[::-1].hex().upper()


class HostileSite:
    """Store, replica and gateway; an asynchronous context manager.

    `peak_bytes`, `max_sockets` and `is_same_process` tell how the gateway fared.
    """

    def __init__(self, folder, memory_mb, max_fds=4_100):
        self.memory_bytes = memory_mb * MB
        self._clock = asyncio.get_running_loop().time
        self._store = FakeStore()
        self._store_server = HttpServer(self._store.serve, ServerLimits, self._clock)
        self._replica_server = HttpServer(self._serve, ServerLimits, self._clock)
        self._folder = folder
        self._memory_mb = memory_mb
        self._max_fds = max_fds
        self._numbers = itertools.count(1)
        self._sockets = []
        self._sends = []
        self.peak_bytes = 0
        """Most memory of the process and of what it had not read, as sampled."""
        self.max_sockets = 0

    async def __aenter__(self):
        await self._store.kv.swap("op/config", json.dumps(CONFIG).encode(), 0)
        store_port = await self._store_server.start(HOST, 0)
        replica_port = await self._replica_server.start(HOST, 0)
        entry = {
            "Backend": "plain",
            "Address": f"{HOST}:{replica_port}",
            "Zone": "z",
            "Slots": 1_000,
            "State": "ready",
            "Models": [],
        }
        await self._store.kv.swap("servers/p0", json.dumps(entry).encode(), 0)
        self.gateway = BoundedGateway(self._folder, store_port, self._memory_mb, self._max_fds)
        self.gateway.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_answered_once():
                await asyncio.sleep(RETRY_S)
        self._sampler = asyncio.create_task(self._sample())
        return self

    async def __aexit__(self, *exc):
        self._sampler.cancel()
        await self.end_crowd()
        for sock in self._sockets:
            sock.close()
        if self.gateway.is_running:
            self.gateway.process.kill()
        self.gateway.process.wait()
        await self._store_server.close()
        await self._replica_server.close()

    async def _serve(self, inc):
        headers = [
            (b"X-Gradelug-Request-Id", inc.header(b"x-gradelug-request-id")),
            (b"X-Gradelug-Server-Signature", b"s"),
        ]
        is_large = inc.target == LARGE_PATH
        inc.respond(200, headers, b"x" * LARGE_BYTES if is_large else b"whole")

    async def _sample(self):
        while self.gateway.is_running:
            memory = self.gateway.memory_kb("VmRSS") * KB + self.gateway.unread_bytes()
            self.peak_bytes = max(self.peak_bytes, memory)
            self.max_sockets = max(self.max_sockets, self.gateway.sockets())
            await asyncio.sleep(SAMPLE_S)

    # Ordinary requests.

    async def is_answered_once(self):
        """Ask once on a new connection; return whether the answer is 200."""
        pool = HttpPool(self._clock)
        headers = [
            (b"Host", b"h"),
            (b"X-Gradelug-Request-Id", b"o%d" % next(self._numbers)),
            (b"X-Gradelug-Deadline-Ms", b"8000"),
        ]
        req = OutgoingRequest(b"POST", b"/p/x", headers, b"body")
        try:
            head, _ = await pool.exchange(
                f"{GATEWAY_HOST}:{self.gateway.front}", req, 10.0, 1_000, is_single=True
            )
        except (ConnectFailed, ResponseBroken, TimeoutError):
            return False
        return head.status == 200

    async def is_answered(self):
        """Tell whether an ordinary request is answered in the end, as its client retries it."""
        try:
            async with asyncio.timeout(ORDINARY_TIMEOUT_S):
                while not await self.is_answered_once():
                    await asyncio.sleep(RETRY_S)
        except TimeoutError:
            return False
        return True

    # Hostile clients.

    async def crowd(self, clients, pieces):
        """Let clients send; their connections stay open and what they are answered lies unread.

        Parameters
        ----------
        clients : int
            How many.
        pieces : callable
            Returns what one of them sends, as an iterable of bytes.
        """
        sends = [asyncio.create_task(self._send(pieces())) for _ in range(clients)]
        self._sends += sends
        await asyncio.sleep(CROWD_S)

    async def _send(self, pieces):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        try:
            await loop.sock_connect(sock, (GATEWAY_HOST, self.gateway.front))
            for piece in pieces:
                await loop.sock_sendall(sock, piece)
        except OSError:
            # The gateway may close the connection of such a client.
            sock.close()

    async def end_crowd(self):
        """Stop the clients that are still sending, whose connections stay open."""
        for task in self._sends:
            task.cancel()
        await asyncio.gather(*self._sends, return_exceptions=True)


def head(path=b"/p/x", *lines):
    """Return the head of a request."""
    rows = [b"POST %b HTTP/1.1" % path, b"Host: h", b"X-Gradelug-Request-Id: crowd", *lines]
    return b"\r\n".join(rows) + b"\r\n\r\n"


CHUNKED = head(b"/p/x", b"Transfer-Encoding: chunked")


def chunks(size, chunk_bytes):
    """Return a chunked request of so many body bytes, without its end."""
    per_piece = max(1, PIECE_BYTES // (chunk_bytes + 6))
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    yield CHUNKED
    for _ in range(size // (per_piece * chunk_bytes)):
        yield chunk * per_piece


def announced(size):
    """Return a request with a body of a stated length."""
    yield head(b"/p/x", b"Content-Length: %d" % size)
    yield from itertools.repeat(b"x" * PIECE_BYTES, size // PIECE_BYTES)


def requests_ahead(count):
    """Return requests for large responses, one after the other."""
    one = head(LARGE_PATH, b"X-Gradelug-Deadline-Ms: 8000", b"Content-Length: 0")
    per_piece = PIECE_BYTES // len(one)
    for _ in range(count // per_piece):
        yield one * per_piece


def endless_head():
    """Return the beginning of a head that goes on without end."""
    yield b"POST /p/x HTTP/1.1\r\nHost: h\r\n"
    yield from itertools.repeat(b"X-Fill: " + b"x" * 1_000 + b"\r\n", 10_000)


def half_head():
    """Return just less than the longest head."""
    yield b"POST /p/x HTTP/1.1\r\nHost: h\r\nX-Fill: " + b"x" * (HEAD_BYTES - 100)


def nothing():
    """Return nothing to send."""
    return ()
