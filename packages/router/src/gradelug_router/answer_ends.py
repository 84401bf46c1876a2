"""Whether an answer of an upstream whose end is marked by a close alone is whole.

The kernel closes the connections of a process that ends in order, so the close of a connection does
not show that the upstream had sent all of its answer (RFC 9112, 8). An upstream that keeps a new
connection open has not ended.
"""

from __future__ import annotations

import asyncio
import typing as t

import logbook

if t.TYPE_CHECKING:
    import aiohttp

log = logbook.Logger("answer ends")
ACCEPT_LIMIT_S = 1.0
"""Time for a connection to an upstream that has closed the one of its answer, in seconds."""
HOLD_S = 0.1
"""Time for which a new connection has to stay open, in seconds. The listener of a process that ends
may be closed after its connections; what it accepted meanwhile is reset then."""
BODILESS_STATUSES = frozenset({204, 304})
_CHUNKED = "chunked"


def ends_with_connection(res: aiohttp.ClientResponse) -> bool:
    """Return whether an answer has a body with neither a length nor chunks."""
    if res.method == "HEAD" or res.status in BODILESS_STATUSES or res.content_length is not None:
        return False
    coding = res.headers.get("Transfer-Encoding", "").rpartition(",")[2]
    return coding.strip().lower() != _CHUNKED


async def has_ended(res: aiohttp.ClientResponse) -> bool:
    """Return whether the upstream of an answer accepts no further connections."""
    host, port = res.url.host, res.url.port
    try:
        async with asyncio.timeout(ACCEPT_LIMIT_S):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as exc:
        log.info("upstream has ended: {}:{} cannot be reached: {!r}", host, port, exc)
        return True
    try:
        async with asyncio.timeout(HOLD_S):
            is_closed = not await reader.read(1)
    except TimeoutError:
        is_closed = False
    except OSError:
        is_closed = True
    finally:
        writer.transport.abort()
    if is_closed:
        log.info("upstream has ended: {}:{} closed a new connection", host, port)
    return is_closed
