"""Fake of the platform store with a rate limit and a limited link, for tests of mass startups."""

import asyncio
import json
import random
from urllib.parse import parse_qs, urlsplit

from gradelug_coordination import ABSENT, Mirror
from gradelug_http import ResponseHead
from gradelug_platform.store import PlatformStore
from platform_stand_in import FakeStore

ADDRESS = "10.9.0.1:80"


class RateLimitedStore(FakeStore):
    """Fake store that throttles calls above a rate and sends responses one by one over its link.

    Parameters
    ----------
    page : int
        Maximum number of entries per page.
    reads_per_s : float
        Maximum rate of calls; calls beyond it are throttled with status 429.
    link_bps : float
        Bandwidth of the link, in bits per second.
    """

    def __init__(self, page, reads_per_s, link_bps):
        super().__init__(page)
        self.clock = asyncio.get_running_loop().time
        self.reads_per_s = reads_per_s
        self.link_bps = link_bps
        self.answered = self.refused = self.sent = 0
        self._tokens, self._at = reads_per_s, self.clock()
        self._link = asyncio.Lock()

    def held(self):
        return 0

    async def exchange(self, address, out, limit_s, most_bytes, whole_s=0.0, rested_s=float("inf")):
        """Handle a call in place of `HttpPool.exchange`."""
        parts = urlsplit(out.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = json.loads(out.body) if out.body else {}
        if self.silent:
            await asyncio.sleep(limit_s)
            raise TimeoutError
        if not self._has_token():
            self.refused += 1
            await asyncio.sleep(0.004)
            return ResponseHead(429, ()), b""
        self.answered += 1
        status, reply = await self.call(
            out.method, parts.path.removeprefix("/gradelug/"), query, body
        )
        raw = json.dumps(reply).encode()
        async with asyncio.timeout(limit_s):
            # A response whose call timed out before it began is not sent.
            await self._link.acquire()
        try:
            self.sent += len(raw)
            await asyncio.sleep(8 * len(raw) / self.link_bps)
        finally:
            self._link.release()
        await asyncio.sleep(0.004)
        return ResponseHead(status, ()), raw

    def _has_token(self):
        now = self.clock()
        self._tokens = min(self.reads_per_s, self._tokens + (now - self._at) * self.reads_per_s)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


async def start_together(store, instances, max_s=60.0, silent_s=0.0):
    """Start mirrors of a store within half a second and wait until all are synchronised.

    Parameters
    ----------
    store : RateLimitedStore
        Store that the mirrors read.
    instances : int
        Number of mirrors.
    most_s : float
        Maximum waiting time, in seconds.
    silent_s : float
        Time for which the store does not respond, in seconds.

    Returns
    -------
    list of float
        Time at which each finished mirror was synchronised, in seconds since the start.
    int
        Number of mirrors that were not synchronised in time.
    """
    clock = asyncio.get_running_loop().time
    started_at, finish_times_s = clock(), []
    mirrors, tasks = [], []
    store.silent = silent_s > 0
    for number in range(instances):
        await asyncio.sleep(0.5 / instances)
        rng = random.Random(number)
        mirror = Mirror(PlatformStore(ADDRESS, store, rng), "", rng, 0.8, 1.2, 2.2, True)
        mirrors.append(mirror)
        tasks.append(asyncio.create_task(mirror.run()))
    unsynchronised = list(mirrors)
    while unsynchronised and clock() < started_at + max_s:
        store.silent = clock() < started_at + silent_s
        await asyncio.sleep(0.05)
        finish_times_s += [clock() - started_at for mirror in unsynchronised if mirror.revision]
        unsynchronised = [mirror for mirror in unsynchronised if not mirror.revision]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return finish_times_s, len(unsynchronised)


async def fill(store, entries, value_bytes):
    """Write entries under the keys of replicas."""
    for number in range(entries):
        await store.kv.swap(f"servers/r-{number:05}", b"x" * value_bytes, ABSENT)
