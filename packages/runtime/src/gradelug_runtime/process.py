"""Running a daemon: one asyncio loop, background tasks, and stopping on a signal."""

from __future__ import annotations

import asyncio
import signal
import sys
import traceback
import typing as t
from pathlib import Path

import logbook
from gradelug_config.exceptions import InvalidConfig

from .clock import run
from .logs import open_log

if t.TYPE_CHECKING:
    from .settings import ProcessSettings

log = logbook.Logger("process")
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
S = t.TypeVar("S", bound="ProcessSettings")


class Tasks:
    """Background tasks of a daemon; one that fails is logged and ends the daemon.

    A daemon whose renewal or gossip has died but which goes on answering would be worse than
    one that is restarted.
    """

    __slots__ = ("_failed", "_tasks")

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._failed: asyncio.Event = asyncio.Event()

    def start(self, coro: t.Coroutine[t.Any, t.Any, t.Any], name: str) -> asyncio.Task[t.Any]:
        """Start a task that must not end by an error."""
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def wait_for_failure(self) -> None:
        """Wait until a task has failed."""
        await self._failed.wait()

    async def cancel(self) -> None:
        """Cancel every task and wait for their ends."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task[t.Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log.error("task {} failed: {!r}", task.get_name(), task.exception())
        exc = task.exception()
        if exc is not None:
            log.error("{}", "".join(_format(exc)))
        self._failed.set()


async def wait_for_stop() -> None:
    """Wait for an interrupt or a request to terminate."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def wait_for_end(tasks: Tasks) -> bool:
    """Wait until the daemon is to stop; tell whether that is because a task failed."""
    stop = asyncio.ensure_future(wait_for_stop())
    failure = asyncio.ensure_future(tasks.wait_for_failure())
    await asyncio.wait([stop, failure], return_when=asyncio.FIRST_COMPLETED)
    failed = failure.done()
    stop.cancel()
    failure.cancel()
    return failed


def run_daemon(
    path: str,
    load: t.Callable[[Path], S],
    check: bool,
    serve: t.Callable[[S], t.Coroutine[t.Any, t.Any, bool]],
) -> None:
    """Run a daemon and exit.

    Parameters
    ----------
    path : str
        Its settings file.
    load : callable
        Reads and checks the settings; may raise `InvalidConfig`.
    check : bool
        Only check the settings.
    serve : callable
        Coroutine function that serves until the end and tells whether a task failed.
    """
    cfg = load_or_exit(path, load)
    if check:
        return
    with open_log(cfg.log, cfg.name):
        raise SystemExit(EXIT_FAILED if run(serve(cfg)) else 0)


def load_or_exit(path: str, load: t.Callable[[Path], S]) -> S:
    """Load settings, or print every finding and exit with `EXIT_BAD_SETTINGS`."""
    try:
        return load(Path(path))
    except InvalidConfig as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from None


def _format(exc: BaseException) -> list[str]:
    return traceback.format_exception(exc)
