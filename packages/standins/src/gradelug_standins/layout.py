"""Laying out an example on loopback: settings, configuration and a Procfile for every process."""

from __future__ import annotations

import socket
import tomllib
import typing as t
from dataclasses import dataclass, field, replace
from pathlib import Path

import tomli_w
from gradelug_config import Document, load
from gradelug_config.buckets import to_plain

from . import adapters

HOST = "127.0.0.1"


@dataclass(slots=True, frozen=True)
class Layout:
    """An example laid out.

    Parameters
    ----------
    example : str
        Its name.
    folder : Path
        Where its files are.
    kv : str
        Address of the key-value service.
    routers : dict of str to str
        ``http://IP:port`` by the router's name.
    schedulers : dict of str to str
        ``IP:port`` by the scheduler's name.
    engines, services : dict of str to str
        Addresses by name.
    tokens : dict of str to str
        The example callers' tokens.
    processes : dict of str to list of str
        Command lines by the process's name.
    """

    example: str
    folder: Path
    kv: str
    instances: str
    routers: dict[str, str] = field(default_factory=dict)
    schedulers: dict[str, str] = field(default_factory=dict)
    engines: dict[str, str] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    tokens: dict[str, str] = field(default_factory=dict)
    processes: dict[str, list[str]] = field(default_factory=dict)

    @property
    def configuration(self) -> Path:
        """Folder of the operators' TOML files."""
        return self.folder / "configuration"

    @classmethod
    def load(cls, folder: Path) -> Layout:
        """Read a layout back, without its processes."""
        data = tomllib.loads((folder / "layout.toml").read_text(encoding="utf-8"))
        return cls(folder=folder, **data)

    def save(self) -> None:
        """Write the layout for `load`."""
        data = {
            "example": self.example,
            "kv": self.kv,
            "instances": self.instances,
            "routers": self.routers,
            "schedulers": self.schedulers,
            "engines": self.engines,
            "services": self.services,
            "tokens": self.tokens,
        }
        (self.folder / "layout.toml").write_text(tomli_w.dumps(data), encoding="utf-8")

    def as_toml(self) -> str:
        """Return the addresses and tokens for people and scripts."""
        data = {"kv": self.kv, "routers": self.routers, "tokens": self.tokens}
        return tomli_w.dumps(data)


