"""The scheduler's program."""

from __future__ import annotations

import random

import aiohttp
import fire
import logbook
from gradelug_backends import EtcdKeyValue, HttpInstanceList, new_connector
from gradelug_runtime import Metrics, run_daemon, settle_garbage, wait_for_end
from grpclib.server import Server

from .node import Node
from .service import ControlService
from .settings import SchedulerSettings, load_scheduler_settings

log = logbook.Logger("scheduler")


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
    run_daemon(settings, load_scheduler_settings, check, _serve)


async def _serve(cfg: SchedulerSettings) -> bool:
    async with aiohttp.ClientSession(connector=new_connector(limit=0)) as session:
        kv = EtcdKeyValue(session, cfg.platform.kv)
        listing = cfg.platform.instances
        instances = HttpInstanceList(session, listing) if listing else None
        metrics = Metrics(cfg.statsd, f"scheduler.{cfg.name}")
        node = Node(cfg, kv, instances, session, metrics, random.Random())
        node.after_install = settle_garbage
        server = Server([ControlService(node)])
        host, _, port = cfg.listen.rpartition(":")
        await server.start(host.strip("[]"), int(port))
        node.start()
        log.info("{} listens on {}", node.name, cfg.listen)
        failed = await wait_for_end(node.tasks)
        await node.stop()
        server.close()
        await server.wait_closed()
        return failed
