"""Tests of the ``--without=`` argument, with which an operator disables features."""

import asyncio
import json
import subprocess
import sys

import pytest
from fleet_stand_in import GATEWAY_HOST, HOST, Ledger, ReplicaStandIn
from gradelug_config.exceptions import InvalidConfig
from gradelug_gateway.settings import Feature
from gradelug_http import (
    ConnectFailed,
    HttpPool,
    HttpServer,
    OutgoingRequest,
    ResponseBroken,
    ServerLimits,
)
from gradelug_platform.main import EXIT_BAD_SETTINGS, _disable_features
from gradelug_platform.settings import load
from platform_stand_in import FakeStore
from soak_parts import Gateway, free_ports
from soak_settings import CONFIG, PLAIN_TOKENS, ROOT

SERVE_TIMEOUT_S = 30.0
ORGANISATION = {
    "Name": "free",
    "Unit": "token_stream",
    "PlainTokens": PLAIN_TOKENS,
    "ApiKeys": ["key-1"],
}
NAMES = [feature.value for feature in Feature]


@pytest.fixture
def settings(tmp_path):
    return load(Gateway(0, tmp_path, 1, (2, 3, 4), True).settings)


def features(settings, *args):
    return _disable_features(settings, list(args)).gateway.features


class TestArgument:
    def test_all_features_are_enabled_by_default(self, settings):
        assert features(settings) == set(Feature)
        assert features(settings, "--check") == set(Feature)

    @pytest.mark.parametrize("feature", Feature)
    def test_only_the_named_feature_is_disabled(self, settings, feature):
        assert features(settings, f"--without={feature.value}") == set(Feature) - {feature}

    def test_features_can_be_named_in_one_argument_or_in_several(self, settings):
        first, second, third = list(Feature)[:3]
        args = (f"--without={first.value},{second.value}", f"--without={third.value}")
        assert features(settings, *args) == set(Feature) - {first, second, third}

    @pytest.mark.parametrize("name", ["shared-heath", "", "SHARED_HEALTH", " shared-health"])
    def test_an_unknown_name_is_reported_with_the_known_names(self, settings, name):
        with pytest.raises(InvalidConfig) as raised:
            features(settings, f"--without={NAMES[0]},{name}")
        (finding,) = raised.value.findings
        assert f"unknown feature {name!r}; features are {', '.join(NAMES)}" in str(finding)

    def test_all_unknown_names_are_reported_together(self, settings):
        with pytest.raises(InvalidConfig) as raised:
            features(settings, "--without=a,b", "--without=c")
        assert len(raised.value.findings) == 3


class TestProgram:
    def test_an_unknown_name_prints_one_line_and_exits(self, tmp_path):
        path = Gateway(0, tmp_path, 1, (2, 3, 4), True).settings
        done = subprocess.run(
            [sys.executable, str(ROOT / "platform" / "serve.py"), "--without=nonsense"],
            env={"GRADELUG_CONFIG": str(path)},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert done.returncode == EXIT_BAD_SETTINGS
        (line,) = done.stderr.splitlines()
        assert "unknown feature 'nonsense'" in line

    @pytest.mark.parametrize("name", [*NAMES, ",".join(NAMES)])
    def test_it_serves_with_features_disabled(self, tmp_path, name):
        async def scenario():
            platform = _Platform()
            port = await platform.start()
            gateway = Gateway(0, tmp_path, port, free_ports(3), True, [f"--without={name}"])
            gateway.start()
            try:
                async with asyncio.timeout(SERVE_TIMEOUT_S):
                    for target in (b"/s/x", b"/i/x", b"/u/x"):
                        await platform.wait_until_served(gateway.front, target)
            except TimeoutError:
                pytest.fail(gateway.log.read_text())
            finally:
                gateway.process.terminate()
                await asyncio.to_thread(gateway.process.wait, SERVE_TIMEOUT_S)
                await platform.close()
            assert gateway.process.returncode == 0
            assert "Traceback" not in gateway.log.read_text()
            assert platform.ledger.faults == []

        asyncio.run(scenario())


class _Platform:
    """A fake platform store, two engines and a replica without an engine."""

    def __init__(self):
        self.clock = asyncio.get_running_loop().time
        self.store = FakeStore()
        self.pool = HttpPool(self.clock)
        self.server = HttpServer(self.store.serve, ServerLimits, self.clock)
        self.ledger = Ledger()
        self.replicas = []
        self.request_count = 0

    async def start(self):
        """Start all servers and return the port of the store."""
        config = {**CONFIG, "Tenants": [ORGANISATION]}
        await self.store.kv.swap("op/config", json.dumps(config).encode(), 0)
        for number, service in enumerate(("llm", "llm", "plain")):
            replica = ReplicaStandIn(f"i-{number}", service, self.store.kv, self.ledger, {})
            await replica.start()
            await replica.enter(f"{HOST}:{replica.port}")
            self.replicas.append(replica)
        return await self.server.start(HOST, 0)

    async def wait_until_served(self, port, target):
        """Retry until a request succeeds: the program may still be starting."""
        while await self._send(port, target) != 200:
            await asyncio.sleep(0.05)

    async def _send(self, port, target):
        self.request_count += 1
        request_id = f"q{self.request_count}"
        self.ledger.bodies[request_id] = b"body"
        self.ledger.organisations[request_id] = ORGANISATION["Name"]
        headers = [
            (b"Host", b"h"),
            (b"X-Gradelug-Request-Id", request_id.encode()),
            (b"X-Gradelug-Deadline-Ms", b"3000"),
            (b"Authorization", b"Bearer key-1"),
        ]
        if target.startswith(b"/s/"):
            headers.append((b"X-Gradelug-Model", b"m/a1"))
        conn = None
        try:
            conn = await self.pool.acquire(f"{GATEWAY_HOST}:{port}", 1.0)
            conn.send(OutgoingRequest(b"POST", target, headers, b"body"))
            head = await conn.head(lambda head: True)
            await conn.body(100_000)
            return head.status
        except (ConnectFailed, ResponseBroken, TimeoutError):
            return 0
        finally:
            if conn is not None:
                conn.abort()

    async def close(self):
        self.pool.close()
        for replica in self.replicas:
            await replica.leave()
        await self.server.close()
