"""The whole system as separate processes on loopback: what callers and operators see."""

import asyncio
import json
import shutil
import signal

import aiohttp
import openai
import pytest
from cluster import Cluster, example, own_host, scratch
from gradelug_standins.layout import lay_out

# Each of these tests starts a dozen processes.
pytestmark = pytest.mark.xdist_group("processes")

MODEL = "valuation-bayanzurkh@7"
TAX = "tax-inspectorate"


def run_cluster(scenario, name="tenger", count=200, **kwargs):
    async def run():
        folder = scratch(f"test-{scenario.__name__}")
        cluster = Cluster(lay_out(example(name), folder, count=count, host=own_host(), **kwargs))
        try:
            async with asyncio.timeout(120), cluster:
                await scenario(cluster)
            assert cluster.failures() == []
        except BaseException:
            print(cluster.logs())
            raise
        finally:
            shutil.rmtree(folder, ignore_errors=True)

    asyncio.run(run())


def body(**changes):
    return {"model": MODEL, "messages": [{"role": "user", "content": "x"}], **changes}


async def total_runs(cluster):
    answers = [await cluster.get(f"{url}/_runs") for url in cluster.layout.engines.values()]
    assert all(answer["violations"] == [] for answer in answers)
    return sum(len(answer["runs"]) for answer in answers)


@pytest.mark.parametrize("name", ["tenger", "check-in"])
def test_the_openai_client_is_served_whole_and_streamed(name):
    caller, model = {
        "tenger": (TAX, "valuation-bayanzurkh"),
        "check-in": ("counter-staff", "assist-amm"),
    }[name]

    async def openai_client(cluster):
        client = openai.AsyncOpenAI(
            base_url=next(iter(cluster.layout.routers.values())) + "/v1",
            api_key=cluster.layout.tokens[caller],
            max_retries=0,
        )
        messages = [{"role": "user", "content": "hello"}]
        whole = await client.chat.completions.create(model=model, messages=messages, max_tokens=4)
        ran = whole.model
        assert ran.startswith(f"{model}@")
        assert whole.choices[0].message.content == f"[{ran}] t1 t2 t3"
        stream = await client.chat.completions.create(
            model=model, messages=messages, max_tokens=4, stream=True
        )
        parts = [event.choices[0].delta.content or "" async for event in stream]
        assert "".join(parts) == f"[{ran}] t1 t2 t3"
        text = await client.completions.create(model=model, prompt="x", max_tokens=2)
        assert text.choices[0].text == f"[{ran}] t1"
        models = [item.id async for item in client.models.list()]
        assert ran in models
        with pytest.raises(openai.NotFoundError, match="no adapter"):
            await client.completions.create(model="nothing", prompt="x")
        with pytest.raises(openai.BadRequestError, match="max_tokens: must be at least 1"):
            await client.completions.create(model=model, prompt="x", max_tokens=0)
        await client.close()

    run_cluster(openai_client, name)


def test_operators_apply_change_and_explain():
    async def operators(cluster):
        run = cluster.gradelug
        folder = str(cluster.layout.configuration)
        assert run("diff", folder).returncode == 0
        done = run("explain", "--caller", TAX, "--model", "valuation-bayanzurkh", "--json")
        told = json.loads(done.stdout)
        assert (told["adapter"], told["weight"], told["route"]) == (MODEL, 8.0, "stable-versions")
        done = run("explain", "--caller", "tax-inspectorat", "--model", "x")
        assert (done.returncode, "did you mean 'tax-inspectorate'" in done.stderr) == (5, True)
        assert run("label", "adapters", "valuation-bayanzurkh", "season=winter").returncode == 0
        assert run("diff", folder).returncode == 4
        done = run("get", "adapters", "--selector", "season=winter", "--json")
        names = {item["name"] for item in json.loads(done.stdout)}
        assert names == {"valuation-bayanzurkh", "valuation-winter-count"}
        assert run("get", "adaptors").returncode == 2
        assert run("apply", folder, "--yes").returncode == 0
        (cluster.layout.configuration / "bad.toml").write_text("[[routes]]\nname = 'x'\nadapter=1")
        done = run("validate", folder)
        assert done.returncode == 2
        assert "unknown key 'adapter'; did you mean 'adapters'?" in done.stderr
        done = run("status", "--json")
        assert done.returncode == 0
        assert len(json.loads(done.stdout)["engines"]) == 5
        assert run("drain", "valuation-9").returncode == 2
        assert run("drain", "valuation-1").returncode == 0
        assert run("undrain", "valuation-1").returncode == 0

    run_cluster(operators)


def test_kills_freezes_and_a_rolling_stop_lose_and_double_nothing():
    async def faults(cluster):
        routers = list(cluster.layout.routers)
        answers = []

        async def caller(number):
            for turn in range(12):
                router = routers[(number + turn) % len(routers)]
                sent = body(max_tokens=10, stream=bool(turn % 2))
                try:
                    answers.append(await cluster.complete(router, TAX, sent))
                except Exception as exc:
                    answers.append((0, repr(exc), {}))

        callers = [asyncio.create_task(caller(number)) for number in range(6)]
        await asyncio.sleep(0.5)
        cluster.signal("scheduler-1", signal.SIGKILL)
        await asyncio.sleep(0.5)
        cluster.signal("scheduler-2", signal.SIGSTOP)
        await asyncio.sleep(4.0)
        cluster.signal("scheduler-2", signal.SIGCONT)
        cluster.start("scheduler-1")
        await asyncio.gather(*callers)
        # A caller is told of everything that did not go well, and nothing is told wrongly.
        whole = [answer for status, answer, _ in answers if status == 200]
        for answer in whole:
            if isinstance(answer, str):
                assert answer.endswith("data: [DONE]\n\n")
                assert f"[{MODEL}]" in answer
            else:
                assert answer["model"] == MODEL
        assert all(status in (200, 503) for status, _, _ in answers), answers
        assert len(whole) > len(answers) * 0.9
        assert await total_runs(cluster) == len(whole)

    run_cluster(faults)


