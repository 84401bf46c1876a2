"""Running an example's processes on loopback, for the demo, the tests and the measurements."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import subprocess
import sys
import typing as t
from pathlib import Path

import aiohttp
from gradelug_cli.failures import find_failures
from gradelug_standins.layout import Layout
from listening import ListenWatch

BIN = Path(sys.executable).parent
POLL_S = 0.05
START_LIMIT_S = 40.0
STOP_LIMIT_S = 15.0
REQUESTED_EXITS = frozenset({0, -signal.SIGKILL, -signal.SIGTERM})
"""Exit statuses of processes that were killed or stopped."""
JSON = dict[str, t.Any]


class Cluster:
    """Starts, signals and stops the processes of a layout."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.session = aiohttp.ClientSession()
        self._listening = ListenWatch()

    async def __aenter__(self) -> Cluster:
        try:
            await self._bring_up()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _bring_up(self) -> None:
        for name in self.layout.processes:
            self.start(name)
        await self.configure()

    async def configure(self) -> None:
        """Apply the configuration and wait until it is served everywhere."""
        await self.wait_for(self.layout.kv + "/_stats")
        done = self.gradelug("apply", str(self.layout.configuration), "--yes")
        if done.returncode:
            raise RuntimeError(f"apply: {done.stderr}")
        for name in self.layout.routers:
            await self.wait_ready(name)
        await self.wait_owned()

    async def __aexit__(self, *exc_info: t.Any) -> None:
        self._listening.close()
        await self.session.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start(self, name: str) -> None:
        """Start a process of the layout."""
        command = shlex.split(" ".join(self.layout.processes[name]))
        command[0] = str(BIN / command[0])
        with (self.layout.folder / f"{name}.log").open("ab") as out:
            self.processes[name] = subprocess.Popen(command, stdout=out, stderr=out)
        self._listening.note(name, self.processes[name])

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def gradelug(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line."""
        return self.run("gradelug", "--kv", self.layout.kv, *words)

    def run(self, program: str, *words: str) -> subprocess.CompletedProcess[str]:
        """Run one of the project's programs to its end."""
        command = [str(BIN / program), *words]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    async def wait_for(self, url: str, limit_s: float = START_LIMIT_S) -> None:
        """Wait until a URL answers with 200."""

        async def look() -> bool:
            try:
                async with self.session.get(url) as res:
                    return res.status == 200
            except aiohttp.ClientError:
                return False

        await self.wait_until(look, limit_s, url)

    async def wait_ready(self, router: str, limit_s: float = START_LIMIT_S) -> None:
        """Wait until a router is ready."""
        await self.wait_for(self.layout.routers[router] + "/readyz", limit_s)

    async def wait_owned(self, limit_s: float = START_LIMIT_S) -> None:
        """Wait until every engine has an owner that the status shows."""

        async def look() -> bool:
            done = await asyncio.to_thread(self.gradelug, "status")
            return done.returncode == 0 and all(
                f"\n{name}  owner" in done.stdout for name in self.layout.engines
            )

        await self.wait_until(look, limit_s, "owners")

    async def wait_until(
        self, look: t.Callable[[], t.Awaitable[bool]], limit_s: float, what: str
    ) -> None:
        """Wait until `look` says yes; raises `TimeoutError`."""
        try:
            async with asyncio.timeout(limit_s):
                while not await look():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise TimeoutError(f"not within {limit_s} s: {what}") from None

    async def get(self, url: str) -> JSON:
        """Return the JSON at a URL."""
        async with self.session.get(url) as res:
            return await res.json()

    async def post(self, url: str, body: JSON) -> JSON:
        """Post JSON, for the stand-ins' faults."""
        async with self.session.post(url, json=body) as res:
            return await res.json()

    async def complete(
        self, router: str, caller: str, body: JSON, headers: t.Mapping[str, str] | None = None
    ) -> tuple[int, JSON | str, t.Mapping[str, str]]:
        """Post a chat completion and return status, body and headers."""
        url = self.layout.routers[router] + "/v1/chat/completions"
        sent = {"Authorization": f"Bearer {self.layout.tokens[caller]}", **(headers or {})}
        async with self.session.post(url, json=body, headers=sent) as res:
            if res.content_type == "application/json":
                return res.status, await res.json(), res.headers
            return res.status, await res.text(), res.headers

    def failures(self) -> list[str]:
        """Return the exits that nobody asked for, and the errors in the logs."""
        found = [
            f"{name}: ended by itself with status {process.returncode}"
            for name, process in self.processes.items()
            if process.poll() is not None and process.returncode not in REQUESTED_EXITS
        ]
        for name in self.layout.processes:
            path = self.layout.folder / f"{name}.log"
            if path.exists():
                with path.open(errors="replace") as rows:
                    found += [
                        f"{name}: {failure.message}, {count} times"
                        for failure, count in find_failures(rows).items()
                    ]
        return found

    def logs(self) -> str:
        """Return every log, for a failure's report, and how long processes took to listen."""
        parts = [self._listening.report()]
        for name in self.layout.processes:
            path = self.layout.folder / f"{name}.log"
            if path.exists():
                parts.append(f"--- {name}\n{path.read_text(errors='replace')[-4000:]}")
        return "\n".join(parts)


def own_host() -> str:
    """Return a loopback address that no other process uses."""
    high, low = divmod(os.getpid(), 256)
    return f"127.{64 + (high >> 8) % 128}.{high % 256}.{low}"


def example(name: str) -> Path:
    """Return the folder of an example."""
    return Path(__file__).resolve().parent.parent / "examples" / name


def scratch(name: str) -> Path:
    """Return a new folder for a run below the ignored one."""
    root = Path(__file__).resolve().parent.parent / ".run"
    return root / f"{name}-{os.getpid()}"
