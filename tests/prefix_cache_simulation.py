"""Simulation of prompts that share parts, on engines with prefix caches and replicated adapters."""

import random
from collections import OrderedDict, deque

from gradelug_policy.engine_capacity import EngineCapacity, EngineRates, expected_first_event_s
from gradelug_policy.prefill import EngineLoad, RequestWork
from gradelug_policy.prefix_cache import PromptPart, prefix_chain

ENGINES = 12
GATEWAYS = 85
ADAPTERS = (("m/a", 6, 0.5), ("m/b", 3, 0.25), ("m/c", 2, 0.15), ("m/d", 1, 0.1))
"""Name, number of copies, fraction of the requests."""
SYSTEMS = 3
SYSTEM_TOKENS, SUBJECT_TOKENS, OWN_TOKENS, ANSWER_TOKENS = 210, 140, 1_110, 170
TERMS = EngineCapacity(12, 59_000)
SPEED = 19_200.0
HOLD_S = 1.5


class Engine:
    """Simulated engine with sequential prefill and a prefix cache with LRU eviction."""

    def __init__(self, name):
        self.name = name
        self.cache = OrderedDict()
        """Tokens by part, the least recently used first."""
        self.used = 0
        self.prefill_until = 0.0
        self.runs = []
        """Time of the first event, time of the end, prefill tokens, memory tokens."""
        self.changes = deque()
        """Additions and evictions with their times, for policies that receive them as events."""

    def busyness(self, now):
        self.runs = [run for run in self.runs if run[1] > now]
        waiting = [run for run in self.runs if run[0] > now]
        held = sum(run[3] for run in self.runs)
        running = len(self.runs) - len(waiting)
        return EngineLoad((sum(run[2] for run in waiting),), running, len(waiting), held)

    def restart(self, now):
        for mark in list(self.cache):
            self._drop(mark, now)

    def kept_tokens(self, chain):
        tokens = 0
        for prefix in chain.prefixes:
            if prefix.mark not in self.cache:
                break
            tokens = prefix.tokens
        return tokens

    def run(self, chain, number, now):
        """Return the time to the first event, and the tokens of the chain that needed prefill."""
        cached, before = self.kept_tokens(chain), 0
        for prefix in chain.prefixes:
            self._keep(prefix.mark, prefix.tokens - before, now)
            before = prefix.tokens
        self._keep(("own", number), OWN_TOKENS + ANSWER_TOKENS, now)
        read = chain.tokens + OWN_TOKENS - cached
        held = chain.tokens + OWN_TOKENS + ANSWER_TOKENS
        # If all slots are taken, the run that ends first frees one.
        ends = sorted(run[1] for run in self.runs)
        slot_free_at = ends[len(ends) - TERMS.slots] if len(ends) >= TERMS.slots else now
        first = self.prefill_until = max(now, self.prefill_until, slot_free_at) + read / SPEED
        self.runs.append((first, first + HOLD_S, read, held))
        while self.used > TERMS.memory_tokens:
            self._drop(next(iter(self.cache)), now)
        return first - now, chain.tokens - cached

    def _keep(self, mark, tokens, now):
        if mark not in self.cache:
            self.used += tokens
            self.changes.append((now, True, mark))
        self.cache.setdefault(mark, tokens)
        self.cache.move_to_end(mark)

    def _drop(self, mark, now):
        self.used -= self.cache.pop(mark)
        self.changes.append((now, False, mark))


class CacheSimulation:
    """Engines, and gateways that choose by a policy and know the engines as of the last update.

    Parameters
    ----------
    policy : object
        ``choose(simulation, gateway, chain, names, now)`` returns an engine's name;
        ``note(simulation, gateway, chain, name, now)`` is called after the request was sent there.
    """

    def __init__(
        self, policy, rate=40.0, seed=1, state_age_s=0.0, subjects=44, restart_s=0.0, scale=1
    ):
        self.rng = random.Random(seed)
        self.policy, self.rate, self.restart_s = policy, rate, restart_s
        self.state_age_s, self.subjects, self.scale = state_age_s, subjects, scale
        self.state, self.updated_at = {}, -1.0
        self.engines = {f"e{number}": Engine(f"e{number}") for number in range(ENGINES)}
        names, at = list(self.engines), 0
        self.holders = {}
        for weights, copies, _ in ADAPTERS:
            self.holders[weights] = names[at : at + copies]
            at += copies
        self.processed = set()
        self.shared = self.repeated = self.credited = self.wrongly_credited = 0
        self.waits = []
        self.longest_queue = 0

    def run(self, length_s=30.0):
        now, number = 0.0, 0
        restart_at = self.restart_s or length_s + 1
        while now < length_s:
            now += self.rng.expovariate(self.rate)
            if now >= restart_at:
                restart_at = length_s + 1
                self.engines["e0"].restart(now)
            number += 1
            self._send(number, now)
        return self

    def _send(self, number, now):
        weights = self.rng.choices(
            [adapter[0] for adapter in ADAPTERS], [adapter[2] for adapter in ADAPTERS]
        )[0]
        system = self.rng.randrange(min(SYSTEMS, self.subjects))
        subject = self.rng.randrange(self.subjects)
        parts = (
            PromptPart(f"s{system}", self.scale * SYSTEM_TOKENS),
            PromptPart(f"s{system}.{subject}", self.scale * SUBJECT_TOKENS),
            PromptPart(f"own{number}", OWN_TOKENS),
        )
        chain = prefix_chain(weights, "", parts)
        gateway = self.rng.randrange(GATEWAYS)
        name = self.policy.choose(self, gateway, chain, self.holders[weights], now)
        engine = self.engines[name]
        credited = self.policy.kept_tokens(gateway, name, chain, now)
        cached = engine.kept_tokens(chain)
        wait, read = engine.run(chain, number, now)
        self.policy.note(self, gateway, chain, name, now)
        self.shared += chain.tokens
        self.credited += credited
        self.wrongly_credited += max(0, credited - cached)
        seen_tokens = 0
        for prefix in chain.prefixes:
            if prefix.mark in self.processed:
                seen_tokens = prefix.tokens
            self.processed.add(prefix.mark)
        self.repeated += max(0, seen_tokens - (chain.tokens - read))
        self.waits.append(wait)
        self.longest_queue = max(self.longest_queue, sum(engine.busyness(now).queued))

    def cost_s(self, name, chain, cached_tokens, now):
        if not self.state_age_s:
            self.state[name] = self.engines[name].busyness(now)
        elif now >= self.updated_at + self.state_age_s:
            self.state = {name: engine.busyness(now) for name, engine in self.engines.items()}
            self.updated_at = now
        work = RequestWork(chain.tokens + OWN_TOKENS, 0, ANSWER_TOKENS, None, cached_tokens)
        return expected_first_event_s(self.state[name], work, TERMS, EngineRates(SPEED, HOLD_S))

    @property
    def repeated_fraction(self):
        """Fraction of the tokens of shared parts that was processed again."""
        return self.repeated / self.shared

    def late_fraction(self, max_wait_s=0.25):
        return sum(wait > max_wait_s for wait in self.waits) / len(self.waits)

    def mean_wait_s(self):
        return sum(self.waits) / len(self.waits)
