"""Detection of replicas that fail, flap, or are wrongly suspected, from many gateways' reports."""

import random
from collections import Counter

import pytest
from gradelug_gateway.fleet import FAILURE_COST_REQUESTS
from gradelug_gateway.health import Health
from gradelug_policy.doubts import OUTCOME_HOLD_S, SUSPICION_TTL_S, ReportAction, SuspectTracker
from gradelug_policy.outcomes import FailureEvidence, OutcomeCounts, Source, failure_rate
from gradelug_policy.standings import MAX_OPEN_S, MIN_OPEN_S, EjectionPhase, ReplicaEjection
from gradelug_policy.verdicts import MAX_EJECTED_FRACTION, OutlierDetector
from hypothesis import given
from hypothesis import strategies as st

GATHER_S = 0.2
NEWS_S = 0.24
GATEWAYS = 85
HALLS = ("a", "b", "c")
SOURCES = [Source(f"g{number}", HALLS[number % 3]) for number in range(GATEWAYS)]
REPLICAS = [f"e{number}" for number in range(10)]


class Own:
    """Each gateway uses only its own outcomes, as without shared health."""

    def __init__(self):
        self.records = {}

    def _health(self, source, replica):
        return self.records.setdefault((source, replica), Health())

    def choose(self, source, rng, now):
        def cost(replica):
            return FAILURE_COST_REQUESTS * self._health(source, replica).rate(now) + rng.random()

        allowed = [r for r in REPLICAS if self._health(source, r).circuit.allows(now)]
        chosen = min(allowed or REPLICAS, key=cost)
        self._health(source, chosen).circuit.note_start(now)
        return chosen

    def note(self, source, replica, failed, now):
        self._health(source, replica).note(failed, now)

    def tell(self, now):
        pass

    def ejected(self):
        return set()


class PooledRate(Own):
    """One failure rate over all gateways; above 0.3 of at least five outcomes, it ejects the
    replica.
    """

    def __init__(self):
        super().__init__()
        self.seen = {}
        self.out = {}

    def choose(self, source, rng, now):
        allowed = [r for r in REPLICAS if self.out.get(r, -1.0) < now]
        return rng.choice(allowed or REPLICAS)

    def note(self, source, replica, failed, now):
        self.seen.setdefault(replica, []).append((now, failed))

    def tell(self, now):
        for replica, seen in self.seen.items():
            seen[:] = [(at, failed) for at, failed in seen if now - at < 3.0]
            reports = [failed for at, failed in seen if at < now - GATHER_S]
            if len(reports) >= 5 and sum(reports) > 0.3 * len(reports):
                self.out[replica] = now + 2.0
                seen.clear()

    def ejected(self):
        return set(self.out)


class Pooled(Own):
    """The detector as gateways and planner use it, in addition to a gateway's own records."""

    def __init__(self):
        super().__init__()
        self.pool = OutlierDetector()
        self.found = {}
        self.reports = Counter()
        self.changes = []

    def choose(self, source, rng, now):
        for replica in REPLICAS:
            if self._found(source, replica)[1] == source.name:
                return replica
        held = {replica: self._found(source, replica)[0] for replica in REPLICAS}

        def cost(replica):
            own = self._health(source, replica).rate(now)
            return FAILURE_COST_REQUESTS * own + rng.random()

        allowed = [
            replica
            for replica in REPLICAS
            if self._health(source, replica).circuit.allows(now) and rng.random() >= held[replica]
        ]
        chosen = min(allowed or REPLICAS, key=cost)
        self._health(source, chosen).circuit.note_start(now)
        return chosen

    def _found(self, source, replica):
        held, prober = 0.0, ""
        for hall in ("", source.hall):
            finding = self.found.get((replica, hall))
            if finding is not None:
                held = max(held, finding.diverted_fraction)
                prober = prober or finding.prober
        return held, prober

    def note(self, source, replica, failed, now):
        super().note(source, replica, failed, now)
        self.reports[(source, replica, failed)] += 1

    def tell(self, now):
        for (source, replica, failed), count in self.reports.items():
            ended = OutcomeCounts(0, count) if failed else OutcomeCounts(count, 0)
            self.pool.note(replica, source, ended, now)
        self.reports.clear()
        members = {"llm": REPLICAS}
        self.changes += [(now, change) for change in self.pool.step(members, GATHER_S, now)]
        found = self.pool.health_of_replicas(members, now)
        self.found = {(finding.replica, finding.hall): finding for finding in found}

    def ejected(self):
        return {(change.replica, change.hall) for _, change in self.changes if change.ejected}


