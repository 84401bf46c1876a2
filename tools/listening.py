"""How long processes take until they listen, and how much of that they had a processor."""

from __future__ import annotations

import asyncio
import os
import subprocess
import time
import typing as t
from dataclasses import dataclass
from pathlib import Path

PROC = Path("/proc")
LOOK_S = 0.2
LISTENS = "0A"
"""State of a socket in the kernel's tables."""
STATE_FIELD, INODE_FIELD = 3, 9
"""In a line of those tables."""
USER_FIELD, SYSTEM_FIELD = 11, 12
"""Processor time in a process's line, counted after its name."""
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class Start:
    """One start of a process.

    Parameters
    ----------
    name : str
        The process's.
    process : Popen
        What was started.
    at : float
        When, by the monotonic clock, in seconds.
    listened_s, used_s : float or None
        Time from then until it listened, and processor time that it had used, in seconds.
    """

    name: str
    process: subprocess.Popen[bytes]
    at: float
    listened_s: float | None = None
    used_s: float | None = None


class ListenWatch:
    """Watches processes that were started until they listen; for the report of a failure."""

    __slots__ = ("_starts", "_task")

    def __init__(self) -> None:
        self._starts: list[Start] = []
        self._task: asyncio.Task[None] | None = None

    def note(self, name: str, process: subprocess.Popen[bytes]) -> None:
        """Watch a process that was started just now."""
        self._starts.append(Start(name, process, time.monotonic()))
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._watch())

    def close(self) -> None:
        """Watch no longer."""
        if self._task is not None:
            self._task.cancel()

    def report(self) -> str:
        """Return a line for each start, and the machine's load."""
        lines = [f"--- until they listened; load {os.getloadavg()[0]:.1f} on {os.cpu_count()}"]
        lines += [_describe(start) for start in self._starts]
        return "\n".join(lines)

    async def _watch(self) -> None:
        while waiting := [start for start in self._starts if _is_waiting(start)]:
            listening = _listening_sockets()
            for start in waiting:
                if _sockets(start.process.pid) & listening:
                    start.listened_s = time.monotonic() - start.at
                    start.used_s = _used_s(start.process.pid)
            await asyncio.sleep(LOOK_S)


def _is_waiting(start: Start) -> bool:
    return start.listened_s is None and start.process.poll() is None


def _describe(start: Start) -> str:
    if start.listened_s is not None:
        return f"{start.name}: {start.listened_s:.1f} s, processor time {start.used_s or 0:.2f} s"
    rested_s = time.monotonic() - start.at
    if start.process.poll() is not None:
        return f"{start.name}: never, ended with {start.process.returncode}"
    used_s = _used_s(start.process.pid) or 0
    return f"{start.name}: not within {rested_s:.1f} s, processor time {used_s:.2f} s"


def _listening_sockets() -> set[str]:
    """Return the inodes of all sockets that listen."""
    found = set()
    for table in ("tcp", "tcp6"):
        path = PROC / "net" / table
        lines = path.read_text().splitlines()[1:] if path.exists() else []
        fields = (line.split() for line in lines)
        found |= {each[INODE_FIELD] for each in fields if each[STATE_FIELD] == LISTENS}
    return found


def _sockets(pid: int) -> set[str]:
    """Return the inodes of a process's sockets, none if it has ended."""
    try:
        links = [os.readlink(fd) for fd in (PROC / str(pid) / "fd").iterdir()]
    except OSError:
        # A descriptor was closed meanwhile: it is looked at again soon.
        return set()
    return {link.removeprefix("socket:[").rstrip("]") for link in links if "socket:" in link}


def _used_s(pid: int) -> float | None:
    """Return the processor time of a process in seconds, None if it has ended."""
    try:
        after_name = (PROC / str(pid) / "stat").read_text().rpartition(")")[2]
    except OSError:
        return None
    fields: t.Sequence[str] = after_name.split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / TICKS_PER_S
