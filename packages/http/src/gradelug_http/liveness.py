"""Has the kernel notice connections that fall silent without a reset.

A link may swallow packets of an open connection for good while new ones work. The other end's
kernel acknowledges what arrives however busy its process is, so a lack of acknowledgements says
that the connection is dead and not that its peer is slow.
"""

from __future__ import annotations

import asyncio
import errno
import socket

UNACKED_S = 2.5
"""Bytes that were not acknowledged for so long were lost with their connection: a sound peer may be
silent for a second or so. It also decides when probes give up, whatever their number: here two
have to stay without an answer."""
KEEP_IDLE_S = 1
"""A connection on which nothing came for so long is probed, and then as often."""
KEEP_PROBES = 2
"""Probes without an answer after which a connection is over, where only they are counted."""


def keep_alive(transport: asyncio.BaseTransport) -> None:
    """Have a TCP connection end by a time-out when its peer cannot be reached any more.

    Connections that are not TCP, as in tests, stay as they are.

    Parameters
    ----------
    transport : asyncio.BaseTransport
        A connection that is up.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(UNACKED_S * 1000))


def is_silenced(exc: BaseException | None) -> bool:
    """Tell whether a connection ended because its peer could not be reached any more."""
    return isinstance(exc, OSError) and exc.errno in (errno.ETIMEDOUT, errno.EHOSTUNREACH)
