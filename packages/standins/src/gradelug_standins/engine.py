"""A model engine: a few adapter slots, continuous batching, priorities, fenced orders, lag.

`StubEngine` is the model, on the runtime's clock; `engine_http` puts it behind HTTP.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import typing as t
import uuid
from collections import Counter, deque
from dataclasses import dataclass

from gradelug_backends import EngineReport, FencedOff, OrderRefused, UpstreamUnavailable

KEPT_RUNS = 200_000


class EngineDied(Exception):
    """The engine went down under a request."""


class NotStarted(Exception):
    """The engine did not begin a request.

    Attributes
    ----------
    status : int
        HTTP status.
    code : str
        Reason.
    """

    def __init__(self, status: int, code: str) -> None:
        self.status = status
        self.code = code
        super().__init__(code)


@dataclass(slots=True)
class EngineSpec:
    """What an engine is like.

    Parameters
    ----------
    slots, batch : int
        Adapter slots, and requests run at once.
    token_s, first_s : float
        Between two tokens, and before the first.
    load_s : float
        Time to load an adapter, besides the weight store's.
    lag_s : float
        How late its reports are.
    checks_fences : bool
        Whether it refuses orders with older tokens.
    """

    slots: int = 8
    batch: int = 32
    token_s: float = 0.02
    first_s: float = 0.02
    load_s: float = 0.05
    lag_s: float = 0.2
    checks_fences: bool = True


@dataclass(slots=True)
class EngineFaults:
    """What goes wrong.

    Parameters
    ----------
    fail_loads : int
        So many loads fail.
    leaving : bool
        It takes no new work.
    cut_after : int
        Streams break after so many tokens; 0 for never.
    die_on_accept : bool
        It goes down after a request has begun, without a word.
    """

    fail_loads: int = 0
    leaving: bool = False
    cut_after: int = 0
    die_on_accept: bool = False


@dataclass(slots=True, frozen=True)
class Run:
    """A request that was run, for checks."""

    request_id: str
    adapter: str


class StubEngine:
    """An engine.

    Parameters
    ----------
    name : str
        Its name.
    spec : EngineSpec
        What it is like.
    fetch : callable, optional
        Coroutine function that fetches an adapter's weights; raises `OrderRefused`.
    """

    def __init__(
        self,
        name: str,
        spec: EngineSpec | None = None,
        fetch: t.Callable[[str], t.Awaitable[None]] | None = None,
    ) -> None:
        self.name = name
        self.spec = spec or EngineSpec()
        self.faults = EngineFaults()
        self._fetch = fetch
        self.boot = uuid.uuid4().hex
        self.fence = 0
        self.adapters: set[str] = set()
        self.runs: deque[Run] = deque(maxlen=KEPT_RUNS)
        self.violations: list[str] = []
        """Promises broken: an adapter unloaded under a request."""
        self.loads = 0
        self._loading: set[str] = set()
        self._running: Counter[str] = Counter()
        self._places = self.spec.batch
        self._queue: list[tuple[float, int, asyncio.Future[None]]] = []
        self._order = itertools.count()
        self._history: deque[tuple[float, EngineReport]] = deque()

    # Orders

    def _check_fence(self, fence: int) -> None:
        if self.spec.checks_fences and fence < self.fence:
            raise FencedOff("fenced_off", f"token {fence} is older than {self.fence}")
        self.fence = max(self.fence, fence)

    async def claim(self, fence: int) -> None:
        """Confirm the role."""
        self._check_fence(fence)

    async def load(self, adapter: str, path: str, fence: int) -> None:
        """Load an adapter."""
        self._check_fence(fence)
        if adapter in self.adapters or adapter in self._loading:
            raise OrderRefused("already_loaded", f"{adapter} is loaded")
        if len(self.adapters) + len(self._loading) >= self.spec.slots:
            raise OrderRefused("slots_full", "every slot is taken")
        self._note()
        boot = self.boot
        self._loading.add(adapter)
        try:
            if self._fetch is not None:
                await self._fetch(path)
            await asyncio.sleep(self.spec.load_s)
            if self.faults.fail_loads:
                self.faults.fail_loads -= 1
                raise OrderRefused("load_failed", f"{adapter} could not be loaded")
        finally:
            self._loading.discard(adapter)
        if boot != self.boot:
            raise UpstreamUnavailable("restarted")
        self.adapters.add(adapter)
        self.loads += 1
        self._note()

    async def unload(self, adapter: str, fence: int, limit_s: float = 0.0) -> None:
        """Unload an adapter, whoever uses it: the engine trusts its orders."""
        self._check_fence(fence)
        if adapter not in self.adapters:
            raise OrderRefused("not_loaded", f"{adapter} is not loaded")
        if self._running[adapter]:
            self.violations.append(f"{adapter} unloaded under {self._running[adapter]} requests")
        self._note()
        self.adapters.discard(adapter)
        self._note()

    async def report(self) -> EngineReport:
        """Return the report, as late as the engine's lag."""
        now = asyncio.get_running_loop().time()
        self._note()
        while len(self._history) > 1 and self._history[1][0] <= now - self.spec.lag_s:
            self._history.popleft()
        at, report = self._history[0]
        return EngineReport(
            boot=report.boot,
            age_s=now - at,
            fence=report.fence,
            running=report.running,
            slots=report.slots,
            leaving=self.faults.leaving,
        )

    def restart(self) -> None:
        """Restart, empty."""
        self.boot = uuid.uuid4().hex
        self.adapters.clear()
        self.fence = 0
        self._history.clear()
        queue, self._queue = self._queue, []
        for _, _, fut in queue:
            if not fut.done():
                fut.set_exception(EngineDied())

    # Requests

    async def run(
        self, request_id: str, adapter: str, priority: float, tokens: int
    ) -> t.AsyncIterator[str]:
        """Yield a request's tokens.

        Raises
        ------
        NotStarted
            Before the first token, if it was not begun.
        EngineDied
            If the engine went down under it.
        """
        if self.faults.leaving:
            raise NotStarted(503, "leaving")
        if adapter not in self.adapters:
            raise NotStarted(404, "model_not_found")
        boot = self.boot
        self._running[adapter] += 1
        self._note()
        try:
            await self._take_place(priority)
            try:
                self.runs.append(Run(request_id, adapter))
                if self.faults.die_on_accept:
                    raise EngineDied()
                async for token in self._tokens(adapter, tokens, boot):
                    yield token
            finally:
                self._free_place()
        finally:
            self._running[adapter] -= 1
            self._note()

    async def _tokens(self, adapter: str, tokens: int, boot: str) -> t.AsyncIterator[str]:
        for number in range(tokens):
            await asyncio.sleep(self.spec.token_s if number else self.spec.first_s)
            if boot != self.boot or adapter not in self.adapters:
                raise EngineDied()
            if self.faults.cut_after and number >= self.faults.cut_after:
                raise EngineDied()
            yield f"[{adapter}]" if not number else f" t{number}"

    async def _take_place(self, priority: float) -> None:
        if self._places > 0:
            self._places -= 1
            return
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (priority, next(self._order), fut))
        await fut

    def _free_place(self) -> None:
        while self._queue:
            _, _, fut = heapq.heappop(self._queue)
            if not fut.done():
                fut.set_result(None)
                return
        self._places += 1

    def _note(self) -> None:
        now = asyncio.get_running_loop().time()
        running = {adapter: self._running[adapter] for adapter in self.adapters}
        report = EngineReport(self.boot, 0.0, self.fence, running, self.spec.slots)
        self._history.append((now, report))
        while len(self._history) > 1 and self._history[1][0] <= now - self.spec.lag_s:
            self._history.popleft()
