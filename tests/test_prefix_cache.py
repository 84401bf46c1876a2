"""Tests of prefix cache estimates, alone and in simulations of the choice of engines by them."""

import functools

import pytest
from gradelug_policy.prefix_affinity import (
    MAX_WEIGHTS,
    PrefixShares,
    preferred_engine,
    split_digest,
)
from gradelug_policy.prefix_cache import (
    CACHE_MEMORY_FRACTION,
    CACHE_TTL_S,
    MAX_CACHED_PREFIXES,
    PrefixCacheTracker,
    PromptPart,
    preferred_engine_tokens,
    prefill_delay_saved_s,
    prefix_chain,
)
from gradelug_policy.weighted_choice import choose_consistent, choose_weighted
from prefix_cache_simulation import OWN_TOKENS, SPEED, TERMS, CacheSimulation

STATE_AGE_S = 0.255
"""Age of the engine state where 85 gateways receive it from a planner."""
SEEDS = (1, 2, 3, 4, 5)


class GlobalState:
    """Chooses centrally by the current state of the engines and ignores their prefix caches."""

    def __init__(self):
        self.tracker = PrefixCacheTracker()

    def kept_tokens(self, gateway, name, chain, now):
        return 0

    def choose(self, simulation, gateway, chain, names, now):
        def cost_s(name):
            cached_tokens = self.kept_tokens(gateway, name, chain, now)
            return simulation.cost_s(name, chain, cached_tokens, now) - prefill_delay_saved_s(
                cached_tokens, SPEED
            )

        return min(names, key=cost_s)

    def note(self, simulation, gateway, chain, name, now):
        self.tracker.note_sent(name, chain.tokens + OWN_TOKENS, TERMS.memory_tokens)
        self.tracker.note(name, chain, now)


class PlannerEstimate(GlobalState):
    """A planner that all gateways ask estimates caches from the requests that it has placed."""

    def kept_tokens(self, gateway, name, chain, now):
        return self.tracker.estimate_cached_tokens(name, chain, now)


class CacheEvents(GlobalState):
    """Engines report cache changes, with a delay of 0.3 s and a loss of one in fifty."""

    def __init__(self):
        super().__init__()
        self.reported = {}

    def choose(self, simulation, gateway, chain, names, now):
        for name in names:
            changes, marks = simulation.engines[name].changes, self.reported.setdefault(name, set())
            while changes and changes[0][0] + 0.3 <= now:
                _, came, mark = changes.popleft()
                if simulation.rng.random() >= 0.02:
                    (marks.add if came else marks.discard)(mark)
        return super().choose(simulation, gateway, chain, names, now)

    def kept_tokens(self, gateway, name, chain, now):
        tokens, marks = 0, self.reported.get(name, ())
        for prefix in chain.prefixes:
            if prefix.mark not in marks:
                break
            tokens = prefix.tokens
        return tokens


class GatewayEstimates(GlobalState):
    """Each of six gateways estimates caches from its own requests."""

    def __init__(self):
        self.trackers = [PrefixCacheTracker() for _ in range(6)]
        for tracker in self.trackers:
            tracker.observed_fraction = 1 / 6

    def kept_tokens(self, gateway, name, chain, now):
        return self.trackers[gateway % 6].estimate_cached_tokens(name, chain, now)

    def note(self, simulation, gateway, chain, name, now):
        tracker = self.trackers[gateway % 6]
        tracker.note_sent(name, chain.tokens + OWN_TOKENS, TERMS.memory_tokens)
        tracker.note(name, chain, now)


class PreferredEngines(GatewayEstimates):
    """As before; in addition a chain is assumed to be cached at its preferred engine."""

    def choose(self, simulation, gateway, chain, names, now):
        preferred = preferred_engine(chain, names)

        def cost_s(name):
            cached_tokens = self.kept_tokens(gateway, name, chain, now)
            cached_tokens = (
                preferred_engine_tokens(chain, cached_tokens, SPEED)
                if name == preferred
                else cached_tokens
            )
            return simulation.cost_s(name, chain, cached_tokens, now) - prefill_delay_saved_s(
                cached_tokens, SPEED
            )

        return min(names, key=cost_s)


class RandomChoice(GlobalState):
    """85 gateways choose at random by an outdated state and ignore prefix caches."""

    def choose(self, simulation, gateway, chain, names, now):
        costs_s = [(name, simulation.cost_s(name, chain, 0, now)) for name in names]
        return choose_weighted(costs_s, STATE_AGE_S, simulation.rng)


