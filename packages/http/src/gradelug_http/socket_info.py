"""What the kernel knows of a TCP connection."""

from __future__ import annotations

import socket
import struct
import typing as t

_tcp_info = struct.Struct("=52x I 72x Q")
"""`tcpi_last_data_recv` and `tcpi_bytes_received` in Linux's `struct tcp_info`."""
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
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, option, _tcp_info.size)
    except OSError:
        return None
    if len(info) < _tcp_info.size:
        return None
    age_ms, received_bytes = _tcp_info.unpack(info)
    # A kernel that does not even count them leaves their time at zero as well.
    return float(age_ms) / MS if received_bytes else None
