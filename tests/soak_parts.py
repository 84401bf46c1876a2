"""The operator and the processes of a soak."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time

from fleet_stand_in import EVENTS, GATEWAY_HOST, HOST
from gradelug_cli.failures import find_failures
from gradelug_http import ConnectFailed, OutgoingRequest, ResponseBroken
from soak_settings import CONFIG, GRACE_S, LIMITED, PLAIN_TOKENS, REVOKE_S, REVOKED_SHARE, ROOT

MAX_PORT = 65_535
BUDGET_EXTRA = 400
EXITS = {
    signal.SIGKILL: frozenset({-signal.SIGKILL}),
    signal.SIGTERM: frozenset({0, -signal.SIGTERM}),
}
"""Statuses of processes that were killed or stopped, by the signal that they were sent."""
REQUESTED_EXITS = frozenset().union(*EXITS.values())
_event_re = re.compile(rb"id: (\d+)\ndata: (\S+)")


class Keys:
    """Keys of two organisations, taken away and given out in turn."""

    def __init__(self, store, clock, rng):
        self.store = store
        self.settings = CONFIG
        """The configuration without organisations and number."""
        self.clock = clock
        self.rng = rng
        self.numbers = iter(range(1, 1_000_000))
        self.held = {"free": [], "limited": []}
        self.holder = {}
        self.taken_at = {}
        """When the configuration without a key was acknowledged."""
        self.version = 1
        for name in self.held:
            for _ in range(3):
                self._give(name)

    def _give(self, name):
        key = f"key-{next(self.numbers)}"
        self.held[name].append(key)
        self.holder[key] = name

    def config(self, version):
        common = {"Unit": "token_stream", "PlainTokens": PLAIN_TOKENS}
        tenants = [{"Name": "free"}, LIMITED]
        tenants = [{**item, **common, "ApiKeys": self.held[item["Name"]]} for item in tenants]
        return json.dumps({**self.settings, "Version": version, "Tenants": tenants}).encode()

    async def change(self):
        """Take a key away and give another out."""
        name = self.rng.choice(list(self.held))
        gone = self.held[name].pop(self.rng.randrange(len(self.held[name])))
        self._give(name)
        self.version += 1
        await self.write()
        self.taken_at[gone] = self.clock()

    async def write(self):
        """Write the configuration, whatever stands there."""
        found = await self.store.kv.get("op/config")
        expected = found.revision if found is not None else 0
        swap = await self.store.kv.swap("op/config", self.config(self.version), expected)
        assert swap.swapped

    def choose(self, name):
        """Return a key of an organisation, now and then one that was taken away."""
        if self.taken_at and self.rng.random() < REVOKED_SHARE:
            return self.rng.choice(list(self.taken_at))
        return self.rng.choice(self.held[name])


class ResumedStream:
    """A stream that its caller drops after some events and resumes through another gateway."""

    def __init__(self):
        self.tries = []
        """Identifiers of its tries."""
        self.events = []
        """Number and software version of each event."""
        self.continued = False
        """Whether a later try brought an event."""

    async def play(self, soak, rng):
        """Receive the stream in two or three tries; drop all but the last after some events."""
        adapter = b"m/a%d" % rng.randint(1, 12)
        for last in (False, False, True):
            gateway = rng.choice(soak.gateways)
            before, most = len(self.events), EVENTS if last else rng.randint(1, EVENTS // 2)
            await self._try(soak, gateway, adapter, most)
            self.continued |= bool(before and len(self.events) > before)
            if len(self.events) == EVENTS or not self.events:
                return
            await asyncio.sleep(rng.uniform(0.0, 0.3))

    async def _try(self, soak, gateway, adapter, most):
        ident = f"r{next(soak.numbers)}"
        self.tries.append(ident)
        key = soak.keys.held["free"][0]
        body = f"body of {self.tries[0]}".encode()
        soak.ledger.bodies[ident] = body
        soak.ledger.organisations[ident] = "free"
        soak.sent[ident] = (soak.clock(), key)
        soak.through[ident] = gateway
        headers = [
            (b"Host", b"h"),
            (b"X-Gradelug-Request-Id", ident.encode()),
            (b"X-Gradelug-Deadline-Ms", b"4000"),
            (b"X-Gradelug-Model", adapter),
            (b"Authorization", f"Bearer {key}".encode()),
        ]
        if self.events:
            headers.append((b"Last-Event-Id", b"%d" % self.events[-1][0]))
            headers.append((b"Resumes", self.begun.encode()))
        out = OutgoingRequest(b"POST", b"/s/x", headers, body)
        status, conn = 0, None
        try:
            async with asyncio.timeout(4.5):
                conn = await soak.pool.acquire(f"{GATEWAY_HOST}:{gateway.front}", 1.0)
                conn.send(out)
                head = await conn.head(lambda head: True)
                status = head.status
                if status == 200:
                    await self._read(conn, ident, most)
        except (ConnectFailed, ResponseBroken, TimeoutError):
            pass
        finally:
            if conn is not None:
                conn.abort()
        if status in (408, 421, 429, 503):
            soak.answers[ident] = ("r", status, None, b"")

    async def _read(self, conn, ident, most):
        pending = b""
        while len(self.events) < most and (data := await conn.chunk()) is not None:
            *whole, pending = (pending + data).split(b"\n\n")
            for text in whole:
                number, software = _event_re.fullmatch(text).groups()
                if not self.events:
                    self.begun = ident
                self.events.append((int(number), software))

    def faults(self):
        """Return what was broken."""
        numbers = [number for number, _ in self.events]
        found = []
        if numbers != list(range(1, len(numbers) + 1)):
            found.append(f"{self.tries}: events {numbers}")
        if len({software for _, software in self.events}) > 1:
            found.append(f"{self.tries}: events of two versions: {self.events}")
        return found


class Gateway:
    """One gateway process, restarted when it ends."""

    def __init__(
        self, at, folder, store_port, ports, checks_tokens, args=(), budget_extra=BUDGET_EXTRA
    ):
        self.front, self.ready, self.peer = ports
        self.log = folder / f"g{at}.log"
        self.settings = folder / f"g{at}.toml"
        self.settings.write_text(
            f'Node = "g{at}"\nZone = "z"\nIp = "{GATEWAY_HOST}"\n'
            f"PortRange = [{self.peer}, {self.peer + 1}]\n"
            f'[Listen]\nFront = "{GATEWAY_HOST}:{self.front}"\n'
            f'Ready = "{GATEWAY_HOST}:{self.ready}"\n'
            f"[Bounds]\nGraceS = {GRACE_S}\nBudgetExtra = {budget_extra}\n"
            f"RequireFence = {str(checks_tokens).lower()}\n"
            f"StrictRevoke = true\nRevokeMs = {REVOKE_S * 1000:.0f}\n"
            f'[Provider]\nAddress = "{HOST}:{store_port}"\n'
        )
        self.args = args
        self.process = None
        self.exits = []
        """Statuses of its processes that ended, without the kill at the end of the run."""
        self.unrequested = []
        """Those of them that look like a kill or a stop which nobody sent."""
        self._expected = set()
        """Statuses with which its process may end."""
        self.troubles = []
        """Its kills and freezes: from when, until when."""
        self.stops = []
        """When it was asked to stop."""
        self.woken = []
        """When it was started or woken, by the clock of the soak."""

    def start(self):
        self.woken.append(time.monotonic())
        self._expected = set()
        env = {**os.environ, "GRADELUG_CONFIG": str(self.settings)}
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "serve.py"), *self.args],
                env=env,
                stdout=out,
                stderr=out,
            )

    def signal(self, number):
        if self.process.poll() is None:
            self._expected |= EXITS.get(number, frozenset())
            self.process.send_signal(number)

    @property
    def is_running(self):
        return self.process.poll() is None

    def note_exit(self):
        status = self.process.returncode
        self.exits.append(status)
        if status in REQUESTED_EXITS - self._expected:
            self.unrequested.append(status)

    def note_trouble(self, lasts_s=0.0):
        now = time.monotonic()
        self.troubles.append((now, now + lasts_s))

    def faults(self):
        """Return the exits that nobody asked for, and the errors in its log."""
        others = [status for status in self.exits if status not in REQUESTED_EXITS]
        found = [
            f"{self.log.name}: ended by itself with status {status}"
            for status in [*others, *self.unrequested]
        ]
        with self.log.open(errors="replace") as rows:
            found += [
                f"{self.log.name}: {failure.message}, {count} times"
                for failure, count in find_failures(rows).items()
            ]
        return found


def free_ports(count):
    """Return ports that the kernel has free; the one after the last of them is free as well."""
    sockets = []
    try:
        while len(sockets) < count:
            found = socket.socket()
            sockets.append(found)
            found.bind((GATEWAY_HOST, 0))
            if len(sockets) == count and not _is_free(found.getsockname()[1] + 1):
                sockets.pop().close()
        return [found.getsockname()[1] for found in sockets]
    finally:
        for found in sockets:
            found.close()


def _is_free(port):
    if port > MAX_PORT:
        return False
    with socket.socket() as found:
        try:
            found.bind((GATEWAY_HOST, port))
        except OSError:
            return False
    return True
