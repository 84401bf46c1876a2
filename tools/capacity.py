"""Measures what docs/CAPACITY.md is worked out from: `make capacity`.

Prints one JSON object a line. Processor time is read off the processes, so that the figures do
not depend on how fast the load comes.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import socket
import statistics
import sys
import time
import typing as t
from pathlib import Path

import aiohttp
from cluster import Cluster, example, scratch
from gradelug_standins.layout import lay_out

MODEL = "valuation-bayanzurkh@7"
CALLER = "tax-inspectorate"
TICKS = os.sysconf("SC_CLK_TCK")
SETTLE_S = 3.0
ALL = ("latency", "cost", "memory", "control", "recovery", "configuration")


def emit(name: str, **figures: t.Any) -> None:
    """Print one measurement."""
    rounded = {
        key: round(value, 4) if isinstance(value, float) else value
        for key, value in figures.items()
    }
    print(json.dumps({"measure": name, **rounded}), flush=True)


def cpu_s(cluster: Cluster, name: str) -> float:
    """Return a process's processor time so far."""
    text = Path(f"/proc/{cluster.processes[name].pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(cluster: Cluster, name: str) -> float:
    """Return a process's resident memory in MB."""
    text = Path(f"/proc/{cluster.processes[name].pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0]) / 1024


class Statsd:
    """Listens for gauges and counters of all processes."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

        self.latest: dict[str, float] = {}
        # Read as it comes: under load a full buffer would drop what is newest.
        asyncio.get_running_loop().add_reader(self.sock, self._read)

    def gauges(self) -> dict[str, float]:
        """Return the latest gauges."""
        return dict(self.latest)

    def _read(self) -> None:
        for line in self.sock.recv(65536).decode().splitlines():
            name, _, rest = line.partition(":")
            value, _, kind = rest.partition("|")
            if kind == "g":
                self.latest[name] = float(value)


def body(tokens: int, stream: bool) -> dict[str, t.Any]:
    """Return a request's body."""
    messages = [{"role": "user", "content": "x"}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": stream}


async def run(
    name: str, measure: t.Callable[[Cluster], t.Awaitable[None]], **kwargs: t.Any
) -> None:
    """Run a measurement on a cluster of its own."""
    folder = scratch(f"capacity-{name}")
    try:
        layout = lay_out(example("tenger"), folder, log_level="warning", **kwargs)
        async with Cluster(layout) as cluster:
            await asyncio.sleep(SETTLE_S)
            await measure(cluster)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


async def latency() -> None:
    """Time to the first byte, through the path and straight at the engine, in turn."""

    async def measure(cluster: Cluster) -> None:
        router = next(iter(cluster.layout.routers))
        for _ in range(20):
            await cluster.complete(router, CALLER, body(1, True))
        engine = await holder(cluster)
        direct, through = [], []
        for _ in range(500):
            direct.append(await timed(cluster, cluster.layout.engines[engine], ""))
            token = cluster.layout.tokens[CALLER]
            through.append(await timed(cluster, cluster.layout.routers[router], token))
        for kind, values in (("direct", direct), ("through", through)):
            emit("latency", path=kind, n=len(values), **quantiles(values))
        added = [b - a for a, b in zip(sorted(direct), sorted(through), strict=True)]
        emit("latency", path="added", n=len(added), **quantiles(added))

    await run("latency", measure, instances=1, count=200, token_s=0.001)


async def holder(cluster: Cluster) -> str:
    """Return an engine that holds the model."""
    for name, url in cluster.layout.engines.items():
        if MODEL in (await cluster.get(f"{url}/_runs"))["adapters"]:
            return name
    raise RuntimeError("no engine holds the model")


async def timed(cluster: Cluster, url: str, token: str) -> float:
    """Return the milliseconds to the first byte of a stream."""
    headers = {"Authorization": f"Bearer {token}"}
    started = time.perf_counter()
    async with cluster.session.post(
        f"{url}/v1/chat/completions", json=body(1, True), headers=headers
    ) as res:
        await res.content.readany()
        took = time.perf_counter() - started
        await res.read()
    return took * 1000


def quantiles(values: t.Sequence[float]) -> dict[str, float]:
    """Return the median and the 99th percentile."""
    cuts = statistics.quantiles(values, n=100)
    return {"p50_ms": cuts[49], "p99_ms": cuts[98]}


async def cost() -> None:
    """Processor time of a router and a scheduler per request and per token event."""

    async def measure(cluster: Cluster) -> None:
        router = next(iter(cluster.layout.routers))
        await cluster.complete(router, CALLER, body(1, False))
        for tokens in (1, 50, 100, 200):
            for clients in (8, 24):
                await measure_cost(cluster, router, tokens, clients)

    await run("cost", measure, instances=1, count=200, token_s=0.005)


async def measure_cost(cluster: Cluster, router: str, tokens: int, clients: int) -> None:
    """Send streams for a while and read off the processor time."""
    before = {name: cpu_s(cluster, name) for name in (router, "scheduler-1")}
    started = time.perf_counter()
    until = started + 4.0
    done = 0

    async def client() -> None:
        nonlocal done
        while time.perf_counter() < until:
            status, _, _ = await cluster.complete(router, CALLER, body(tokens, True))
            done += status == 200

    await asyncio.gather(*(client() for _ in range(clients)))
    took = time.perf_counter() - started
    used = {name: cpu_s(cluster, name) - at for name, at in before.items()}
    emit(
        "cost",
        tokens=tokens,
        clients=clients,
        requests_per_s=done / took,
        events_per_s=done * (tokens + 1) / took,
        router_ms_per_request=used[router] / done * 1000,
        scheduler_ms_per_request=used["scheduler-1"] / done * 1000,
        router_busy=used[router] / took,
    )


async def memory() -> None:
    """Resident memory of each process, by the number of adapters."""
    for count in (50, 5_000, 10_000, 20_000):

        async def measure(cluster: Cluster, count: int = count) -> None:
            emit(
                "memory",
                adapters=count,
                router_mb=resident_mb(cluster, "router-1"),
                scheduler_mb=resident_mb(cluster, "scheduler-1"),
            )

        await run("memory", measure, instances=1, count=count)


async def control() -> None:
    """What control costs an instance, by the number of instances, idle and under load."""
    for instances in (3, 6, 9):
        statsd = Statsd()

        async def measure(cluster: Cluster, statsd: Statsd = statsd) -> None:
            await measure_control(cluster, statsd, "idle")
            load = [asyncio.create_task(keep_asking(cluster, r)) for r in cluster.layout.routers]
            await measure_control(cluster, statsd, "loaded")
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)

        await run("control", measure, instances=instances, count=200, statsd=statsd.address)


async def measure_control(cluster: Cluster, statsd: Statsd, state: str) -> None:
    """Read off what all instances used within a while."""
    window_s = 12.0
    names = [*cluster.layout.schedulers, *cluster.layout.routers]
    instances = len(cluster.layout.routers)
    first = await cluster.get(f"{cluster.layout.kv}/_stats")
    gauges = statsd.gauges()
    before = {name: cpu_s(cluster, name) for name in names}
    await asyncio.sleep(window_s)
    last = await cluster.get(f"{cluster.layout.kv}/_stats")
    used = {name: (cpu_s(cluster, name) - at) / window_s for name, at in before.items()}
    moved = dict.fromkeys(("peer_bytes", "peer_calls"), 0.0)
    for name, value in statsd.gauges().items():
        kind = name.rpartition(".")[2]
        if kind in moved:
            moved[kind] += (value - gauges.get(name, value)) / window_s / instances
    emit(
        "control",
        state=state,
        instances=instances,
        kv_calls_per_instance_s=(last["calls"] - first["calls"]) / window_s / instances,
        scheduler_core=mean(used, "scheduler"),
        router_core=mean(used, "router"),
        bytes_per_instance_s=moved["peer_bytes"],
        calls_per_instance_s=moved["peer_calls"],
    )


def mean(used: t.Mapping[str, float], kind: str) -> float:
    """Return the mean over the processes of a kind."""
    return statistics.mean(value for name, value in used.items() if name.startswith(kind))


async def recovery() -> None:
    """From the kill of an engine's owner to the first answer under its successor's grant."""
    took = []
    for _ in range(5):

        async def measure(cluster: Cluster) -> None:
            router = "router-3"
            others = ["valuation-1", "valuation-3"]
            cluster.gradelug("drain", *others)
            await asyncio.sleep(1.5)
            await cluster.complete(router, CALLER, body(1, False))
            status = json.loads(cluster.gradelug("status", "--json").stdout)
            owner = status["engines"]["valuation-2"]["owner"].rpartition("-")[0]
            # Credits granted before the kill would answer at once; let them run out.
            await asyncio.sleep(2.5)
            cluster.processes[owner].kill()
            started = time.perf_counter()
            while True:
                code, _, _ = await cluster.complete(router, CALLER, body(1, False))
                if code == 200:
                    took.append(time.perf_counter() - started)
                    return

        await run("recovery", measure, instances=3, count=200)
    emit("recovery", n=len(took), median_s=statistics.median(took), most_s=max(took))


async def configuration() -> None:
    """From an accepted change to its being in force on nine instances."""

    async def measure(cluster: Cluster) -> None:
        await measure_configuration(cluster, "idle")
        load = [
            asyncio.create_task(keep_asking(cluster, name))
            for name in cluster.layout.routers
            for _ in range(3)
        ]
        await measure_configuration(cluster, "loaded")
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        await cluster.post(f"{cluster.layout.kv}/_faults", {"delay_s": 0.5})
        await measure_configuration(cluster, "slow key-value service")

    await run("configuration", measure, instances=9, count=5000)


async def keep_asking(cluster: Cluster, router: str) -> None:
    """Send requests until cancelled."""
    while True:
        await cluster.complete(router, CALLER, body(5, True))


async def measure_configuration(cluster: Cluster, state: str) -> None:
    """Change the configuration a few times and time each change."""
    took = []
    for turn in range(5):
        done = await asyncio.to_thread(
            cluster.gradelug, "label", "adapters", "valuation-soum-0001", f"turn={turn}x"
        )
        accepted = time.perf_counter()
        revision = int(done.stdout.split("revision ")[1].split()[0])
        while (
            min(await asyncio.gather(*map(revision_of(cluster), cluster.layout.routers))) < revision
        ):
            await asyncio.sleep(0.02)
        took.append(time.perf_counter() - accepted)
    emit(
        "configuration",
        state=state,
        n=len(took),
        median_s=statistics.median(took),
        most_s=max(took),
    )


def revision_of(cluster: Cluster) -> t.Callable[[str], t.Awaitable[int]]:
    """Return a coroutine function that tells a router's revision."""

    async def ask(router: str) -> int:
        async with cluster.session.get(cluster.layout.routers[router] + "/readyz") as res:
            return int(res.headers.get("Gradelug-Revision", "0"))

    return ask


async def main(names: t.Sequence[str]) -> None:
    """Run the measurements named, or all."""
    for name in names or ALL:
        await globals()[name]()


if __name__ == "__main__":
    try:
        asyncio.run(main(sys.argv[1:]))
    except aiohttp.ClientError as exc:
        raise SystemExit(f"a measurement failed: {exc!r}") from exc
