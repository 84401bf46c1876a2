"""What engines keep of prompts: what is known of it, and what a choice by it spares."""

import functools

import pytest
from gradelug_policy.chain_homes import MAX_WEIGHTS, ChainShares, home_of, split_mark
from gradelug_policy.kept_parts import (
    CACHE_MEMORY_FRACTION,
    KEPT_S,
    MAX_CACHED_PREFIXES,
    KeptParts,
    PromptPart,
    chain_of,
    held_up_s,
    tokens_at_home,
)
from gradelug_policy.spread import choose_settled, choose_spread
from kept_load import OWN_TOKENS, SPEED, TERMS, World

NEWS_S = 0.255
"""How old news are where 85 gateways follow a planner."""
SEEDS = (1, 2, 3, 4, 5)


class Whole:
    """One who knows engines as they are chooses for all; what they keep is no matter to it."""

    def __init__(self):
        self.kept = KeptParts()

    def kept_tokens(self, gateway, name, chain, now):
        return 0

    def choose(self, world, gateway, chain, names, now):
        def cost_s(name):
            kept = self.kept_tokens(gateway, name, chain, now)
            return world.cost_s(name, chain, kept, now) - held_up_s(kept, SPEED)

        return min(names, key=cost_s)

    def note(self, world, gateway, chain, name, now):
        self.kept.note_sent(name, chain.tokens + OWN_TOKENS, TERMS.memory_tokens)
        self.kept.note(name, chain, now)


class Asked(Whole):
    """The planner that all gateways ask reckons with what it had sent where."""

    def kept_tokens(self, gateway, name, chain, now):
        return self.kept.kept_tokens(name, chain, now)


class Events(Whole):
    """Engines tell it what they keep, 0.3 s late, and one change in fifty never."""

    def __init__(self):
        super().__init__()
        self.told = {}

    def choose(self, world, gateway, chain, names, now):
        for name in names:
            changes, marks = world.engines[name].changes, self.told.setdefault(name, set())
            while changes and changes[0][0] + 0.3 <= now:
                _, came, mark = changes.popleft()
                if world.rng.random() >= 0.02:
                    (marks.add if came else marks.discard)(mark)
        return super().choose(world, gateway, chain, names, now)

    def kept_tokens(self, gateway, name, chain, now):
        tokens, marks = 0, self.told.get(name, ())
        for prefix in chain.prefixes:
            if prefix.mark not in marks:
                break
            tokens = prefix.tokens
        return tokens


class OwnSends(Whole):
    """Each of six gateways knows what it sent itself."""

    def __init__(self):
        self.each = [KeptParts() for _ in range(6)]
        for kept in self.each:
            kept.seen_part = 1 / 6

    def kept_tokens(self, gateway, name, chain, now):
        return self.each[gateway % 6].kept_tokens(name, chain, now)

    def note(self, world, gateway, chain, name, now):
        kept = self.each[gateway % 6]
        kept.note_sent(name, chain.tokens + OWN_TOKENS, TERMS.memory_tokens)
        kept.note(name, chain, now)


class Homes(OwnSends):
    """And takes a chain for kept at its home."""

    def choose(self, world, gateway, chain, names, now):
        home = home_of(chain, names)

        def cost_s(name):
            kept = self.kept_tokens(gateway, name, chain, now)
            kept = tokens_at_home(chain, kept, SPEED) if name == home else kept
            return world.cost_s(name, chain, kept, now) - held_up_s(kept, SPEED)

        return min(names, key=cost_s)


class Alone(Whole):
    """85 gateways choose for themselves by old news; what is kept is no matter to them."""

    def choose(self, world, gateway, chain, names, now):
        costs_s = [(name, world.cost_s(name, chain, 0, now)) for name in names]
        return choose_spread(costs_s, NEWS_S, world.rng)


class Settled(Alone):
    """They draw the same engine for prompts that begin alike, unless these are many."""

    def __init__(self, gateways=85):
        super().__init__()
        self.shares = [ChainShares() for _ in range(gateways)]

    def choose(self, world, gateway, chain, names, now):
        costs_s = [(name, world.cost_s(name, chain, 0, now)) for name in names]
        share = self.shares[gateway % len(self.shares)].note(chain)
        mark = split_mark(chain, share, len(names), world.rng.random())
        return choose_settled(costs_s, NEWS_S, mark)


class SettledTen(Settled):
    """Ten gateways see more of the requests each."""

    def __init__(self):
        super().__init__(10)


@functools.cache
def played(way, seed, news_s=0.0, subjects=44, restart_s=0.0, scale=1):
    rate = 40.0 if scale == 1 else 20.0
    return World(way(), rate, seed, news_s, subjects, restart_s, scale).go()


def mean(way, read, *args):
    return sum(read(played(way, seed, *args)) for seed in SEEDS) / len(SEEDS)


def again(way, *args):
    return mean(way, lambda world: world.again_part, *args)


def late(way, *args):
    return mean(way, lambda world: world.late(), *args)


def longest(way, *args):
    return mean(way, lambda world: world.longest, *args)


