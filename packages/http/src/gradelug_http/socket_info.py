"""What the kernel knows of a TCP connection."""

from __future__ import annotations

import socket
import struct
import typing as t

LAST_DATA_OFFSET = 52
"""Offset of `tcpi_last_data_recv` in Linux's `struct tcp_info`, an unsigned 32-bit integer."""
_last_data = struct.Struct("=I")
MS = 1000.0


class SupportsGetsockopt(t.Protocol):
    """A socket whose options can be read."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """Return the value of an option."""
        ...


def data_age_s(sock: SupportsGetsockopt) -> float | None:
    """Return how long ago a connection's last data came, whether or not they were read.

    Parameters
    ----------
    sock : SupportsGetsockopt
        A TCP socket that has received data.

    Returns
    -------
    float or None
        Seconds, exact to a tick of the kernel (1 to 10 ms); None where the kernel does not tell.
    """
    option = getattr(socket, "TCP_INFO", None)
    if option is None:
        return None
    size = LAST_DATA_OFFSET + _last_data.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, option, size)
    except OSError:
        return None
    if len(info) < size:
        return None
    (age_ms,) = _last_data.unpack_from(info, LAST_DATA_OFFSET)
    return float(age_ms) / MS
