"""Disables one safety mechanism at a time; the state machine must then find a failure."""

from gradelug_coordination import GrantTracker, OnceVerdict, once
from gradelug_coordination.documents import Follower
from gradelug_router.once import OnceKeeper
from gradelug_scheduler.authority import Authority
from gradelug_standins.engine import StubEngine


def _unload_at_once(patch):
    patch(GrantTracker, "is_free", lambda self, key: True)


def _trust_predecessors(patch):
    patch(GrantTracker, "is_free", lambda self, key: key not in self._holdings)


def _trust_silence(patch):
    """Assume that a holder whose grant has expired is gone, without a report of the engine."""

    def is_free(self, key):
        holdings = self._holdings.get(key, {}).values()
        import asyncio

        now = asyncio.get_running_loop().time()
        return key in self._confirmed_free and all(now > item.valid_until for item in holdings)

    patch(GrantTracker, "is_free", is_free)


def _no_fences(patch):
    patch(StubEngine, "_check_fence", lambda self, fence: None)


def _grant_without_lease(patch):
    patch(Authority, "may_grant", lambda self: True)
    patch(Authority, "grant_valid_s", lambda self: 60.0)


def _no_reservations(patch):
    patch(once, "_judge", lambda found, record: OnceVerdict.FRESH)


def _forget_reservations(patch):
    """Answer from the process's memory, without reading what another process has written."""

    async def load(self):
        if self._revision is None:
            entry = await self._kv.get(self._key)
            self._revision = entry.revision if entry else 0

    patch(once.OnceShard, "_load", load)


def _settle_as_not_run(patch):
    async def settle(self, reservation, outcome):
        from gradelug_router.exceptions import Outcome

        await _settle(self, reservation, Outcome.NOT_RUN)

    _settle = OnceKeeper.settle
    patch(OnceKeeper, "settle", settle)


def _take_any_head(patch):
    original = Follower.offer

    async def offer(self, head):
        from gradelug_coordination import Head

        self.head = Head()
        return await original(self, head)

    patch(Follower, "offer", offer)


MUTATIONS = {
    mutation.__name__.strip("_"): mutation
    for mutation in (
        _unload_at_once,
        _trust_predecessors,
        _trust_silence,
        _no_fences,
        _grant_without_lease,
        _no_reservations,
        _forget_reservations,
        _settle_as_not_run,
        _take_any_head,
    )
}
