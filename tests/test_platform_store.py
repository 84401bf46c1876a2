"""The platform's store client against a stand-in that speaks its calls, in memory."""

import asyncio
import json
import random
from pipes import Network, RawServer

import pytest
from gradelug_coordination import (
    ABSENT,
    CoordinationError,
    KvEntry,
    KvListing,
    KvSwap,
    KvThrottled,
    KvUnavailable,
    Mirror,
    WatchCompacted,
)
from gradelug_coordination.kv import swap_surely
from gradelug_http import HttpPool, ServerLimits
from gradelug_platform.store import CALL_TIMEOUT_S, MAX_RESPONSE_S, PlatformStore
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_stand_in import StoreStandIn
from world import new_loop

ADDRESS = "10.9.0.1:80"


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


class StandIn(StoreStandIn):
    def __init__(self, page=500):
        super().__init__(page)
        net = Network()
        clock = asyncio.get_running_loop().time
        net.serve(ADDRESS, self.serve, ServerLimits, clock)
        self.store = PlatformStore(ADDRESS, HttpPool(clock, net.dial))
        self.fails_at = set()
        """Numbers of the listings that are refused, counted from 1."""
        self._listings = 0

    async def serve(self, inc):
        if inc.target.startswith(b"/gradelug/kv-range"):
            self._listings += 1
            if self._listings in self.fails_at:
                inc.respond(503, [], b"")
                return
        await super().serve(inc)


class TestStore:
    def test_entries_are_written_read_listed_in_pages_and_deleted(self):
        async def scenario():
            stand_in = StandIn(page=2)
            store = stand_in.store
            for at in range(5):
                assert (await store.swap(f"k/{at}", b"\x00\xff", ABSENT)).swapped
            assert not (await store.swap("k/0", b"x", ABSENT)).swapped
            listing = await store.list("k/")
            assert [entry.key for entry in listing.entries] == [f"k/{at}" for at in range(5)]
            entry = await store.get("k/3")
            assert entry.value == b"\x00\xff"
            assert await store.delete("k/3", entry.revision)
            assert await store.get("k/3") is None

        run(scenario)

    def test_leases_are_kept_and_tell_when_they_are_over(self):
        async def scenario():
            store = StandIn().store
            lease = await store.grant_lease(2.0)
            await store.swap("k", b"v", ABSENT, lease)
            assert await store.renew_lease(lease)
            await store.revoke_lease(lease)
            assert await store.get("k") is None
            assert not await store.renew_lease(lease)

        run(scenario)

    def test_a_mirror_follows_through_an_outage(self):
        async def scenario():
            stand_in = StandIn()
            mirror = Mirror(stand_in.store, "", random.Random(1), 0.5)
            task = asyncio.create_task(mirror.run())
            await stand_in.kv.swap("a", b"1", ABSENT)
            await stand_in.kv.swap("b", b"1", ABSENT)
            await asyncio.sleep(1.5)
            assert set(mirror.entries) == {"a", "b"}
            stand_in.status = 503
            await asyncio.sleep(4.0)
            assert not mirror.synced
            entry = await stand_in.kv.get("a")
            await stand_in.kv.delete("a", entry.revision)
            await stand_in.kv.swap("c", b"1", ABSENT)
            stand_in.status = None
            await asyncio.sleep(1.5)
            assert set(mirror.entries) == {"b", "c"}
            assert mirror.missing == {"a"}
            task.cancel()

        run(scenario)

    @pytest.mark.parametrize(
        ("status", "expected"),
        [(503, KvUnavailable), (429, KvThrottled), (500, CoordinationError)],
    )
    def test_refusals_are_told_apart(self, status, expected):
        async def scenario():
            stand_in = StandIn()
            stand_in.status = status
            with pytest.raises(expected):
                await stand_in.store.get("k")

        run(scenario)

    def test_history_that_is_gone_is_told(self):
        async def scenario():
            stand_in = StandIn()
            stand_in.status = 410
            with pytest.raises(WatchCompacted):
                async for _ in stand_in.store.watch("", 1):
                    pass

        run(scenario)

    def test_silence_is_not_waited_for(self):
        async def scenario():
            stand_in = StandIn()
            stand_in.silent = True
            began = asyncio.get_running_loop().time()
            with pytest.raises(KvUnavailable):
                await stand_in.store.get("k")
            assert asyncio.get_running_loop().time() - began < 1.0

        run(scenario)

    def test_a_write_whose_answer_was_lost_is_found(self):
        async def scenario():
            stand_in = StandIn()
            stand_in.lose = 1
            swap = await swap_surely(stand_in.store, "k", b"mine", ABSENT)
            assert swap.swapped
            assert (await stand_in.kv.get("k")).revision == swap.revision

        run(scenario)

    @settings(derandomize=True, deadline=None)
    @given(
        st.one_of(
            st.binary(max_size=60),
            st.just(b"[" * 100_000),
            st.just(b'{"items": [], "StoreRevision": 1' + b"0" * 9000 + b"}"),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.text(max_size=5),
                lambda inner: st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["items", "events", "TlsKey", "Value", "Revision", "Lease"]),
                    inner,
                    max_size=4,
                ),
                max_leaves=8,
            ).map(lambda data: json.dumps(data).encode()),
        )
    )
    def test_whatever_it_answers_there_is_a_result_or_a_typed_error(self, raw):
        async def scenario():
            stand_in = StandIn()
            stand_in.raw = raw
            store = stand_in.store
            calls = (
                (store.get("k"), KvEntry),
                (store.list(""), KvListing),
                (store.swap("k", b"", 0), KvSwap),
                (anext(store.watch("", 1)), tuple),
            )
            for call, expected in calls:
                (outcome,) = await asyncio.gather(call, return_exceptions=True)
                assert isinstance(outcome, (expected, CoordinationError))

        run(scenario)