def first_s(way, *args):
    return mean(way, lambda world: world.mean_s(), *args)


def wrong(way, *args):
    return mean(way, lambda world: world.wrong / max(1, world.credited), *args)


class TestLoad:
    def test_who_answers_all_spares_nearly_half_of_what_was_read_again(self):
        assert again(Whole) > 0.17
        assert again(Asked) < 0.6 * again(Whole)
        assert first_s(Asked) < first_s(Whole)

    def test_events_of_engines_would_tell_it_little_more(self):
        assert again(Asked) - again(Events) < 0.02

    def test_what_is_taken_for_kept_is_kept(self):
        assert wrong(Asked) < 0.01

    def test_own_sends_of_few_gateways_spare_little_and_homes_as_much_as_who_knows_all(self):
        assert again(OwnSends) > 0.85 * again(Whole)
        assert again(Homes) < 0.7 * again(Whole)

    def test_the_longest_queue_does_not_grow(self):
        for way in (Asked, Homes):
            assert longest(way) <= longest(Whole)
        for way in (Settled, SettledTen):
            assert longest(way, NEWS_S) <= longest(Alone, NEWS_S)

    def test_gateways_by_themselves_read_less_again_and_nobody_waits_longer(self):
        assert again(Settled, NEWS_S) < 0.97 * again(Alone, NEWS_S)
        assert again(SettledTen, NEWS_S) < 0.8 * again(Alone, NEWS_S)
        for way in (Settled, SettledTen):
            assert first_s(way, NEWS_S) <= first_s(Alone, NEWS_S)

    def test_one_chain_for_all_does_not_send_them_to_one_engine(self):
        assert first_s(Settled, NEWS_S, 1) <= 1.03 * first_s(Alone, NEWS_S, 1)
        assert longest(Settled, NEWS_S, 1) <= longest(Alone, NEWS_S, 1)
        assert longest(Homes, 0.0, 1) <= longest(Whole, 0.0, 1)

    def test_long_parts_draw_nobody_into_a_long_queue_for_what_may_not_be_kept(self):
        long_parts = (0.0, 44, 0.0, 8)
        assert again(Homes, *long_parts) < 0.6 * again(Whole, *long_parts)
        assert first_s(Homes, *long_parts) < 0.95 * first_s(Whole, *long_parts)
        assert late(Homes, *long_parts) < late(Whole, *long_parts) + 0.006
        assert longest(Homes, *long_parts) < 1.05 * longest(Whole, *long_parts)

    def test_an_engine_that_restarts_is_credited_wrongly_until_that_is_known(self):
        world = played(Asked, 1, 0.0, 44, 10.0)
        assert world.wrong > played(Asked, 1).wrong


PARTS = (PromptPart("a", 200), PromptPart("b", 100), PromptPart("c", 900))
MEMORY = 60_000


def new_kept(owner=""):
    kept = KeptParts()
    kept.note_sent("e0", 1_200, MEMORY)
    kept.note("e0", chain_of("m/x", owner, PARTS), 1.0)
    return kept


class TestChains:
    def test_the_last_part_is_the_requests_own(self):
        chain = chain_of("m/x", "", PARTS)
        assert [prefix.tokens for prefix in chain.prefixes] == [200, 300]
        assert chain == chain_of("m/x", "", (*PARTS[:2], PromptPart("d", 50)))
        assert chain_of("m/x", "", PARTS[:1]) is None
        assert chain_of("m/x", "", ()) is None

    def test_a_part_counts_only_behind_the_same_parts(self):
        other = chain_of("m/x", "", (PromptPart("z", 200), *PARTS[1:]))
        assert new_kept().kept_tokens("e0", other, 1.0) == 0

    def test_the_first_parts_alone_are_kept_too(self):
        other = chain_of("m/x", "", (PARTS[0], PromptPart("z", 10), PARTS[2]))
        assert new_kept().kept_tokens("e0", other, 1.0) == 200

    @pytest.mark.parametrize(
        ("weights", "owner"), [("m/y", "one"), ("m/x", "two"), ("m/x", ""), ("m", "one")]
    )
    def test_what_was_read_for_one_is_never_credited_to_another(self, weights, owner):
        kept = new_kept("one")
        assert kept.kept_tokens("e0", chain_of("m/x", "one", PARTS), 1.0) == 300
        assert kept.kept_tokens("e0", chain_of(weights, owner, PARTS), 1.0) == 0