class Ports:
    """Free ports, chosen by the kernel and kept apart until all are chosen.

    Parameters
    ----------
    host : str
        Loopback address that they are for.
    """

    def __init__(self, host: str = HOST) -> None:
        self._host = host
        self._sockets: list[socket.socket] = []

    def take(self) -> str:
        """Return ``IP:port``."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._host, 0))
        self._sockets.append(sock)
        return f"{self._host}:{sock.getsockname()[1]}"

    def release(self) -> None:
        """Free the ports for the processes that will listen on them."""
        for sock in self._sockets:
            sock.close()


def lay_out(
    source: Path,
    folder: Path,
    instances: int = 0,
    count: int = 0,
    token_s: float = 0.02,
    load_s: float = 0.05,
    log_level: str = "info",
    timing: t.Mapping[str, float] | None = None,
    statsd: str = "",
    host: str = HOST,
) -> Layout:
    """Write everything that an example's processes need below `folder`.

    Parameters
    ----------
    source : Path
        The example's folder.
    folder : Path
        Where to write.
    instances : int
        Entry instances; one a hall if 0.
    count : int
        Adapters; as the example says if 0.
    token_s, load_s : float
        Speed of the stand-in engines.
    timing : mapping, optional
        Overrides of the schedulers' periods.
    statsd : str
        ``IP:port`` where counters go.
    host : str
        Loopback address of all processes. Ports are chosen before they are bound; until then any
        connection of another process may take one at the usual address.
    """
    folder.mkdir(parents=True, exist_ok=True)
    configuration = folder / "configuration"
    configuration.mkdir(exist_ok=True)
    adapters.write(source, configuration / "adapters.toml", count)
    document = load([source / "rules.toml", configuration / "adapters.toml"])
    ports = Ports(host)
    store, listing, legacy = ports.take(), ports.take(), ports.take()
    layout = Layout(source.name, folder, f"http://{ports.take()}", f"http://{listing}")
    document = _readdress(document, ports, layout, f"http://{legacy}")
    _write_rules(document, configuration)
    _add_standins(document, layout, store, legacy, token_s, load_s)
    common = {"log": {"level": log_level}, "statsd": {"address": statsd}}
    _add_instances(document, layout, ports, instances, common, dict(timing or {}))
    for caller in document.callers:
        layout.tokens[caller.name] = f"{source.name}-{caller.name}"
    lines = [f"{name}: {' '.join(command)}" for name, command in layout.processes.items()]
    (folder / "Procfile").write_text("\n".join(lines) + "\n", encoding="utf-8")
    layout.save()
    ports.release()
    return layout


def _readdress(document: Document, ports: Ports, layout: Layout, legacy: str) -> Document:
    pools = []
    for pool in document.pools:
        engines = [replace(item, address=f"http://{ports.take()}") for item in pool.engines]
        layout.engines.update({item.name: item.address for item in engines})
        pools.append(replace(pool, engines=engines))
    services = []
    for service in document.services:
        replicas = [replace(item, address=f"http://{ports.take()}") for item in service.replicas]
        layout.services.update({item.name: item.address for item in replicas})
        services.append(replace(service, replicas=replicas))
    return replace(document, pools=pools, services=services, legacy_address=legacy)


def _write_rules(document: Document, configuration: Path) -> None:
    plain = to_plain(document)
    plain.pop("adapters")
    (configuration / "rules.toml").write_text(tomli_w.dumps(plain), encoding="utf-8")


def _add_standins(
    document: Document, layout: Layout, store: str, legacy: str, token_s: float, load_s: float
) -> None:
    def add(name: str, *words: t.Any) -> None:
        layout.processes[name] = ["gradelug-standins", *map(str, words)]

    add("kv", "kv", "--listen", layout.kv.removeprefix("http://"))
    rate, parallel = document.store_loads_per_s, document.store_parallel
    add("store", "store", "--listen", store, "--rate", rate, "--parallel", parallel)
    targets = [
        address.removeprefix("http://")
        for address in [*layout.engines.values(), *layout.services.values()]
    ]
    listing = layout.instances.removeprefix("http://")
    add("instances", "instances", "--listen", listing, "--targets", f"'{' '.join(targets)}'")
    for pool in document.pools:
        for engine in pool.engines:
            add(
                engine.name,
                "engine",
                "--listen",
                engine.address.removeprefix("http://"),
                "--name",
                engine.name,
                "--store",
                f"http://{store}",
                "--slots",
                pool.slots,
                "--batch",
                pool.batch,
                "--token-s",
                token_s,
                "--load-s",
                load_s,
                "--checks-fences",
                engine.checks_fences,
            )
    for name, address in {**layout.services, "legacy": f"http://{legacy}"}.items():
        add(name, "service", "--listen", address.removeprefix("http://"), "--name", name)


def _add_instances(
    document: Document,
    layout: Layout,
    ports: Ports,
    instances: int,
    common: dict[str, t.Any],
    timing: dict[str, float],
) -> None:
    halls = sorted({engine.hall for pool in document.pools for engine in pool.engines})
    numbers = range(1, (instances or len(halls)) + 1)
    places = {number: halls[(number - 1) % len(halls)] for number in numbers}
    addresses = {number: ports.take() for number in numbers}
    for number, hall in places.items():
        seeds = [address for other, address in addresses.items() if other != number]
        scheduler = {
            "name": f"scheduler-{number}",
            "listen": addresses[number],
            "seeds": seeds,
            "platform": {"kv": layout.kv, "instances": layout.instances},
            "timing": timing,
            "hall": hall,
            **common,
        }
        router = {
            "name": f"router-{number}",
            "listen": ports.take(),
            "schedulers": [addresses[number], *seeds],
            "hall": hall,
            **common,
        }
        layout.schedulers[f"scheduler-{number}"] = addresses[number]
        layout.routers[f"router-{number}"] = f"http://{router['listen']}"
        for program, settings in (("scheduler", scheduler), ("router", router)):
            path = layout.folder / f"{settings['name']}.toml"
            path.write_text(tomli_w.dumps(settings), encoding="utf-8")
            command = [f"gradelug-{program}", "--settings", str(path)]
            layout.processes[str(settings["name"])] = command
