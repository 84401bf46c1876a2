"""The scheduler's program."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import fire
import logbook
from gradelug_platform import EtcdKeyValue, HttpInstanceList
from gradelug_runtime import Metrics, load_or_exit, wait_for_stop
from gradelug_runtime.logs import open_log
from grpclib.server import Server

from .node import Node
from .service import ControlService
from .settings import SchedulerSettings, load_scheduler_settings

log = logbook.Logger("scheduler")
EXIT_FAILED = 1


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name="gradelug-scheduler")


def run(settings: str, check: bool = False) -> None:
    """Run a scheduler until it is told to stop.

    Parameters
    ----------
    settings : str
        Path of the TOML file.
    check : bool
        Only check the settings.
    """
    cfg = load_or_exit(settings, load_scheduler_settings)
    if check:
        return
    with open_log(cfg.log, cfg.name):
        raise SystemExit(asyncio.run(_serve(cfg)))


async def _serve(cfg: SchedulerSettings) -> int:
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        kv = EtcdKeyValue(session, cfg.platform.kv)
        listing = cfg.platform.instances
        instances = HttpInstanceList(session, listing) if listing else None
        metrics = Metrics(cfg.statsd, f"scheduler.{cfg.name}")
        node = Node(cfg, kv, instances, session, metrics, random.Random())
        server = Server([ControlService(node)])
        host, _, port = cfg.listen.rpartition(":")
        await server.start(host.strip("[]"), int(port))
        node.start()
        log.info("{} listens on {}", node.name, cfg.listen)
        failed = await _wait(node)
        await node.stop()
        server.close()
        await server.wait_closed()
        return EXIT_FAILED if failed else 0


async def _wait(node: Node) -> bool:
    stop = asyncio.ensure_future(wait_for_stop())
    failure = asyncio.ensure_future(node.tasks.wait_for_failure())
    await asyncio.wait([stop, failure], return_when=asyncio.FIRST_COMPLETED)
    failed = failure.done()
    stop.cancel()
    failure.cancel()
    return failed