class HashedChoice(RandomChoice):
    """Gateways choose by a hash of the prefix, so that a rare prefix goes to one engine."""

    def __init__(self, gateways=85):
        super().__init__()
        self.shares = [PrefixShares() for _ in range(gateways)]

    def choose(self, simulation, gateway, chain, names, now):
        costs_s = [(name, simulation.cost_s(name, chain, 0, now)) for name in names]
        share = self.shares[gateway % len(self.shares)].note(chain)
        mark = split_digest(chain, share, len(names), simulation.rng.random())
        return choose_consistent(costs_s, STATE_AGE_S, mark)


class HashedChoiceTenGateways(HashedChoice):
    """Ten gateways, each of which observes more of the requests."""

    def __init__(self):
        super().__init__(10)


@functools.cache
def simulated(policy, seed, state_age_s=0.0, subjects=44, restart_s=0.0, scale=1):
    rate = 40.0 if scale == 1 else 20.0
    return CacheSimulation(policy(), rate, seed, state_age_s, subjects, restart_s, scale).run()


def mean(policy, metric, *args):
    return sum(metric(simulated(policy, seed, *args)) for seed in SEEDS) / len(SEEDS)


def repeated(policy, *args):
    return mean(policy, lambda simulation: simulation.repeated_fraction, *args)


def late_fraction(policy, *args):
    return mean(policy, lambda simulation: simulation.late_fraction(), *args)


def longest_queue(policy, *args):
    return mean(policy, lambda simulation: simulation.longest_queue, *args)


def mean_wait_s(policy, *args):
    return mean(policy, lambda simulation: simulation.mean_wait_s(), *args)


def wrong_fraction(policy, *args):
    return mean(
        policy, lambda simulation: simulation.wrongly_credited / max(1, simulation.credited), *args
    )


class TestSimulatedLoad:
    def test_a_planner_estimate_avoids_nearly_half_of_the_repeated_prefill(self):
        assert repeated(GlobalState) > 0.17
        assert repeated(PlannerEstimate) < 0.6 * repeated(GlobalState)
        assert mean_wait_s(PlannerEstimate) < mean_wait_s(GlobalState)

    def test_cache_events_of_engines_add_little(self):
        assert repeated(PlannerEstimate) - repeated(CacheEvents) < 0.02

    def test_credited_parts_are_cached(self):
        assert wrong_fraction(PlannerEstimate) < 0.01

    def test_gateway_estimates_alone_avoid_little_and_preferred_engines_as_much_as_a_planner(self):
        assert repeated(GatewayEstimates) > 0.85 * repeated(GlobalState)
        assert repeated(PreferredEngines) < 0.7 * repeated(GlobalState)

    def test_the_longest_queue_does_not_grow(self):
        for policy in (PlannerEstimate, PreferredEngines):
            assert longest_queue(policy) <= longest_queue(GlobalState)
        for policy in (HashedChoice, HashedChoiceTenGateways):
            assert longest_queue(policy, STATE_AGE_S) <= longest_queue(RandomChoice, STATE_AGE_S)

    def test_hashed_choice_of_gateways_repeats_less_prefill_without_longer_waits(self):
        assert repeated(HashedChoice, STATE_AGE_S) < 0.97 * repeated(RandomChoice, STATE_AGE_S)
        assert repeated(HashedChoiceTenGateways, STATE_AGE_S) < 0.8 * repeated(
            RandomChoice, STATE_AGE_S
        )
        for policy in (HashedChoice, HashedChoiceTenGateways):
            assert mean_wait_s(policy, STATE_AGE_S) <= mean_wait_s(RandomChoice, STATE_AGE_S)

    def test_a_single_chain_does_not_overload_one_engine(self):
        assert mean_wait_s(HashedChoice, STATE_AGE_S, 1) <= 1.03 * mean_wait_s(
            RandomChoice, STATE_AGE_S, 1
        )
        assert longest_queue(HashedChoice, STATE_AGE_S, 1) <= longest_queue(
            RandomChoice, STATE_AGE_S, 1
        )
        assert longest_queue(PreferredEngines, 0.0, 1) <= longest_queue(GlobalState, 0.0, 1)

    def test_long_parts_do_not_attract_requests_to_a_long_queue(self):
        long_parts = (0.0, 44, 0.0, 8)
        assert repeated(PreferredEngines, *long_parts) < 0.6 * repeated(GlobalState, *long_parts)
        assert mean_wait_s(PreferredEngines, *long_parts) < 0.95 * mean_wait_s(
            GlobalState, *long_parts
        )
        assert (
            late_fraction(PreferredEngines, *long_parts)
            < late_fraction(GlobalState, *long_parts) + 0.006
        )
        assert longest_queue(PreferredEngines, *long_parts) < 1.05 * longest_queue(
            GlobalState, *long_parts
        )

    def test_a_restarted_engine_is_credited_wrongly_until_the_restart_is_known(self):
        simulation = simulated(PlannerEstimate, 1, 0.0, 44, 10.0)
        assert simulation.wrongly_credited > simulated(PlannerEstimate, 1).wrongly_credited


