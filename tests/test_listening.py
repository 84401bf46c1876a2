"""The report of how long processes took until they listen."""

import asyncio
import subprocess
import sys

from listening import ListenWatch

LISTENER = "import socket, time; s = socket.create_server(('127.0.0.1', 0)); time.sleep(60)"
IDLE = "import time; time.sleep(60)"


def test_a_failure_tells_who_listens_who_does_not_and_who_has_ended():
    async def scenario():
        watch = ListenWatch()
        codes = {"up": LISTENER, "stuck": IDLE, "broken": "raise SystemExit(3)"}
        started = {}
        try:
            for name, code in codes.items():
                started[name] = subprocess.Popen([sys.executable, "-c", code])
                watch.note(name, started[name])
            await asyncio.to_thread(started["broken"].wait, 60)
            async with asyncio.timeout(60):
                while "up: not" in watch.report():
                    await asyncio.sleep(0.05)
            load, *lines = watch.report().splitlines()
        finally:
            watch.close()
            for process in started.values():
                process.kill()
                process.wait()
        assert "load " in load
        assert lines[0].startswith("up: ")
        assert "s, processor time " in lines[0]
        assert lines[1].startswith("stuck: not within ")
        assert lines[2] == "broken: never, ended with 3"

    asyncio.run(scenario())


def test_a_process_that_starts_later_is_watched_too():
    async def scenario():
        watch = ListenWatch()
        started = []
        try:
            for name in ("first", "second"):
                started.append(subprocess.Popen([sys.executable, "-c", LISTENER]))
                watch.note(name, started[-1])
                async with asyncio.timeout(60):
                    while f"{name}: not" in watch.report():
                        await asyncio.sleep(0.05)
                await watch._task
        finally:
            for process in started:
                process.kill()
                process.wait()

    asyncio.run(scenario())
