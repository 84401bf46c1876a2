"""A small deployment on loopback: instances as processes, the project's stand-ins around them.

Instances are started with the command of the deploy file. Each reaches the store through a door of
its own, so that the store can turn single instances away. Replicas and store are the stand-ins of
the project's tests.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests")]
sys.path += [str(path) for path in sorted((ROOT / "packages").glob("*/src"))]

from fleet_stand_in import GATEWAY_HOST, Ledger, ReplicaStandIn  # noqa: E402
from gradelug_gateway.model import AdapterKey, Order, OrderOutcome  # noqa: E402
from gradelug_http import HttpServer, ServerLimits  # noqa: E402
from platform_stand_in import FakeStore  # noqa: E402

HOST = "127.0.0.1"
# Instances have a loopback address of the run for themselves: while one is down, nobody else takes
# its ports.
INSTANCE_HOST = GATEWAY_HOST
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
STATUS = {
    OrderOutcome.TAKEN: 202,
    OrderOutcome.HOLDS: 200,
    OrderOutcome.CONFLICT: 409,
    OrderOutcome.OUTRANKED: 412,
}


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def note(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def free_ports(count):
    """Return ports that the kernel has free, each with a free one behind it."""
    found = []
    while len(found) < count:
        with socket.socket() as one, socket.socket() as behind:
            one.bind((INSTANCE_HOST, 0))
            port = one.getsockname()[1]
            try:
                behind.bind((INSTANCE_HOST, port + 1))
            except OSError:
                continue
            if not {port, port + 1, port - 1} & set(found):
                found.append(port)
    return found


class Door:
    """One instance's way to the store, which can turn the instance away."""

    def __init__(self, store):
        self._store = store
        self._status = None
        self._turned = asyncio.Event()
        self.watched_at = 0.0
        """When a watch was answered last, by the loop's clock."""

    def turn_away(self, status):
        """Answer all calls with a status from now on, those that wait too."""
        self._status = status
        self._turned.set()

    def open(self):
        """Serve again."""
        self._status = None
        self._turned = asyncio.Event()

    async def serve(self, inc):
        if self._status is None:
            call = asyncio.ensure_future(self._store.serve(inc))
            # A caller that has left meanwhile gets no answer.
            call.add_done_callback(lambda done: done.cancelled() or done.exception())
            turned = asyncio.ensure_future(self._turned.wait())
            try:
                await asyncio.wait([call, turned], return_when=asyncio.FIRST_COMPLETED)
            finally:
                turned.cancel()
                if not call.done():
                    call.cancel()
            if not call.cancelled() and call.done():
                call.result()
                if b"/kv-watch" in inc.target:
                    self.watched_at = asyncio.get_running_loop().time()
                return
        inc.respond(self._status or 503, [], b"")


class Instance:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, name, folder, store_port, bounds, record):
        self.name = name
        self.front, self.ready, self.peer = free_ports(3)
        self._record = record
        self._log = Path(folder) / f"{name}.log"
        self._path = Path(folder) / f"{name}.toml"
        self._settings = (
            f'Node = "{name}"\nRole = "gateway"\nMachineClass = "edge"\nZone = "z"\n'
            f'Ip = "{INSTANCE_HOST}"\nPortRange = [{self.peer}, {self.peer + 1}]\nBootstrap = %s\n'
            f'HeartbeatMs = 1200\n[Listen]\nFront = "{INSTANCE_HOST}:{self.front}"\n'
            f'Ready = "{INSTANCE_HOST}:{self.ready}"\n[Limits]\nCpuShare = 0.537\nCores = 2\n'
            f"MemoryMb = 300\nMaxFds = 4100\nLinkMbps = 1000.0\n[Bounds]\n{bounds}"
            f'[Provider]\nAddress = "{HOST}:{store_port}"\nWritesPerS = 400\n'
            "ReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n"
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["gateway"]["run"].split()
        self.process = None

    def start(self):
        # True only as the whole system starts for the first time.
        self._path.write_text(self._settings % ("true" if self.process is None else "false"))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {
            "GRADELUG_CONFIG": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("ab") as out:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=out, stderr=out, stdin=subprocess.DEVNULL
            )
        self._record.note(f"{self.name} started")

    def signal(self, number):
        self._record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class OrderedReplica(ReplicaStandIn):
    """A replica that records the orders that it got and took."""

    def __init__(self, *args, record, **more):
        super().__init__(*args, **more)
        self._record = record
        self.taken = []
        """Orders that it took: when, from whom, with which fencing token."""

    def _order(self, inc):
        body = json.loads(inc.body)
        order = Order(
            body["Operation"] == "model_load",
            AdapterKey(body["Model"], body.get("Adapter", "")),
            body.get("Version", 0),
            body["Expected"],
            body["Owner"],
            body["FencingToken"],
        )
        outcome = self.engine.carry_out(order)
        inc.respond(STATUS[outcome], [], b"")
        self._record.note(
            f"order {self.name} from {order.owner}, token {order.fence}, "
            f"{body['Operation']} {order.key.adapter}: {STATUS[outcome]}"
        )
        if STATUS[outcome] < 300:
            self.taken.append((self._record.now(), order.owner, order.fence))


class Rig:
    """The deployment: a store with a door for each instance, replicas, instances."""

    def __init__(self, bounds, record):
        self.record = record
        self.store = FakeStore()
        self.ledger = Ledger()
        self.bounds = bounds
        self.instances = []
        self.doors = {}
        self.replicas = []
        self._servers = []
        self.folder = tempfile.mkdtemp(dir=os.environ.get("KEEP"))

    async def start_store(self, config):
        await self.store.kv.swap("op/config", json.dumps(config).encode(), 0)

    async def add_instance(self, name):
        door = self.doors[name] = Door(self.store)
        server = HttpServer(door.serve, ServerLimits, asyncio.get_running_loop().time)
        self._servers.append(server)
        port = await server.start(HOST, 0)
        self.instances.append(Instance(name, self.folder, port, self.bounds, self.record))

    async def add_replica(self, name, service, kind=OrderedReplica, **more):
        replica = kind(name, service, self.store.kv, self.ledger, record=self.record, **more)
        # The stand-in listens on an address of its run; peers are met on one of this script's.
        replica.port = await replica.server.start(HOST, 0)
        await replica.enter(f"{HOST}:{replica.port}")
        self.replicas.append(replica)
        return replica

    async def close(self):
        for instance in self.instances:
            instance.end()
        for server in [*self._servers, *(replica.server for replica in self.replicas)]:
            await server.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def _run_until_stopped(main):
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await main()


def run(main):
    """Run a script to its end, or end its processes if it is stopped; return its exit status."""
    try:
        return asyncio.run(_run_until_stopped(main))
    except asyncio.CancelledError:
        return NOT_RUN