class SuspectsOnly(Pooled):
    """Gateways report suspected replicas only, and learn of others' suspects one message later."""

    def __init__(self):
        super().__init__()
        self.pool = OutlierDetector(lambda replica: True)
        self.doubts = {source: SuspectTracker() for source in SOURCES}
        self.unreported = {source: {} for source in SOURCES}
        self.entries = 0

    def note(self, source, replica, failed, now):
        Own.note(self, source, replica, failed, now)
        tally = self.unreported[source].setdefault(replica, [0, 0])
        tally[failed] += 1

    def tell(self, now):
        for source, unreported in self.unreported.items():
            if unreported:
                self.pool.record_activity(source, len(unreported), now)
            for replica, (good, bad) in list(unreported.items()):
                if bad:
                    self.doubts[source].suspect(replica, now)
                telling = self.doubts[source].decide(replica, now)
                if telling is ReportAction.KEEP:
                    continue
                del unreported[replica]
                if telling is ReportAction.TELL:
                    self.entries += 1
                    self.pool.note(replica, source, OutcomeCounts(good, bad), now)
        super().tell(now)
        for finding in self.found.values():
            if finding.failing or finding.diverted_fraction:
                for source in SOURCES:
                    if finding.hall in ("", source.hall):
                        self.doubts[source].suspect(finding.replica, now)


@pytest.fixture(params=[Pooled, SuspectsOnly])
def make(request):
    """Both ways of reporting: all replicas, as for those without engines, and suspected ones
    only.
    """
    return request.param


def simulate(method, fails, until=12.0, per_s=140.0, seed=1):
    """Return failed requests by replica, and sent requests by replica and second.

    `fails(rng, source, replica, now)` returns whether a request fails.
    """
    rng = random.Random(seed)
    sent, failed = Counter(), Counter()
    now, reported_at = 0.0, 0.0
    while now < until:
        now += rng.expovariate(per_s)
        if now - reported_at >= NEWS_S:
            reported_at = now
            method.tell(now)
        source = rng.choice(SOURCES)
        replica = method.choose(source, rng, now)
        bad = fails(rng, source, replica, now)
        sent[replica, int(now)] += 1
        failed[replica] += bad
        method.note(source, replica, bad, now)
    return failed, sent


def partial_failures(rng, source, replica, now):
    """Return whether a request fails: 45% at one replica from the third second on, 2% elsewhere."""
    return rng.random() < (0.45 if replica == "e3" and now > 2.0 else 0.02)


