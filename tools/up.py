"""Keeps an example running in the foreground until it is interrupted: what `make up` does."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
from pathlib import Path

from cluster import BIN, Cluster, example, scratch
from gradelug_standins.layout import Layout, lay_out
from honcho.manager import Manager
from honcho.printer import Printer

ANNOUNCE = "announce"


def main() -> None:
    """Lay the example out and run its Procfile, or (started by that) announce it."""
    if sys.argv[1] == ANNOUNCE:
        asyncio.run(announce(Path(sys.argv[2])))
        return
    folder = scratch("up")
    layout = lay_out(example(sys.argv[1]), folder, log_level="warning")
    # Without prefixes, so that the announcement is TOML.
    manager = Manager(printer=Printer(sys.stdout, prefix=False))
    env = {**os.environ, "PATH": f"{BIN}{os.pathsep}{os.environ['PATH']}"}
    for name, command in layout.processes.items():
        manager.add_process(name, " ".join(command), quiet=name in layout.engines, env=env)
    manager.add_process(ANNOUNCE, f"python {__file__} {ANNOUNCE} {folder}", env=env)
    manager.loop()
    shutil.rmtree(folder, ignore_errors=True)
    # An interrupt is how this is meant to end.
    raise SystemExit(0 if manager.returncode in (0, 130) else manager.returncode)


async def announce(folder: Path) -> None:
    """Apply the configuration, wait until every router is ready, print the addresses."""
    layout = Layout.load(folder)
    cluster = Cluster(layout)
    try:
        await cluster.configure()
    finally:
        await cluster.session.close()
    print(layout.as_toml(), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
