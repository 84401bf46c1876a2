"""Start of an instance: imports, early listening socket, first reads of the store."""

import ast
import asyncio
import functools
import importlib
import socket
import subprocess
import sys
from pathlib import Path

import gradelug_config
import gradelug_coordination
import gradelug_policy
import gradelug_runtime
import logbook
import pytest
from crowded_store import RateLimitedStore, fill, start_together
from gradelug_gateway.settings import Feature
from gradelug_gateway.startup_progress import StartupPart, StartupProgress
from gradelug_http import Door, EarlyServer, ServerLimits
from gradelug_http import early as early_module
from gradelug_http.socket_info import data_age_s
from gradelug_platform import door
from world import new_loop

ROOT = Path(__file__).resolve().parent.parent
LAZY = (gradelug_config, gradelug_coordination, gradelug_policy, gradelug_runtime)
NOT_NEEDED = ("cattrs", "attr", "gradelug_config.catalog", "gradelug_coordination.once", "fire")


def open_listener():
    sock = socket.create_server(("127.0.0.1", 0), backlog=64)
    sock.setblocking(False)
    return sock


def exported_names(package):
    """Return the names that a package declares for type checkers, with their modules."""
    tree = ast.parse(Path(package.__file__).read_text())
    (branch,) = [node for node in tree.body if isinstance(node, ast.If)]
    return {
        alias.name: node.module
        for node in branch.body
        for alias in node.names
        if alias.name == alias.asname
    }