class TestKeptParts:
    CHAIN = chain_of("m/x", "", PARTS)

    def test_another_engine_keeps_nothing_of_it(self):
        assert new_kept().kept_tokens("e1", self.CHAIN, 1.0) == 0
        assert new_kept().kept_tokens("e0", None, 1.0) == 0

    def test_an_engine_that_starts_again_keeps_nothing(self):
        kept = new_kept()
        kept.forget("e0")
        assert kept.kept_tokens("e0", self.CHAIN, 1.0) == 0
        assert kept.size == 0

    def test_parts_go_with_the_weights(self):
        kept = new_kept()
        kept.note("e0", chain_of("m/y", "", PARTS), 1.0)
        kept.forget_weights("e0", "m/x")
        assert kept.kept_tokens("e0", self.CHAIN, 1.0) == 0
        assert kept.kept_tokens("e0", chain_of("m/y", "", PARTS), 1.0) == 300
        assert kept.size == 2

    def test_they_give_way_to_what_is_sent_there(self):
        kept = new_kept()
        kept.note_sent("e0", int(CACHE_MEMORY_FRACTION * MEMORY), MEMORY)
        assert kept.kept_tokens("e0", self.CHAIN, 1.0) == 300
        kept.note_sent("e0", 1, MEMORY)
        assert kept.kept_tokens("e0", self.CHAIN, 1.0) == 0

    def test_who_sees_a_part_of_what_is_sent_reckons_with_the_rest(self):
        kept = new_kept()
        kept.seen_part = 0.1
        kept.note_sent("e0", int(CACHE_MEMORY_FRACTION * MEMORY / 10) + 1, MEMORY)
        assert kept.kept_tokens("e0", self.CHAIN, 1.0) == 0

    def test_they_age(self):
        kept = new_kept()
        assert kept.kept_tokens("e0", self.CHAIN, 1.0 + KEPT_S) == 300
        assert kept.kept_tokens("e0", self.CHAIN, 1.1 + KEPT_S) == 0

    def test_memory_is_bounded_and_the_newest_stay(self):
        kept = KeptParts()
        chains = [
            chain_of("m/x", "", (PromptPart(f"p{number}", 10), PARTS[2]))
            for number in range(3 * MAX_CACHED_PREFIXES)
        ]
        for chain in chains:
            kept.note_sent("e0", 10, 0)
            kept.note("e0", chain, 1.0)
            assert kept.size <= MAX_CACHED_PREFIXES
        assert kept.kept_tokens("e0", chains[-1], 1.0) == 10
        assert kept.kept_tokens("e0", chains[0], 1.0) == 0

    def test_what_a_planner_tells_is_taken_up_to_its_tokens(self):
        kept = KeptParts()
        kept.note("e0", self.CHAIN, 1.0, 200)
        assert kept.kept_tokens("e0", self.CHAIN, 1.0) == 200
        kept.note("e1", self.CHAIN, 1.0, 0)
        assert kept.kept_tokens("e1", self.CHAIN, 1.0) == 0

    def test_engines_that_are_gone_are_forgotten(self):
        kept = new_kept()
        kept.forget_gone({"e1"}, 1.0)
        assert kept.size == 0

    def test_what_has_aged_takes_no_memory_for_long(self):
        kept = new_kept()
        kept.forget_gone({"e0"}, 2.0)
        assert kept.size == 2
        kept.forget_gone({"e0"}, 2.1 + KEPT_S)
        assert kept.size == 0


class TestHomes:
    NAMES = tuple(f"e{number}" for number in range(8))

    def chains(self):
        return [chain_of("m/x", "", (PromptPart(f"p{n}", 10), PARTS[2])) for n in range(400)]

    def test_homes_are_spread_and_do_not_depend_on_the_order(self):
        homes = [home_of(chain, self.NAMES) for chain in self.chains()]
        assert homes == [home_of(chain, self.NAMES[::-1]) for chain in self.chains()]
        assert all(30 <= homes.count(name) <= 70 for name in self.NAMES)
        assert home_of(self.chains()[0], ()) == ""

    def test_an_engine_less_moves_only_its_own(self):
        for chain in self.chains():
            home = home_of(chain, self.NAMES)
            if home != "e3":
                assert home_of(chain, [name for name in self.NAMES if name != "e3"]) == home

    def test_a_chain_of_which_nothing_is_known_is_split(self):
        chain, shares = self.chains()[0], ChainShares()
        first = shares.note(chain)
        assert first == 1.0
        marks = {split_mark(chain, first, 4, number / 64) for number in range(64)}
        assert len(marks) == 32
        for other in self.chains()[1:40]:
            shares.note(other)
        rare = shares.note(chain)
        assert {split_mark(chain, rare, 4, number / 64) for number in range(64)} == {
            chain.prefixes[-1].mark
        }

    def test_weights_that_were_long_not_asked_for_are_forgotten(self):
        shares = ChainShares()
        for number in range(2_000):
            shares.note(chain_of(f"m/{number}", "", PARTS))
        assert len(shares._recent) == MAX_WEIGHTS

    def test_settled_draws_are_as_likely_as_those_by_chance(self):
        costs_s = [("e0", 0.1), ("e1", 0.1), ("e2", 0.1 + NEWS_S / 2), ("e3", 9.0)]
        drawn = [
            choose_settled(costs_s, NEWS_S, chain.prefixes[-1].mark) for chain in self.chains()
        ]
        # Weights 1, 1 and 1/e.
        assert drawn.count("e0") / len(drawn) == pytest.approx(0.42, abs=0.06)
        assert drawn.count("e2") / len(drawn) == pytest.approx(0.155, abs=0.05)
        assert "e3" not in drawn
