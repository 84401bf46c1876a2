"""circuits on the asyncio loop: one loop on one thread for circuits.web and grpclib alike."""

from __future__ import annotations

import asyncio
import threading
import typing as t

from circuits import BaseComponent, Event
from circuits.core.pollers import BasePoller, _read, _write

Source = t.Any
"""A socket, as circuits passes it around."""


class Root(BaseComponent):
    """Root of a component tree whose queue is flushed by the asyncio loop.

    The tree is not run by circuits' own loop: firing an event schedules one flush. Nothing
    turns while nothing happens.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self._loop = loop
        self._scheduled = False
        # Marks this thread as the one that runs the tree, as `run` would.
        self._executing_thread = threading.current_thread()

    def _fire(self, event: Event, channel: t.Any, priority: int = 0) -> None:
        # Every component of the tree fires through its root.
        super()._fire(event, channel, priority)
        self.schedule()

    def schedule(self) -> None:
        """Flush the queue soon."""
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._drain)

    def _drain(self) -> None:
        self._scheduled = False
        # Without `run`, a tick handles tasks and the queue and generates no events of its own.
        self.tick(0)
        if self._tasks or len(self._queue):
            self.schedule()


class LoopPoller(BasePoller):
    """Watches descriptors by the asyncio loop.

    The base class keeps lists and searches them on every write; with hundreds of streams that
    would be most of the work, so sets take their place.
    """

    channel = "loop"

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self._loop = loop
        self._reading: set[Source] = set()
        self._writing: set[Source] = set()

    def _create_control_con(self) -> tuple[int, int]:
        # The base class opens a pipe to wake up its own wait; the asyncio loop needs none.
        return (-1, -1)

    def resume(self) -> None:
        """Do nothing: the loop wakes up by itself."""

    def addReader(self, source: Source, fd: Source) -> None:  # noqa: N802
        """Watch a descriptor for reading."""
        self._targets[fd] = getattr(source, "channel", "*")
        self._reading.add(fd)
        self._loop.add_reader(fd, self._readable, fd)

    def addWriter(self, source: Source, fd: Source) -> None:  # noqa: N802
        """Watch a descriptor for writing."""
        self._targets[fd] = getattr(source, "channel", "*")
        self._writing.add(fd)
        self._loop.add_writer(fd, self._writable, fd)

    def removeReader(self, fd: Source) -> None:  # noqa: N802
        """Stop watching a descriptor for reading."""
        if fd in self._reading:
            self._reading.discard(fd)
            self._loop.remove_reader(fd)
        self._drop_target(fd)

    def removeWriter(self, fd: Source) -> None:  # noqa: N802
        """Stop watching a descriptor for writing."""
        if fd in self._writing:
            self._writing.discard(fd)
            self._loop.remove_writer(fd)
        self._drop_target(fd)

    def isReading(self, fd: Source) -> bool:  # noqa: N802
        """Tell whether a descriptor is watched for reading."""
        return fd in self._reading

    def isWriting(self, fd: Source) -> bool:  # noqa: N802
        """Tell whether a descriptor is watched for writing."""
        return fd in self._writing

    def discard(self, fd: Source) -> None:
        """Stop watching a descriptor."""
        self.removeReader(fd)
        self.removeWriter(fd)

    def _drop_target(self, fd: Source) -> None:
        if fd not in self._reading and fd not in self._writing:
            self._targets.pop(fd, None)

    def _readable(self, fd: Source) -> None:
        self.fire(_read(fd), self.getTarget(fd))

    def _writable(self, fd: Source) -> None:
        self.fire(_write(fd), self.getTarget(fd))