class TestImports:
    def test_modules_of_other_programs_are_not_imported(self):
        """Guards against imports of unused modules, which took a fifth of the start-up time."""
        program = (
            f"import sys; sys.path[:0] = [{str(ROOT / 'platform')!r}];"
            "import gradelug_platform.main;"
            f"print([name for name in {NOT_NEEDED!r} if name in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        assert done.stdout.strip() == "[]"

    @pytest.mark.parametrize("package", LAZY)
    def test_each_exported_name_can_be_imported(self, package):
        names = exported_names(package)
        assert names == package._HOMES
        for name, module in names.items():
            target = importlib.import_module(f"{package.__name__}.{module}")
            assert getattr(package, name) is getattr(target, name)

    @pytest.mark.parametrize("package", LAZY)
    def test_unknown_names_raise_attribute_error(self, package):
        with pytest.raises(AttributeError, match="no_such_name"):
            _ = package.no_such_name


class TestEarlySocket:
    def settings(self, tmp_path, monkeypatch, text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        monkeypatch.setenv(door.SETTINGS_VARIABLE, str(path))

    @pytest.mark.parametrize("is_told", [True, False])
    def test_requests_before_the_server_runs_are_answered_by_it(
        self, tmp_path, monkeypatch, is_told
    ):
        if not is_told:
            monkeypatch.setattr(early_module, "data_age_s", lambda sock: None)
        self.settings(tmp_path, monkeypatch, '[Listen]\nFront = "127.0.0.1:0"\n')
        opened = door.open_early_socket([])
        arrivals = []

        async def serve(inc):
            arrivals.append(inc.arrived_at)
            inc.respond(200, [], b"here")

        async def ask(client):
            await asyncio.get_running_loop().sock_sendall(
                client, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            answer = b""
            while not answer.endswith(b"here"):
                answer += await asyncio.get_running_loop().sock_recv(client, 1000)
            return answer

        async def scenario():
            clock = asyncio.get_running_loop().time
            early = socket.create_connection(opened.sock.getsockname())
            early.setblocking(False)
            sent_at = clock()
            waiting = asyncio.create_task(ask(early))
            await asyncio.sleep(0.05)
            server = EarlyServer(serve, ServerLimits, clock)
            await server.enter(Door(opened.sock, opened.since))
            assert (await waiting).endswith(b"here")
            assert (await ask(early)).endswith(b"here")
            await asyncio.sleep(0.15)
            late = socket.create_connection(opened.sock.getsockname())
            late.setblocking(False)
            began = clock()
            assert (await ask(late)).endswith(b"here")
            await server.close()
            early.close()
            late.close()
            return sent_at, began

        sent_at, began = asyncio.run(scenario())
        first, second, third = arrivals
        if is_told:
            assert sent_at - 0.015 <= first <= sent_at + 0.04
        else:
            # The opening of the socket is the safe assumption.
            assert first == opened.since
        assert second > first
        assert third >= began

    # Each first request counted as old as the listening socket.
    @pytest.mark.parametrize("is_told", [True, False])
    def test_a_request_on_an_early_connection_is_out_of_time_although_it_came_late(
        self, tmp_path, monkeypatch, is_told
    ):
        if not is_told:
            monkeypatch.setattr(early_module, "data_age_s", lambda sock: None)
        self.settings(tmp_path, monkeypatch, '[Listen]\nFront = "127.0.0.1:0"\n')
        opened = door.open_early_socket([])
        arrivals = []

        async def serve(inc):
            arrivals.append(inc.arrived_at)
            inc.respond(200, [], b"here")

        async def scenario():
            loop = asyncio.get_running_loop()
            limits = ServerLimits(header_s=0.5)
            early = socket.create_connection(opened.sock.getsockname())
            halved = socket.create_connection(opened.sock.getsockname())
            halved.setblocking(False)
            early.setblocking(False)
            began_at = loop.time()
            halved.sendall(b"GET / HTTP/1.1\r\n")
            server = EarlyServer(serve, lambda: limits, loop.time)
            await server.enter(Door(opened.sock, opened.since - 2.0))
            await asyncio.sleep(0.3)
            halved.sendall(b"Host: x\r\n\r\n")
            sent_at = loop.time()
            early.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            for client in (halved, early):
                assert b" 200 " in await loop.sock_recv(client, 1000)
                client.close()
            await server.close()
            return began_at, sent_at

        began_at, sent_at = asyncio.run(scenario())
        if is_told:
            assert began_at - 0.015 <= sorted(arrivals)[0] < sent_at - 0.2
            assert sorted(arrivals)[1] >= sent_at - 0.015
        else:
            assert sorted(arrivals)[0] == opened.since - 2.0
            assert sorted(arrivals)[1] >= sent_at

    # A slow start made streams out of time before their callers' deadlines.
    def test_requests_that_wait_at_a_slow_start_count_as_come_when_their_data_came(self):
        sent, arrived = {}, {}

        async def serve(inc):
            arrived[inc.target] = inc.arrived_at
            inc.respond(200, [], b"here")

        async def scenario():
            loop = asyncio.get_running_loop()
            sock = open_listener()
            since = loop.time()
            clients = [socket.create_connection(sock.getsockname()) for _ in range(4)]

            def send(client, target, data):
                before = loop.time()
                client.sendall(data)
                sent.setdefault(target, (before, loop.time()))

            first, halved, rested, last = clients
            send(first, b"/first", b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(1.9)
            send(halved, b"/halved", b"GET /halved HTTP/1.1\r\n")
            send(rested, b"/rested", b"GET /rested HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(0.1)
            server = EarlyServer(serve, ServerLimits, loop.time)
            await server.enter(Door(sock, since))
            await asyncio.sleep(0.05)
            send(last, b"/last", b"GET /last HTTP/1.1\r\nHost: x\r\n\r\n")
            send(halved, b"/halved", b"Host: x\r\n\r\n")
            for client in clients:
                client.setblocking(False)
                assert b" 200 " in await loop.sock_recv(client, 1000)
                client.close()
            await server.close()

        asyncio.run(scenario())
        assert set(arrived) == set(sent)
        for target, (before, after) in sent.items():
            # The kernel counts in ticks of up to 10 ms.
            assert before - 0.015 <= arrived[target] <= after + 0.015, target

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "[Listen]\n",
            "Listen = 3\n",
            "[Listen]\nFront = 3\n",
            "not toml",
            "[Listen]\nFront = 'x'",
        ],
    )
    def test_without_a_valid_address_no_socket_is_opened(self, tmp_path, monkeypatch, text):
        self.settings(tmp_path, monkeypatch, text)
        assert door.open_early_socket([]) is None

    def test_an_address_in_use_is_reported(self, tmp_path, monkeypatch, capsys):
        taken = socket.create_server(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        self.settings(tmp_path, monkeypatch, f'[Listen]\nFront = "127.0.0.1:{port}"\n')
        assert door.open_early_socket([]) is None
        assert "stays closed" in capsys.readouterr().err
        taken.close()

    @pytest.mark.parametrize("arg", ["--check", "--without=scoped-news,early-door"])
    def test_opening_the_socket_can_be_disabled(self, tmp_path, monkeypatch, arg):
        self.settings(tmp_path, monkeypatch, '[Listen]\nFront = "127.0.0.1:0"\n')
        assert door.open_early_socket([arg]) is None

    def test_the_early_socket_is_a_feature_of_the_gateway(self):
        assert Feature(door.EARLY_DOOR) is Feature.EARLY_DOOR


class TestDataAge:
    class Refusing:
        def getsockopt(self, level, option, size):
            raise OSError(92, "protocol not available")

    class Short:
        def getsockopt(self, level, option, size):
            return bytes(size - 1)

    class Blank:
        """A kernel that fills in none of the counters and times, as emulated ones do."""

        def getsockopt(self, level, option, size):
            return bytes(size)

    @pytest.mark.parametrize("sock", [Refusing(), Short(), Blank()])
    def test_it_is_unknown_where_the_kernel_does_not_tell(self, sock):
        assert data_age_s(sock) is None

    def test_it_is_unknown_on_systems_without_the_option(self, monkeypatch):
        monkeypatch.delattr(socket, "TCP_INFO")
        assert data_age_s(self.Short()) is None


class TestStartupProgress:
    def test_each_part_is_logged_once_with_the_time_until_it_was_known(self):
        now, known = [10.0], set()
        checks = {part: functools.partial(known.__contains__, part) for part in StartupPart}
        progress = StartupProgress(lambda: now[0], checks)
        with logbook.TestHandler() as logs:
            now[0] = 10.5
            assert progress.missing_s(StartupPart.LEADER) == 0.5
            known.add(StartupPart.CONFIGURATION)
            progress.poll()
            now[0] = 12.0
            known.update(StartupPart)
            progress.poll()
            known.clear()
            progress.poll()
        assert progress.is_complete
        assert progress.missing_s(StartupPart.CONFIGURATION) == 0.5
        assert {progress.missing_s(part) for part in StartupPart} == {0.5, 2.0}
        assert len(logs.records) == len(StartupPart)


def read_concurrently(instances, entries, reads_per_s, silent_s=0.0):
    """Return when the last instance had read all, how many did not, and the number of calls."""

    async def scenario():
        store = RateLimitedStore(50, reads_per_s, 1e9)
        await fill(store, entries, 700)
        done, missing = await start_together(store, instances, silent_s=silent_s)
        return max(done, default=0.0), missing, store.answered + store.refused

    loop = new_loop()
    try:
        with logbook.NullHandler().applicationbound():
            return loop.run_until_complete(scenario())
    finally:
        loop.close()


class TestConcurrentStart:
    @pytest.mark.parametrize("instances", [50, 100])
    def test_listings_of_many_starting_instances_do_not_restart(self, instances):
        """A refused page must not discard the listing: then 100 made 4,913 calls in 9.25 s."""
        needed = instances * 600 // 50
        last_s, missing, calls = read_concurrently(instances, 600, 400.0)
        assert not missing
        # The calls include the watches that follow each listing.
        assert calls <= 1.5 * needed
        assert last_s <= needed / 400.0 + 2.0

    def test_a_recovering_store_is_not_overloaded(self):
        needed = 50 * 600 // 50
        last_s, missing, calls = read_concurrently(50, 600, 400.0, silent_s=3.0)
        assert not missing
        assert calls <= 1.5 * needed
        # Added are the timeout of an unanswered call and the longest pause after it.
        assert last_s <= 3.0 + 0.7 + 0.8 + needed / 400.0 + 1.0

    def test_a_single_instance_is_not_delayed(self):
        last_s, missing, _ = read_concurrently(1, 600, 400.0)
        assert not missing
        assert last_s < 0.7
