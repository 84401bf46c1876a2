"""What a planner takes with many gateways and engines: real streams, stood-in engines.

``python tools/planner_load.py GATEWAYS ENGINES REQUESTS_PER_S [all]`` prints one JSON object: what
the planner's process takes, what each gateway is told, how long questions took. Gateways are the
real links, a hundred in a process. With ``all`` gateways are told of all engines.
"""

import asyncio
import json
import os
import random
import resource
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

import logbook
from gradelug_gateway.directory import RECONNECT_DELAY_S
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.link import PlannerLink
from gradelug_gateway.model import AdapterKey, FleetState
from gradelug_gateway.placement import PlacementService
from gradelug_gateway.search import PlannerAddress
from gradelug_wire import placement_pb2 as pb
from grpclib.server import Server
from simulated_fleet import RUN_S, SimulatedFleet

PER_PROCESS = 100
WARM_UP_S = 8.0
MEASURED_S = 10.0
WAIT_S = 4.0
HOST = "127.0.0.1"


class Held:
    """A duty that is held."""

    def __init__(self, planner):
        self.planner = planner


def used_s():
    """Return the processor time of this process, in seconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def memory_mb():
    """Return the resident memory of this process, in MB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def at(values, part):
    """Return the value below which a part of some sorted values is."""
    return values[int(part * len(values))] if values else 0.0


async def plan(gateways, engines, per_s, tells_all):
    """Plan for gateways in other processes; return the figures."""
    fleet = SimulatedFleet(0, engines, 0.0, may_scope=not tells_all, tells=True)
    await asyncio.sleep(1.0)
    before_mb, most_mb = memory_mb(), 0.0
    server = Server([PlacementService({"llm": Held(fleet.planner)}, lambda service: None)])
    await server.start(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]
    counts = [min(PER_PROCESS, gateways - at) for at in range(0, gateways, PER_PROCESS)]
    callers = [
        await asyncio.create_subprocess_exec(
            sys.executable, __file__, "gateways", str(port), str(count), str(at * PER_PROCESS),
            str(per_s / gateways), str(fleet.adapters), stdout=subprocess.PIPE,
        )
        for at, count in enumerate(counts)
    ]  # fmt: skip
    began, began_s = time.monotonic(), 0.0
    while time.monotonic() - began < WARM_UP_S + MEASURED_S:
        await asyncio.sleep(0.2)
        most_mb = max(most_mb, memory_mb())
        if not began_s and time.monotonic() - began > WARM_UP_S:
            began_s, since, followed = used_s(), time.monotonic(), len(fleet.planner.followers)
    part = (used_s() - began_s) / (time.monotonic() - since)
    found = [json.loads((await caller.communicate())[0]) for caller in callers]
    server.close()
    await fleet.stop()
    took = sorted(sum((one["took_s"] for one in found), []))
    return {
        "gateways": followed,
        "engines": engines,
        "requests_per_s": per_s,
        "scoped": fleet.planner.followers.is_scoped,
        "planner_cores": round(part, 3),
        "planner_mb": [round(before_mb), round(most_mb)],
        "told_kb_s_each": round(sum(one["kb_s"] for one in found) / gateways, 2),
        "messages_s_each": round(sum(one["messages_s"] for one in found) / gateways, 2),
        "answered": len(took),
        "failed": sum(one["failed"] for one in found),
        "streams": sum(one["streams"] for one in found),
        "question_ms": [round(1000 * at(took, part), 1) for part in (0.5, 0.9, 0.99)],
    }


class CountedLink(PlannerLink):
    """Counts what the planner tells."""

    __slots__ = ("bytes", "counts", "messages")

    def __init__(self, *args):
        super().__init__(*args)
        self.counts = False
        self.bytes = self.messages = 0

    def _take(self, message):
        if self.counts:
            self.messages += 1
            self.bytes += message.ByteSize()
        super()._take(message)


class Caller:
    """A gateway whose requests come at random."""

    def __init__(self, port, number, per_s, adapters):
        self.clock = asyncio.get_running_loop().time
        self.fleet = Fleet(FleetState(), "hall-0", self.clock)
        address = f"{HOST}:{number}"
        self.link = CountedLink("llm", f"g{number}", address, self.fleet, self.clock)
        self.planner = PlannerAddress("me", f"{HOST}:{port}", 1)
        self.per_s, self.adapters = per_s, adapters
        self.rng = random.Random(number)
        self.took_s, self.failed, self.ticket, self.streams = [], 0, 0, 0

    async def run(self):
        """Follow the planner, and let requests come."""
        following = asyncio.create_task(self.follow())
        requests = set()
        while not following.done():
            await asyncio.sleep(self.rng.expovariate(self.per_s))
            request = asyncio.create_task(self.request())
            requests.add(request)
            request.add_done_callback(requests.discard)

    async def follow(self):
        while True:
            self.streams += 1
            await self.link.follow(self.planner)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def request(self):
        self.ticket += 1
        adapter = min(self.adapters - 1, int(self.adapters ** self.rng.random()) - 1)
        key = AdapterKey("base-model", f"adapter-{adapter:05}")
        began = self.clock()
        ask = pb.Ask(
            ticket=self.ticket,
            model=key.model,
            adapter=key.adapter,
            wait_ms=4000,
            target_ms=1000,
            value=1.0,
            prompt_tokens=800,
        )
        try:
            answer = await self.link.ask(self.ticket, ask, began + WAIT_S)
        except TimeoutError:
            self.failed += 1
            return
        if self.link.counts:
            self.took_s.append(self.clock() - began)
        if not answer.replica:
            return
        load = self.fleet.load(answer.replica)
        load.running += 1
        self.link.note(answer.replica, key, 1, 800)
        await asyncio.sleep(RUN_S)
        load.running -= 1
        self.link.note(answer.replica, key, -1)


async def call(port, count, first, per_s, adapters):
    """Run some gateways; return what they were told, and how long their questions took."""
    callers = [Caller(port, first + number, per_s, adapters) for number in range(count)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(WARM_UP_S)
    for caller in callers:
        caller.link.counts = True
    await asyncio.sleep(MEASURED_S - 1.0)
    for task in tasks:
        task.cancel()
    return {
        "took_s": [took for caller in callers for took in caller.took_s],
        "failed": sum(caller.failed for caller in callers),
        "streams": sum(caller.streams for caller in callers),
        "kb_s": sum(caller.link.bytes for caller in callers) / 1e3 / (MEASURED_S - 1.0),
        "messages_s": sum(caller.link.messages for caller in callers) / (MEASURED_S - 1.0),
    }


def main():
    if sys.argv[1] == "gateways":
        port, count, first = map(int, sys.argv[2:5])
        made = call(port, count, first, float(sys.argv[5]), int(sys.argv[6]))
    else:
        gateways, engines, per_s = map(int, sys.argv[1:4])
        made = plan(gateways, engines, per_s, "all" in sys.argv[4:])
    with logbook.NullHandler().applicationbound():
        print(json.dumps(asyncio.run(made)))


if __name__ == "__main__":
    main()