class TestPooledVerdicts:
    def test_a_replica_that_fails_nearly_half_is_ejected_soon(self):
        """At a failure rate of 45%, 85 gateways that learn individually keep sending requests."""
        counts = {}
        for make in (Own, PooledRate, Pooled, SuspectsOnly):
            seen = [simulate(make(), partial_failures, seed=seed) for seed in range(5)]
            counts[make] = sum(failed["e3"] for failed, _ in seen) / len(seen)
        for pooled in (Pooled, SuspectsOnly):
            assert counts[pooled] < 0.4 * counts[Own]
            assert counts[pooled] < 25

    @pytest.mark.parametrize("seed", range(5))
    def test_it_is_ejected_within_three_seconds_and_stays_so_while_it_fails(self, seed, make):
        method = make()
        _, sent = simulate(method, partial_failures, seed=seed)
        first = min(at for at, change in method.changes if change.ejected)
        assert first < 5.0
        assert sum(sent["e3", second] for second in range(6, 12)) < 0.3 * 6 * 14

    @pytest.mark.parametrize("seed", range(10))
    def test_a_failure_rate_of_three_percent_ejects_nothing(self, seed, make):
        method = make()
        simulate(method, lambda rng, *_: rng.random() < 0.03, until=30.0, seed=seed)
        assert not method.ejected()

    @pytest.mark.parametrize("seed", range(5))
    def test_one_faulty_gateway_ejects_nothing(self, seed, make):
        def fails(rng, source, replica, now):
            return source.name == "g7" or rng.random() < 0.02

        method = make()
        simulate(method, fails, until=30.0, seed=seed)
        assert not method.ejected()

    @pytest.mark.parametrize("others_bad", [0, 1])
    def test_a_faulty_gateway_and_chance_failures_at_two_others_eject_nothing(self, others_bad):
        pool = OutlierDetector()
        sources = [Source(f"g{number}", "a") for number in range(3)]
        changes = []
        for step in range(10):
            now = step * NEWS_S
            pool.note("e0", sources[0], OutcomeCounts(0, 1), now)
            if step == 5:
                for source in sources[1:]:
                    pool.note("e0", source, OutcomeCounts(1 - others_bad, others_bad), now)
            changes += pool.step({"llm": REPLICAS}, GATHER_S, now)
        assert not changes

    def test_a_gateway_with_a_third_of_the_requests_ejects_nothing(self):
        pool = OutlierDetector()
        rng = random.Random(2)
        changes = []
        for step in range(100):
            now = step * NEWS_S
            pool.note("e0", SOURCES[0], OutcomeCounts(0, 4), now)
            for source in rng.sample(SOURCES[1:], 8):
                pool.note("e0", source, OutcomeCounts(1, 0), now)
            changes += pool.step({"llm": REPLICAS}, GATHER_S, now)
        assert not changes

    @pytest.mark.parametrize("seed", range(3))
    def test_a_hall_that_cannot_reach_a_replica_ejects_it_only_for_itself(self, seed, make):
        def fails(rng, source, replica, now):
            return source.hall == "b" and replica == "e4" or rng.random() < 0.02

        method = make()
        simulate(method, fails, until=15.0, seed=seed)
        assert method.ejected() == {("e4", "b")}

    def test_simultaneous_resets_are_no_evidence(self):
        pool = OutlierDetector()
        for source in SOURCES:
            pool.note(
                "e0", source, OutcomeCounts(0, 1), 1.0 + 0.2 * random.Random(source.name).random()
            )
        for step in range(20):
            assert not pool.step({"llm": REPLICAS}, GATHER_S, 1.0 + step * NEWS_S)

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("part", [0.45, 0.9])
    def test_nothing_is_ejected_if_all_replicas_fail(self, part, seed, make):
        method = make()
        simulate(method, lambda rng, *_: rng.random() < part, until=30.0, seed=seed)
        assert not method.ejected()

    @pytest.mark.parametrize("seed", range(10))
    def test_a_wave_of_requests_that_fail_everywhere_ejects_nothing(self, seed, make):
        """One of three replicas had 8 of 11 requests failed while a third failed at all of them."""

        def fails(rng, source, replica, now):
            return rng.random() < (0.4 if 8.0 < now < 14.0 else 0.05)

        method = make()
        simulate(method, fails, until=20.0, seed=seed)
        assert not method.ejected()

    def test_a_recovered_replica_returns_in_steps(self, make):
        def fails(rng, source, replica, now):
            return replica == "e3" and 2.0 < now < 6.0 and rng.random() < 0.45

        method = make()
        _, sent = simulate(method, fails, until=25.0)
        ejected = [at for at, change in method.changes if change.ejected]
        returned = [at for at, change in method.changes if not change.ejected]
        assert ejected
        assert ejected[-1] < 6.5
        assert returned
        assert returned[-1] < 15.0
        assert sum(sent["e3", second] for second in range(20, 25)) > 0.7 * 5 * 14

    def test_a_flapping_replica_is_ejected_longer_each_time(self, make):
        def fails(rng, source, replica, now):
            return replica == "e3" and int(now / 6.0) % 2 == 0

        method = make()
        simulate(method, fails, until=60.0)
        strikes = [change.strikes for _, change in method.changes if change.ejected]
        assert len(strikes) >= 3
        assert strikes == sorted(strikes)

    def test_ejections_lengthen_and_old_ones_expire(self):
        ejection, evidence = ReplicaEjection(), FailureEvidence(3, 0.0, 0, 6)
        open_times_s = []
        for at in (0.0, 20.0, 40.0, 400.0):
            ejection.eject(evidence, at)
            open_s = 0.0
            while ejection.phase is EjectionPhase.OPEN:
                open_s += 0.05
                ejection.step(at + open_s)
            open_times_s.append(open_s)
        assert open_times_s[0] == pytest.approx(MIN_OPEN_S, abs=0.1)
        assert open_times_s[0] * 1.3 < open_times_s[1] < open_times_s[2] <= MAX_OPEN_S
        assert open_times_s[3] < 1.1 * MIN_OPEN_S

    def test_a_replica_without_probes_returns(self):
        pool = OutlierDetector()
        now = 0.0
        for step in range(20):
            now = step * NEWS_S
            for source in SOURCES[step * 4 : step * 4 + 4]:
                pool.note("e0", source, OutcomeCounts(0, 1), now)
            pool.step({"llm": REPLICAS}, GATHER_S, now)
        assert _held_back(pool, now) == 1.0
        for step in range(200):
            pool.step({"llm": REPLICAS}, GATHER_S, now + step * NEWS_S)
        assert _held_back(pool, now + 48.0) == 0.0

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 9),
                st.integers(0, 11),
                st.integers(0, 3),
                st.integers(0, 3),
                st.floats(0.0, 0.5),
            ),
            max_size=150,
        ),
        st.integers(1, 10),
    )
    def test_half_of_a_service_stays_usable_for_any_reports(self, reports, size):
        pool = OutlierDetector()
        members = {"llm": REPLICAS[:size]}
        now = 0.0
        for replica, number, good, bad, passed_s in reports:
            now += passed_s
            pool.note(f"e{replica}", SOURCES[number], OutcomeCounts(good, bad), now)
            pool.step(members, GATHER_S, now)
            findings = list(pool.health_of_replicas(members, now))
            for hall in HALLS:
                out = {
                    f.replica
                    for f in findings
                    if f.hall in ("", hall) and f.diverted_fraction == 1.0
                }
                assert len(out) <= MAX_EJECTED_FRACTION * size
            assert all(0.0 <= finding.failing <= 1.0 for finding in findings)