def test_a_rolling_stop_cuts_no_stream():
    async def rolling(cluster):
        routers = list(cluster.layout.routers)
        stream = body(max_tokens=150, stream=True)
        tasks = [asyncio.create_task(cluster.complete(r, TAX, stream)) for r in routers]
        await asyncio.sleep(0.5)
        for name in [*routers, *cluster.layout.schedulers]:
            cluster.signal(name, signal.SIGTERM)
            await asyncio.sleep(0.3)
        for status, answer, _ in await asyncio.gather(*tasks):
            assert status == 200
            assert answer.count("data: ") == 152
        for name in [*routers, *cluster.layout.schedulers]:
            assert await asyncio.to_thread(cluster.processes[name].wait, 20) == 0

    run_cluster(rolling)


def test_the_report_gathers_from_every_router_and_names_the_silent():
    async def report(cluster):
        routers = list(cluster.layout.routers)
        for router in routers:
            status, _, _ = await cluster.complete(router, TAX, body(stream=True))
            assert status == 200

        def run(*words):
            return cluster.run(
                "gradelug-report", "--kv", cluster.layout.kv, "--token", "tenger-operator", *words
            )

        async def all_found():
            done = await asyncio.to_thread(run, "--format", "json")
            return done.returncode == 0 and len(json.loads(done.stdout)["answered"]) == 3

        await cluster.wait_until(all_found, 20, "routers in the report")
        told = json.loads(run("--format", "json").stdout)
        assert {item["name"]: item["requests"] for item in told["objectives"]} == {
            "counter": 3,
            "valuation": 3,
        }
        assert "availability" in run().stdout
        page = cluster.layout.folder / "report.html"
        assert run("--format", "html", "--out", str(page)).returncode == 0
        assert "data:image/png" in page.read_text()
        cluster.signal(routers[0], signal.SIGKILL)
        cluster.processes[routers[0]].wait()
        done = run()
        assert (done.returncode, "did not answer" in done.stdout) == (3, True)
        assert run("--format", "pdf").returncode == 2

    run_cluster(report)


@pytest.mark.parametrize(
    ("sent", "status", "code"),
    [
        (b"{", 400, "invalid_json"),
        (b"[]", 400, "invalid_body"),
        (b'{"model": 3, "messages": []}', 400, "invalid_body"),
        (
            b'{"model": "valuation-bayanzurkh@99", "messages": [{"role": "u"}]}',
            404,
            "model_not_found",
        ),
    ],
)
def test_bad_input_has_a_clear_answer(shared_cluster, sent, status, code):
    loop, cluster = shared_cluster

    async def post():
        url = next(iter(cluster.layout.routers.values())) + "/v1/chat/completions"
        headers = {"Authorization": f"Bearer {cluster.layout.tokens[TAX]}"}
        async with cluster.session.post(url, data=sent, headers=headers) as res:
            return res.status, await res.json(), res.headers["Gradelug-Outcome"]

    got, answer, outcome = loop.run_until_complete(post())
    assert (got, answer["error"]["code"], outcome) == (status, code, "not-run")


def test_an_engines_closed_connection_is_told_as_a_cut_and_never_as_an_end(shared_cluster):
    loop, cluster = shared_cluster
    engines = cluster.layout.engines.values()

    async def stream():
        for url in engines:
            await cluster.post(f"{url}/_faults", {"cut_after": 3})
        url = next(iter(cluster.layout.routers.values())) + "/v1/chat/completions"
        headers = {"Authorization": f"Bearer {cluster.layout.tokens[TAX]}"}
        data = b""
        sent = body(stream=True, max_tokens=20)
        try:
            async with cluster.session.post(url, json=sent, headers=headers) as res:
                async for chunk in res.content.iter_any():
                    data += chunk
        except aiohttp.ClientPayloadError:
            return data, True
        finally:
            for url in engines:
                await cluster.post(f"{url}/_faults", {})
        return data, False

    data, was_cut = loop.run_until_complete(stream())
    assert was_cut
    assert b"[DONE]" not in data
    assert b'"outcome": "unknown"' in data


def test_a_service_that_hangs_is_given_up_at_the_deadline(shared_cluster):
    loop, cluster = shared_cluster

    async def get():
        url = next(iter(cluster.layout.routers.values())) + "/services/cadastre/x?delay_s=4"
        headers = {
            "Authorization": f"Bearer {cluster.layout.tokens[TAX]}",
            "Gradelug-Deadline-Ms": "300",
        }
        started = loop.time()
        async with cluster.session.get(url, headers=headers) as res:
            return res.status, res.headers["Gradelug-Outcome"], loop.time() - started

    status, outcome, took_s = loop.run_until_complete(get())
    assert (status, outcome) == (504, "unknown")
    assert took_s < 3.0


@pytest.fixture(scope="module")
def shared_cluster():
    with asyncio.Runner() as runner:
        loop = runner.get_loop()
        folder = scratch("test-shared")

        async def make():
            return Cluster(
                lay_out(example("tenger"), folder, count=50, instances=1, host=own_host())
            )

        cluster = loop.run_until_complete(make())
        loop.run_until_complete(cluster.__aenter__())
        yield loop, cluster
        loop.run_until_complete(cluster.__aexit__())
        shutil.rmtree(folder, ignore_errors=True)
