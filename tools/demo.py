"""The main job on embedded stand-ins: what `make demo` shows."""

from __future__ import annotations

import asyncio
import shutil
import sys
import typing as t

from cluster import Cluster, example, own_host, scratch
from gradelug_standins.layout import lay_out

MODEL = "valuation-bayanzurkh@7"
MESSAGES = [{"role": "user", "content": "A valuation note for parcel 18-204."}]


async def show(cluster: Cluster) -> bool:
    """Send the requests and tell whether each had the result it should have."""
    office, tax, herders = (
        "land-office-bayanzurkh",
        "tax-inspectorate",
        "herder-cooperative",
    )
    routers = list(cluster.layout.routers)
    body = {"model": MODEL, "messages": MESSAGES, "max_tokens": 6}
    cold = {**body, "model": "valuation-soum-0042"}
    winter = {**body, "model": "valuation-winter-count"}
    once = {"Idempotency-Key": "notice-18-204"}
    results = [
        await step(cluster, "whole", routers[0], office, body, 200),
        await step(cluster, "streamed", routers[1], tax, {**body, "stream": True}, 200),
        await step(cluster, "cold adapter", routers[2], tax, cold, 200),
        await step(cluster, "not repeatable", routers[0], tax, body, 200, once),
        await step(cluster, "the same again", routers[1], tax, body, 409, once),
        await step(cluster, "refused by selector", routers[1], herders, body, 403),
        await step(cluster, "the old scripts", routers[2], office, winter, 200),
    ]
    url = f"{cluster.layout.routers[routers[0]]}/services/cadastre/notices/18-204"
    headers = {
        "Authorization": f"Bearer {cluster.layout.tokens[tax]}",
        "Idempotency-Key": "notice-18-204-post",
    }
    for expected in (200, 409):
        async with cluster.session.post(url, data=b"notice", headers=headers) as res:
            text = (await res.text())[:90]
            print_step("plain service, once", res.status, res.headers, text)
            results.append(res.status == expected)
    return all(results)


async def step(
    cluster: Cluster,
    title: str,
    router: str,
    caller: str,
    body: dict[str, t.Any],
    expected: int,
    headers: dict[str, str] | None = None,
) -> bool:
    """Send one completion and print what happened to it."""
    status, answer, got = await cluster.complete(router, caller, body, headers)
    if isinstance(answer, str):
        events = answer.count("data: ") - 1
        text = f"{events} events, ended by [DONE]: {answer.endswith('data: [DONE]' + chr(10) * 2)}"
    elif "error" in answer:
        text = answer["error"]["message"]
    elif "choices" in answer:
        text = answer["choices"][0]["message"]["content"]
    else:
        text = f"answered by {answer.get('served_by')}"
    print_step(f"{title} ({router}, {caller})", status, got, text)
    return status == expected


def print_step(title: str, status: int, headers: t.Mapping[str, str], text: str) -> None:
    """Print one result."""
    outcome = headers.get("Gradelug-Outcome", "-")
    adapter = headers.get("Gradelug-Adapter", "-")
    stall = headers.get("Gradelug-Load-Stall-Ms", "0")
    print(f"{title}\n  {status}  outcome {outcome}  adapter {adapter}  load stall {stall} ms")
    print(f"  {text}")


async def main() -> int:
    """Run the demo; 0 if everything had the result it should have."""
    folder = scratch("demo")
    layout = lay_out(example("tenger"), folder, host=own_host())
    cluster = Cluster(layout)
    print(f"starting {len(layout.processes)} processes; logs are in .run/{folder.name}")
    try:
        async with cluster:
            good = await show(cluster)
    except Exception:
        print(cluster.logs(), file=sys.stderr)
        raise
    if good:
        shutil.rmtree(folder)
    print("all as it should be" if good else "NOT as it should be")
    return 0 if good else 1


if __name__ == "__main__":
    raise SystemExit(asyncio.run(main()))
