"""Complete gateways with engines that a part of a prompt crashes, whatever else is in it."""

import asyncio
import itertools
import random
from dataclasses import dataclass

from limit_world import SignallingEngine
from link_world import LinkWorld

BAD_PARTS = ("bad0", "bad1")
FIRST_PART = "c0"
"""First part of all prompts of one caller."""
OTHER_PARTS = 12
"""Number of sound parts that share the second place."""
SOUND, BAD = b"harmless", b"part"


@dataclass(slots=True)
class Attempt:
    """A request of a caller: when it was sent, its body and its status."""

    sent_at: float
    body: bytes
    status: int


class PromptEngine(SignallingEngine):
    """An engine that crashes when it begins to write an answer to a prompt with a bad part."""

    def crashes_at_start(self, inc):
        parts = (inc.header(b"x-gradelug-prompt-prefix") or b"").decode().split(",")
        names = [part.partition(":")[0] for part in parts[:-1]]
        return super().crashes_at_start(inc) or any(name in self.world.bad_parts for name in names)


class PromptWorld(LinkWorld):
    """Gateways with engines, and callers whose prompts share parts."""

    engine_type = PromptEngine

    def __init__(self, gateways=3, engines=6, bad_parts=BAD_PARTS[:1], without=()):
        self.bad_parts = bad_parts
        self.attempts = []
        self.numbers = itertools.count()
        self.rng = random.Random(3)
        super().__init__(gateways, engines, plain=2, without=without)

    async def send(self, body, parts, first=0, path=b"/s/x"):
        """Send a request with the given parts of its prompt, and again after a failure."""
        number = next(self.numbers)
        text = ",".join(f"{part}:40" for part in (*parts, f"own{number}"))
        headers = f"X-Gradelug-Prompt-Prefix: {text}\r\n".encode()
        adapter = f"a{number % 9}"
        for attempt in range(2):
            gateway = self.gateways[(first + attempt) % len(self.gateways)]
            sent_at = self.clock()
            status = await self.ask(
                gateway, b"%b %d" % (body, number), 4000, adapter, path, headers
            )
            if not attempt:
                self.attempts.append(Attempt(sent_at, b"%b %d" % (body, number), status))
            if status == 200 or status == 503:
                return
            await asyncio.sleep(0.3)

    async def send_sound(self, rate, until):
        """Send sound requests with the same first part, through the instances in turn."""
        at = 0
        while self.clock() < until:
            part = f"sound{self.rng.randrange(OTHER_PARTS)}"
            self.spawn(self.send(SOUND, (FIRST_PART, part), at))
            at += 1
            await asyncio.sleep(1 / rate)

    async def send_bad(self, rate, until, place=1):
        """Send requests with bad parts, no two alike, through the instances in turn."""
        at = 0
        while self.clock() < until:
            bad = self.bad_parts[at % len(self.bad_parts)]
            parts = (FIRST_PART, bad) if place == 1 else (bad, f"sound{at % OTHER_PARTS}")
            self.spawn(self.send(BAD, parts, at))
            at += 1
            await asyncio.sleep(1 / rate)

    def crashes(self):
        """Return the times at which bad requests crashed engines."""
        return [at for at, body, _ in self.ended if body.startswith(BAD)]

    def late_arrivals_of_parts(self, propagation_s, ends=5):
        """Return the arrivals of bad requests later than `propagation_s` after a crash."""
        crashed = self.crashes()
        if len(crashed) < ends:
            return []
        since = crashed[ends - 1] + propagation_s
        return [at for at, body, _ in self.arrived if body.startswith(BAD) and at > since]

    def sound_share(self, since, until):
        """Return the share of sound requests that were served at the first attempt."""
        found = [
            one.status == 200
            for one in self.attempts
            if one.body.startswith(SOUND) and since <= one.sent_at < until
        ]
        return sum(found) / max(1, len(found))