class TestSuspects:
    """Nearly all of 10,000 requests per second succeed, which need not be reported."""

    def test_successes_are_not_reported(self):
        method = SuspectsOnly()
        simulate(method, lambda *_: False)
        assert method.entries == 0

    def test_successes_are_reported_together_with_failures(self):
        doubts = SuspectTracker()
        assert doubts.decide("e0", 1.0) is ReportAction.KEEP
        assert doubts.decide("e0", 1.0 + OUTCOME_HOLD_S - 0.1) is ReportAction.KEEP
        doubts.suspect("e0", 1.0 + OUTCOME_HOLD_S)
        assert doubts.decide("e0", 1.0 + OUTCOME_HOLD_S) is ReportAction.TELL
        assert doubts.decide("e1", 1.0 + OUTCOME_HOLD_S) is ReportAction.KEEP

    def test_old_successes_are_dropped_and_newer_ones_kept(self):
        doubts = SuspectTracker()
        reports = [
            doubts.decide("e0", at) for at in (0.0, 1.0, OUTCOME_HOLD_S, OUTCOME_HOLD_S + 0.1)
        ]
        assert reports == [
            ReportAction.KEEP,
            ReportAction.KEEP,
            ReportAction.DROP,
            ReportAction.KEEP,
        ]

    def test_a_replica_is_reported_until_its_last_failure_expires(self):
        doubts = SuspectTracker()
        doubts.suspect("e0", 0.0)
        doubts.suspect("e0", 5.0)
        assert doubts.decide("e0", 5.0 + SUSPICION_TTL_S - 0.1) is ReportAction.TELL
        assert doubts.decide("e0", 5.0 + SUSPICION_TTL_S) is ReportAction.KEEP

    def test_a_new_planner_receives_no_earlier_suspects(self):
        doubts = SuspectTracker()
        doubts.suspect("e0", 0.0)
        assert doubts.decide("e1", 0.0) is ReportAction.KEEP
        doubts.reset()
        assert doubts.decide("e0", OUTCOME_HOLD_S) is ReportAction.KEEP
        assert doubts.decide("e1", OUTCOME_HOLD_S) is ReportAction.KEEP

    @pytest.mark.parametrize("is_used", [True, False])
    def test_unsuspected_replicas_set_the_usual_failure_rate(self, is_used):
        """Six of twenty replicas fail; no outcomes of the others are reported."""
        pool = OutlierDetector(lambda replica: is_used)
        replicas = [f"e{number}" for number in range(20)]
        rng, changes = random.Random(4), []
        for step in range(20):
            now = step * NEWS_S
            for replica in replicas[:6]:
                for source in rng.sample(SOURCES, 4):
                    bad = rng.random() < 0.45
                    pool.note(replica, source, OutcomeCounts(1 - bad, bad), now)
            changes += pool.step({"llm": replicas}, GATHER_S, now)
        ejected = {change.replica for change in changes if change.ejected}
        assert ejected == (set(replicas[:6]) if is_used else set())

    def test_failures_reported_before_successes_are_not_judged_alone(self):
        """One source is faulty; four others had one failure each and many unreported successes."""
        pool, changes = OutlierDetector(lambda replica: True), []
        sources = [Source(f"g{number}", "a") for number in range(40)]
        for step in range(10):
            now = step * NEWS_S
            pool.note("e0", sources[0], OutcomeCounts(0, 4), now)
            if step == 5:
                for source in sources[1:5]:
                    pool.note("e0", source, OutcomeCounts(0, 1), now)
            if step > 5:
                for source in sources[5:]:
                    pool.note("e0", source, OutcomeCounts(1, 0), now)
            changes += pool.step({"llm": REPLICAS}, GATHER_S, now)
        assert not changes

    def test_a_gateway_without_suspects_may_be_the_prober(self):
        pool = OutlierDetector(lambda replica: True)
        for step in range(20):
            now = step * NEWS_S
            for source in SOURCES[step * 4 : step * 4 + 4]:
                pool.note("e0", source, OutcomeCounts(0, 1), now)
            pool.step({"llm": REPLICAS}, GATHER_S, now)
        pool.record_activity(SOURCES[84], 9, now + 8.0)
        pool.step({"llm": REPLICAS}, GATHER_S, now + 8.0)
        (found,) = [
            each for each in pool.health_of_replicas({"llm": REPLICAS}, now + 8.0) if not each.hall
        ]
        assert found.prober == "g84"


def _held_back(pool, now):
    found = {
        f.replica: f.diverted_fraction
        for f in pool.health_of_replicas({"llm": REPLICAS}, now)
        if not f.hall
    }
    return found["e0"]


def test_a_rate_from_few_outcomes_is_biased_to_zero():
    assert failure_rate(0, 1) == 0.2
    assert failure_rate(60, 40) > 0.38
