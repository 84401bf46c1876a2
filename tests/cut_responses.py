"""Responses that end early: at each offset, in each framing, by each end of their connection."""

import asyncio
from dataclasses import dataclass
from pipes import RawClient, RawServer

from gradelug_http import TunnelServer, open_tunnel
from test_tunnel import KEY, PROXY, OpenPolicy

SILENCE_S = 0.05
ENDINGS = {"fin": ["close"], "reset": ["reset"], "silence": [SILENCE_S, "close"]}
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-A: 1\r\n\r\n"
TRAILERS = b"X-Digest: abc\r\nX-Empty:\r\n" + b"".join(b"X-T%d: %d\r\n" % (n, n) for n in range(3))
FRAMINGS = (
    "length",
    "length 1.0",
    "interim",
    "chunked",
    "extended chunks",
    "trailers",
    "close",
    "close 1.0",
)


@dataclass(frozen=True)
class Answer:
    """The bytes of an answer.

    Parameters
    ----------
    raw : bytes
        All of it.
    head_size : int
        Bytes up to the end of its head, informational answers included.
    is_sized : bool
        Whether its framing tells where it ends.
    """

    raw: bytes
    head_size: int
    is_sized: bool

    def can_be_whole(self, size, ending):
        """Return whether its first bytes, ended so, are an answer that the protocol calls whole.

        That of an answer without a length is any orderly end behind its head.
        """
        return size >= self.head_size and not self.is_sized and ending != "reset"


def build(framing, parts, headers=b"", status=b"200 OK"):
    """Return an answer whose body consists of parts, each of them a chunk where there are any."""
    version = b"1.0" if framing.endswith("1.0") else b"1.1"
    body = b"".join(parts)
    is_sized = not framing.startswith("close")
    if framing in ("chunked", "extended chunks", "trailers"):
        extension = b";a=b" if framing == "extended chunks" else b""
        body = b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)
        body += b"0%b\r\n%b\r\n" % (extension, TRAILERS if framing == "trailers" else b"")
        headers += b"Transfer-Encoding: chunked\r\n"
    elif is_sized:
        headers += b"Content-Length: %d\r\n" % len(body)
    interim = INTERIM if framing == "interim" else b""
    head = interim + b"HTTP/%b %b\r\n%b\r\n" % (version, status, headers)
    return Answer(head + body, len(head), is_sized)


def actions(answer, size, ending):
    """Return the actions of a `RawServer` that sends so many bytes and ends its connection."""
    return [*([answer.raw[:size]] if size else []), *ENDINGS[ending]]


def cuts(answer, endings=tuple(ENDINGS)):
    """Yield each number of bytes and end after which an answer is not whole."""
    for ending in endings:
        for size in range(len(answer.raw)):
            if not answer.can_be_whole(size, ending):
                yield size, ending
        if not answer.is_sized and ending == "reset":
            yield len(answer.raw), ending


def sparse_cuts(answer):
    """Yield each number of bytes after which an answer is not whole, with ends in turn."""
    for size in range(len(answer.raw)):
        for ending in (list(ENDINGS)[size % len(ENDINGS)], "reset"):
            if not answer.can_be_whole(size, ending):
                yield size, ending
                break


def listen(network, address, script):
    """Let a server of a network answer by a script; return the connections that it gets."""
    servers = []

    def make():
        servers.append(RawServer(script))
        return servers[-1]

    network.servers[address] = make
    return servers


def open_tunnels(network):
    """Return a function that connects to addresses of a network through a peer's tunnel."""
    tunnels = TunnelServer(OpenPolicy(), network.dial, 64)
    network.servers[PROXY] = tunnels.new_connection

    async def dial(address):
        return await open_tunnel(network.dial, PROXY, address, KEY)

    return dial


class Caller(RawClient):
    """A caller that notes whether its connection was reset."""

    def __init__(self):
        super().__init__()
        self.was_reset = False

    def connection_lost(self, exc):
        super().connection_lost(exc)
        self.was_reset = self.was_reset or exc is not None

    @property
    def status(self):
        """Status of the answer, 0 without one."""
        return int(self.received.split(b" ", 2)[1]) if self.received else 0

    @property
    def is_http_10(self):
        return b" HTTP/1.0\r\n" in bytes(self.transport.written)

    def body(self):
        """Return the body of its answer as far as it came, and whether it looks whole."""
        head, end, raw = bytes(self.received).partition(b"\r\n\r\n")
        if not end:
            return b"", False
        fields = head.lower()
        if b"transfer-encoding: chunked" in fields:
            return _unchunk(raw)
        if b"content-length: " in fields:
            length = int(fields.partition(b"content-length: ")[2].split(b"\r\n")[0])
            return raw[:length], len(raw) >= length
        return raw, self.ended and not self.was_reset


def _unchunk(raw):
    body = b""
    while raw:
        line, end, rest = raw.partition(b"\r\n")
        size = int(line, 16) if end else -1
        if size == 0:
            return body, rest.startswith(b"\r\n")
        if size < 0 or len(rest) < size + 2:
            return body, False
        body, raw = body + rest[:size], rest[size + 2 :]
    return body, False


async def settle(seconds=0.5):
    """Let all that was begun take its course."""
    await asyncio.sleep(seconds)
