"""A load of few shared prompt parts on adapters with several copies, and engines that keep them."""

import random
from collections import OrderedDict, deque

from gradelug_policy.engine_room import EngineRates, Terms, expected_s
from gradelug_policy.kept_parts import PromptPart, chain_of
from gradelug_policy.reading import Busyness, Work

ENGINES = 12
GATEWAYS = 85
ADAPTERS = (("m/a", 6, 0.5), ("m/b", 3, 0.25), ("m/c", 2, 0.15), ("m/d", 1, 0.1))
"""Name, copies, part of the requests."""
SYSTEMS = 3
SYSTEM_TOKENS, SUBJECT_TOKENS, OWN_TOKENS, ANSWER_TOKENS = 210, 140, 1_110, 170
TERMS = Terms(12, 59_000)
SPEED = 19_200.0
HOLD_S = 1.5


class Engine:
    """Reads one prompt after the other and keeps parts until others need the memory."""

    def __init__(self, name):
        self.name = name
        self.kept = OrderedDict()
        """Tokens by part, the longest unused first."""
        self.used = 0
        self.read_until = 0.0
        self.runs = []
        """First event, end, tokens read, tokens held."""
        self.changes = deque()
        """When a part came or went, for who is told."""

    def busyness(self, now):
        self.runs = [run for run in self.runs if run[1] > now]
        waiting = [run for run in self.runs if run[0] > now]
        held = sum(run[3] for run in self.runs)
        running = len(self.runs) - len(waiting)
        return Busyness((sum(run[2] for run in waiting),), running, len(waiting), held)

    def restart(self, now):
        for mark in list(self.kept):
            self._drop(mark, now)

    def kept_tokens(self, chain):
        tokens = 0
        for prefix in chain.prefixes:
            if prefix.mark not in self.kept:
                break
            tokens = prefix.tokens
        return tokens

    def run(self, chain, number, now):
        """Return how long the first event takes, and what of the chain was read."""
        kept, before = self.kept_tokens(chain), 0
        for prefix in chain.prefixes:
            self._keep(prefix.mark, prefix.tokens - before, now)
            before = prefix.tokens
        self._keep(("own", number), OWN_TOKENS + ANSWER_TOKENS, now)
        read = chain.tokens + OWN_TOKENS - kept
        held = chain.tokens + OWN_TOKENS + ANSWER_TOKENS
        # Where all slots are taken the first that ends makes room.
        ends = sorted(run[1] for run in self.runs)
        room_at = ends[len(ends) - TERMS.slots] if len(ends) >= TERMS.slots else now
        first = self.read_until = max(now, self.read_until, room_at) + read / SPEED
        self.runs.append((first, first + HOLD_S, read, held))
        while self.used > TERMS.memory_tokens:
            self._drop(next(iter(self.kept)), now)
        return first - now, chain.tokens - kept

    def _keep(self, mark, tokens, now):
        if mark not in self.kept:
            self.used += tokens
            self.changes.append((now, True, mark))
        self.kept.setdefault(mark, tokens)
        self.kept.move_to_end(mark)

    def _drop(self, mark, now):
        self.used -= self.kept.pop(mark)
        self.changes.append((now, False, mark))


class World:
    """Engines, and gateways that send by a way of choosing and know engines as of the last news.

    Parameters
    ----------
    way : object
        ``choose(world, gateway, chain, names, now)`` returns an engine's name;
        ``note(world, gateway, chain, name, now)`` is called once it was sent there.
    """

    def __init__(self, way, rate=40.0, seed=1, news_s=0.0, subjects=44, restart_s=0.0, scale=1):
        self.rng = random.Random(seed)
        self.way, self.rate, self.restart_s = way, rate, restart_s
        self.news_s, self.subjects, self.scale = news_s, subjects, scale
        self.told, self.told_at = {}, -1.0
        self.engines = {f"e{number}": Engine(f"e{number}") for number in range(ENGINES)}
        names, at = list(self.engines), 0
        self.holders = {}
        for weights, copies, _ in ADAPTERS:
            self.holders[weights] = names[at : at + copies]
            at += copies
        self.seen = set()
        self.shared = self.again = self.credited = self.wrong = 0
        self.waits = []
        self.longest = 0

    def go(self, length_s=30.0):
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
        weights = self.rng.choices([a[0] for a in ADAPTERS], [a[2] for a in ADAPTERS])[0]
        system = self.rng.randrange(min(SYSTEMS, self.subjects))
        subject = self.rng.randrange(self.subjects)
        parts = (
            PromptPart(f"s{system}", self.scale * SYSTEM_TOKENS),
            PromptPart(f"s{system}.{subject}", self.scale * SUBJECT_TOKENS),
            PromptPart(f"own{number}", OWN_TOKENS),
        )
        chain = chain_of(weights, "", parts)
        gateway = self.rng.randrange(GATEWAYS)
        name = self.way.choose(self, gateway, chain, self.holders[weights], now)
        engine = self.engines[name]
        credited = self.way.kept_tokens(gateway, name, chain, now)
        there = engine.kept_tokens(chain)
        wait, read = engine.run(chain, number, now)
        self.way.note(self, gateway, chain, name, now)
        self.shared += chain.tokens
        self.credited += credited
        self.wrong += max(0, credited - there)
        known = 0
        for prefix in chain.prefixes:
            if prefix.mark in self.seen:
                known = prefix.tokens
            self.seen.add(prefix.mark)
        self.again += max(0, known - (chain.tokens - read))
        self.waits.append(wait)
        self.longest = max(self.longest, sum(engine.busyness(now).queued))

    def cost_s(self, name, chain, kept, now):
        if not self.news_s:
            self.told[name] = self.engines[name].busyness(now)
        elif now >= self.told_at + self.news_s:
            self.told = {name: engine.busyness(now) for name, engine in self.engines.items()}
            self.told_at = now
        work = Work(chain.tokens + OWN_TOKENS, 0, ANSWER_TOKENS, None, kept)
        return expected_s(self.told[name], work, TERMS, EngineRates(SPEED, HOLD_S))

    @property
    def again_part(self):
        """Part of the tokens of shared parts that was read again."""
        return self.again / self.shared

    def late(self, most_s=0.25):
        return sum(wait > most_s for wait in self.waits) / len(self.waits)

    def mean_s(self):
        return sum(self.waits) / len(self.waits)
