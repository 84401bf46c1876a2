"""Has the kernel end a connection by a reset, whatever closes it: this process or its death.

An answer without a length is complete once its connection is closed in order (RFC 9112, 6.3), and
aborting a transport closes its socket in order.
"""

from __future__ import annotations

import asyncio
import socket
import struct


def reset_on_close(transport: asyncio.BaseTransport, is_on: bool) -> None:
    """Have a TCP connection reset when it is closed, or closed in order again.

    Connections that are not TCP, as in tests, stay as they are.

    Parameters
    ----------
    transport : asyncio.BaseTransport
        A connection that is up.
    is_on : bool
        Whether closing resets it. The kernel then drops what it has not sent yet.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", is_on, 0))