PARTS = (PromptPart("a", 200), PromptPart("b", 100), PromptPart("c", 900))
MEMORY = 60_000


def new_tracker(owner=""):
    tracker = PrefixCacheTracker()
    tracker.note_sent("e0", 1_200, MEMORY)
    tracker.note("e0", prefix_chain("m/x", owner, PARTS), 1.0)
    return tracker


class TestChains:
    def test_the_last_part_is_excluded(self):
        chain = prefix_chain("m/x", "", PARTS)
        assert [prefix.tokens for prefix in chain.prefixes] == [200, 300]
        assert chain == prefix_chain("m/x", "", (*PARTS[:2], PromptPart("d", 50)))
        assert prefix_chain("m/x", "", PARTS[:1]) is None
        assert prefix_chain("m/x", "", ()) is None

    def test_a_part_counts_only_after_the_same_parts(self):
        other = prefix_chain("m/x", "", (PromptPart("z", 200), *PARTS[1:]))
        assert new_tracker().estimate_cached_tokens("e0", other, 1.0) == 0

    def test_a_shorter_prefix_is_credited(self):
        other = prefix_chain("m/x", "", (PARTS[0], PromptPart("z", 10), PARTS[2]))
        assert new_tracker().estimate_cached_tokens("e0", other, 1.0) == 200

    @pytest.mark.parametrize(
        ("weights", "owner"), [("m/y", "one"), ("m/x", "two"), ("m/x", ""), ("m", "one")]
    )
    def test_a_prefix_is_never_credited_to_other_weights_or_owners(self, weights, owner):
        tracker = new_tracker("one")
        assert tracker.estimate_cached_tokens("e0", prefix_chain("m/x", "one", PARTS), 1.0) == 300
        assert tracker.estimate_cached_tokens("e0", prefix_chain(weights, owner, PARTS), 1.0) == 0


