"""The router's program."""

from __future__ import annotations

import asyncio
import time
import uuid

import fire
import logbook
from gradelug_runtime import Metrics, Tasks, run_daemon, settle_garbage, wait_for_end
from gradelug_wire import Peers

from . import stopping
from .acquire import Accountant, Acquirer
from .door import Door
from .levels import Levels
from .once import OnceKeeper
from .relay import Relay
from .serving import Parts, Serving
from .settings import RouterSettings, load_router_settings
from .upstream import UpstreamClient
from .view import View
from .wallet import Wallet

log = logbook.Logger("router")
NOTICE_S = 1.0
"""Between saying that it is not ready and accepting no more: balancers look once a second."""


class Router:
    """A router, assembled.

    Parameters
    ----------
    cfg : RouterSettings
        Its settings.
    """

    __slots__ = (
        "_cfg",
        "accountant",
        "client",
        "door",
        "metrics",
        "peers",
        "serving",
        "tasks",
        "view",
        "wallet",
    )

    def __init__(self, cfg: RouterSettings) -> None:
        self._cfg = cfg
        loop = asyncio.get_running_loop()
        self.tasks = Tasks()
        self.peers = Peers()
        self.metrics = Metrics(cfg.statsd, f"router.{cfg.name}")
        name = f"{cfg.name}-{uuid.uuid4().hex[:8]}"
        self.view = View(name, cfg.schedulers, self.peers, self.metrics)
        self.view.after_install = settle_garbage
        self.wallet = Wallet(loop.time)
        acquirer = Acquirer(
            self.view,
            self.wallet,
            self.peers,
            self.metrics,
            cfg.placement,
            cfg.hall,
            cfg.limits.waiting,
        )
        self.accountant = Accountant(self.view, self.wallet, self.peers, self.metrics)
        self.client = UpstreamClient(loop.time, cfg.limits.answer_bytes)
        parts = Parts(
            cfg=cfg,
            view=self.view,
            wallet=self.wallet,
            acquirer=acquirer,
            client=self.client,
            once=OnceKeeper(self.view, self.peers, loop.time),
            relay=Relay(self.view, self.client, acquirer, cfg.hall, loop.time),
            metrics=self.metrics,
            levels=Levels(time.time),
            clock=loop.time,
        )
        self.serving = Serving(parts)
        self.metrics.before_flush.append(self._set_gauges)
        host, _, port = cfg.listen.rpartition(":")
        self.door = Door((host.strip("[]"), int(port)), cfg.limits, self.serving.serve)
        self.view.address = f"{host}:{self.door.port}"

    def start(self) -> None:
        """Start the background tasks."""
        self.tasks.start(self.view.run(self._cfg.timing.sync_s), "sync")
        self.tasks.start(self.accountant.run(self._cfg.timing.report_s), "accounts")
        self.tasks.start(self.metrics.run(), "metrics")

    def _set_gauges(self) -> None:
        self.metrics.gauge("revision", self.view.head.revision)
        self.metrics.gauge("running", self.wallet.running())
        self.metrics.gauge("peer_calls", self.peers.calls)
        self.metrics.gauge("peer_bytes", self.peers.transferred_bytes)

    async def stop(self) -> None:
        """Take nothing new, let what runs end, give the last accounts."""
        log.info("stopping: {} requests in progress", self.door.in_progress)
        give_up_at = asyncio.get_running_loop().time() + NOTICE_S + self._cfg.timing.stop_s
        self.serving.stop(give_up_at)
        self.door.is_draining = True
        await asyncio.sleep(NOTICE_S)
        await stopping.let_end(self.door, give_up_at)
        self.serving.is_ending = True
        cancelled = await stopping.end(self.door)
        log.info("stopped: {} requests cancelled", cancelled)
        await self.door.close()
        await self.accountant.send()
        await self.tasks.cancel()
        await self.client.close()
        self.peers.close()


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name="gradelug-router")


def run(settings: str, check: bool = False) -> None:
    """Run a router until it is told to stop.

    Parameters
    ----------
    settings : str
        Path of the TOML file.
    check : bool
        Only check the settings.
    """
    run_daemon(settings, load_router_settings, check, _serve)


async def _serve(cfg: RouterSettings) -> bool:
    router = Router(cfg)
    router.start()
    log.info("{} listens on {}", router.view.name, cfg.listen)
    failed = await wait_for_end(router.tasks)
    await router.stop()
    return failed