class SlowLink:
    """A store behind a weak link: its answer comes in parts, one after the other."""

    def __init__(self, parts, pause_s, body=None):
        net, clock = Network(), asyncio.get_running_loop().time
        body = body or json.dumps({"items": [ITEM] * parts, "StoreRevision": 9}).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        size = len(body) // parts + 1
        script = [head]
        for at in range(parts):
            script += [pause_s, body[at * size : (at + 1) * size]]
        net.servers[ADDRESS] = lambda: RawServer([script])
        self.store = PlatformStore(ADDRESS, HttpPool(clock, net.dial))


ITEM = {"TlsKey": "op/config", "Value": "e30=", "Revision": 9}


class TestWeakLinks:
    """After a loss of power 77 instances on links of 10 Mbit/s never had a configuration of 1,700
    routes: what had come after 0.7 s was thrown away, again and again."""

    @pytest.mark.parametrize("pause_s", [0.1, 0.3])
    def test_an_answer_that_goes_on_coming_is_read_to_its_end(self, pause_s):
        async def scenario():
            listing = await SlowLink(20, pause_s).store.list("")
            assert len(listing.entries) == 20
            assert asyncio.get_running_loop().time() - 1000.0 >= 20 * pause_s - 0.01

        run(scenario)

    @pytest.mark.parametrize(
        ("parts", "pause_s", "most_s"), [(3, 1.0, CALL_TIMEOUT_S), (60, 0.5, MAX_RESPONSE_S)]
    )
    def test_one_that_stops_or_never_ends_is_given_up(self, parts, pause_s, most_s):
        async def scenario():
            began = asyncio.get_running_loop().time()
            with pytest.raises(KvUnavailable):
                await SlowLink(parts, pause_s).store.list("")
            assert asyncio.get_running_loop().time() - began <= most_s + 0.1

        run(scenario)

    def test_a_page_that_fails_does_not_cost_the_pages_before_it(self):
        async def scenario():
            stand_in = StandIn(page=2)
            for at in range(6):
                await stand_in.store.swap(f"k/{at}", b"v", ABSENT)
            stand_in.fails_at = {3, 4}
            before = stand_in.store.calls
            listing = await stand_in.store.list("k/")
            assert [entry.key for entry in listing.entries] == [f"k/{at}" for at in range(6)]
            assert stand_in.store.calls - before == 5

        run(scenario)

    def test_a_first_page_that_fails_is_told_at_once(self):
        async def scenario():
            stand_in = StandIn(page=2)
            stand_in.fails_at = {1}
            with pytest.raises(KvUnavailable):
                await stand_in.store.list("k/")
            assert stand_in.store.calls == 1

        run(scenario)