class TestKeptParts:
    CHAIN = prefix_chain("m/x", "", PARTS)

    def test_other_engines_are_not_credited(self):
        assert new_tracker().estimate_cached_tokens("e1", self.CHAIN, 1.0) == 0
        assert new_tracker().estimate_cached_tokens("e0", None, 1.0) == 0

    def test_a_restart_clears_the_cache(self):
        tracker = new_tracker()
        tracker.forget("e0")
        assert tracker.estimate_cached_tokens("e0", self.CHAIN, 1.0) == 0
        assert tracker.size == 0

    def test_unloaded_weights_clear_their_prefixes(self):
        tracker = new_tracker()
        tracker.note("e0", prefix_chain("m/y", "", PARTS), 1.0)
        tracker.forget_weights("e0", "m/x")
        assert tracker.estimate_cached_tokens("e0", self.CHAIN, 1.0) == 0
        assert tracker.estimate_cached_tokens("e0", prefix_chain("m/y", "", PARTS), 1.0) == 300
        assert tracker.size == 2

    def test_prefixes_are_evicted_by_later_prompts(self):
        tracker = new_tracker()
        tracker.note_sent("e0", int(CACHE_MEMORY_FRACTION * MEMORY), MEMORY)
        assert tracker.estimate_cached_tokens("e0", self.CHAIN, 1.0) == 300
        tracker.note_sent("e0", 1, MEMORY)
        assert tracker.estimate_cached_tokens("e0", self.CHAIN, 1.0) == 0

    def test_unobserved_traffic_is_extrapolated(self):
        tracker = new_tracker()
        tracker.observed_fraction = 0.1
        tracker.note_sent("e0", int(CACHE_MEMORY_FRACTION * MEMORY / 10) + 1, MEMORY)
        assert tracker.estimate_cached_tokens("e0", self.CHAIN, 1.0) == 0

    def test_prefixes_expire(self):
        tracker = new_tracker()
        assert tracker.estimate_cached_tokens("e0", self.CHAIN, 1.0 + CACHE_TTL_S) == 300
        assert tracker.estimate_cached_tokens("e0", self.CHAIN, 1.1 + CACHE_TTL_S) == 0

    def test_tracked_prefixes_are_bounded_and_the_newest_retained(self):
        tracker = PrefixCacheTracker()
        chains = [
            prefix_chain("m/x", "", (PromptPart(f"p{number}", 10), PARTS[2]))
            for number in range(3 * MAX_CACHED_PREFIXES)
        ]
        for chain in chains:
            tracker.note_sent("e0", 10, 0)
            tracker.note("e0", chain, 1.0)
            assert tracker.size <= MAX_CACHED_PREFIXES
        assert tracker.estimate_cached_tokens("e0", chains[-1], 1.0) == 10
        assert tracker.estimate_cached_tokens("e0", chains[0], 1.0) == 0

    def test_a_planners_report_counts_up_to_its_tokens(self):
        tracker = PrefixCacheTracker()
        tracker.note("e0", self.CHAIN, 1.0, 200)
        assert tracker.estimate_cached_tokens("e0", self.CHAIN, 1.0) == 200
        tracker.note("e1", self.CHAIN, 1.0, 0)
        assert tracker.estimate_cached_tokens("e1", self.CHAIN, 1.0) == 0

    def test_removed_engines_are_dropped(self):
        tracker = new_tracker()
        tracker.forget_gone({"e1"}, 1.0)
        assert tracker.size == 0

    def test_expired_prefixes_are_removed(self):
        tracker = new_tracker()
        tracker.forget_gone({"e0"}, 2.0)
        assert tracker.size == 2
        tracker.forget_gone({"e0"}, 2.1 + CACHE_TTL_S)
        assert tracker.size == 0


class TestPreferredEngines:
    NAMES = tuple(f"e{number}" for number in range(8))

    def chains(self):
        return [prefix_chain("m/x", "", (PromptPart(f"p{n}", 10), PARTS[2])) for n in range(400)]

    def test_preferred_engines_are_spread_and_independent_of_the_order(self):
        preferred = [preferred_engine(chain, self.NAMES) for chain in self.chains()]
        assert preferred == [preferred_engine(chain, self.NAMES[::-1]) for chain in self.chains()]
        assert all(30 <= preferred.count(name) <= 70 for name in self.NAMES)
        assert preferred_engine(self.chains()[0], ()) == ""

    def test_removing_an_engine_moves_only_its_chains(self):
        for chain in self.chains():
            preferred = preferred_engine(chain, self.NAMES)
            if preferred != "e3":
                assert (
                    preferred_engine(chain, [name for name in self.NAMES if name != "e3"])
                    == preferred
                )

    def test_a_chain_is_split_by_its_share(self):
        chain, shares = self.chains()[0], PrefixShares()
        first = shares.note(chain)
        assert first == 1.0
        marks = {split_digest(chain, first, 4, number / 64) for number in range(64)}
        assert len(marks) == 32
        for other in self.chains()[1:40]:
            shares.note(other)
        rare = shares.note(chain)
        assert {split_digest(chain, rare, 4, number / 64) for number in range(64)} == {
            chain.prefixes[-1].mark
        }

    def test_weights_without_recent_requests_are_dropped(self):
        shares = PrefixShares()
        for number in range(2_000):
            shares.note(prefix_chain(f"m/{number}", "", PARTS))
        assert len(shares._recent) == MAX_WEIGHTS

    def test_hashed_choice_has_the_distribution_of_the_random_choice(self):
        costs_s = [("e0", 0.1), ("e1", 0.1), ("e2", 0.1 + STATE_AGE_S / 2), ("e3", 9.0)]
        chosen = [
            choose_consistent(costs_s, STATE_AGE_S, chain.prefixes[-1].mark)
            for chain in self.chains()
        ]
        # Weights 1, 1 and 1/e.
        assert chosen.count("e0") / len(chosen) == pytest.approx(0.42, abs=0.06)
        assert chosen.count("e2") / len(chosen) == pytest.approx(0.155, abs=0.05)
        assert "e3" not in chosen
