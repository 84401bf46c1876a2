"""The stand-ins' program, for development only."""

from __future__ import annotations

import asyncio
from pathlib import Path

import fire
from aiohttp import web
from gradelug_runtime import wait_for_stop

from .adapters import write
from .engine import EngineSpec, StubEngine
from .engine_http import EngineServer
from .framing import UNFRAMED_SHARE
from .kv import MemoryKv
from .kv_http import KvServer
from .layout import lay_out
from .plain import InstanceListServer, PlainService, StoreClient, WeightStore


class Commands:
    """Stand-ins for what gradelug is placed between. Each runs until it is interrupted."""

    def kv(self, listen: str) -> None:
        """Run a key-value service."""

        async def make() -> web.Application:
            return KvServer(MemoryKv()).app()

        asyncio.run(_serve(listen, make))

    def engine(
        self,
        listen: str,
        name: str,
        store: str = "",
        slots: int = 8,
        batch: int = 32,
        token_s: float = 0.02,
        load_s: float = 0.05,
        lag_s: float = 0.2,
        checks_fences: bool = True,
        unframed: float = UNFRAMED_SHARE,
    ) -> None:
        """Run a model engine; `store` is the weight store's http://IP:port.

        `unframed` is the share of completions that come without a length or chunks.
        """
        spec = EngineSpec(
            slots=slots,
            batch=batch,
            token_s=token_s,
            first_s=token_s,
            load_s=load_s,
            lag_s=lag_s,
            checks_fences=checks_fences,
        )

        async def make() -> web.Application:
            fetch = StoreClient(store).fetch if store else None
            return EngineServer(StubEngine(name, spec, fetch), unframed).app()

        asyncio.run(_serve(listen, make))

    def store(
        self, listen: str, rate: float = 2.0, parallel: int = 2, fetch_s: float = 0.3
    ) -> None:
        """Run a weight store."""

        async def make() -> web.Application:
            return WeightStore(rate, parallel, fetch_s).app()

        asyncio.run(_serve(listen, make))

    def instances(self, listen: str, targets: str = "", lag_s: float = 1.0) -> None:
        """Run an instance list; `targets` are IP:port, separated by spaces."""

        async def make() -> web.Application:
            return InstanceListServer(targets.split(), lag_s).app()

        asyncio.run(_serve(listen, make))

    def service(self, listen: str, name: str, unframed: float = UNFRAMED_SHARE) -> None:
        """Run a plain service, or the old scripts.

        `unframed` is the share of responses that come without a length or chunks.
        """

        async def make() -> web.Application:
            return PlainService(name, unframed).app()

        asyncio.run(_serve(listen, make))

    def adapters(self, example: str, out: str, count: int = 0) -> None:
        """Write the adapters of an example's folder to a TOML file."""
        written = write(Path(example), Path(out), count)
        print(f"{written} adapters written to {out}")

    def layout(self, example: str, out: str, instances: int = 0, count: int = 0) -> None:
        """Write settings, configuration and a Procfile for an example; prints its addresses."""
        print(lay_out(Path(example), Path(out), instances, count).as_toml(), end="")


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name="gradelug-standins")


async def _serve(listen: str, make: object) -> None:
    host, _, port = listen.rpartition(":")
    app = await make()  # type: ignore[operator]
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), shutdown_timeout=0.5)
    await site.start()
    await wait_for_stop()
    await runner.cleanup()
