"""The program of the service-level report."""

from __future__ import annotations

import asyncio
import json as json_library
import os
import sys
from pathlib import Path

import aiohttp
import fire
from gradelug_backends import EtcdKeyValue, new_connector
from gradelug_backends.keys import LIVE, STORE
from gradelug_config import InvalidConfig
from gradelug_config.buckets import read_rules
from gradelug_config.model import Objective
from gradelug_coordination import CoordinationError, KvBuckets, Publisher

from .burn import make_report
from .gathering import Gathered, find_routers, gather
from .rendering import to_page, to_text

FORMATS = ("text", "json", "html")
EXIT_FAILED, EXIT_INVALID, EXIT_INCOMPLETE = 1, 2, 3


def main() -> None:
    """Run the command line."""
    fire.Fire(report, name="gradelug-report")


def report(
    kv: str = "", token: str = "", routers: str = "", format: str = "text", out: str = ""
) -> None:
    """Show how fast the error budgets are being spent; exit 3 if a router did not answer.

    Parameters
    ----------
    kv : str
        Address of the platform's key-value service; else GRADELUG_KV.
    token : str
        Token of a caller that the configuration's `operators` matches; else GRADELUG_TOKEN.
    routers : str
        IP:port of the routers, separated by spaces; found through the schedulers if not given.
    format : str
        text, json or html.
    out : str
        File to write to; standard output if not given.
    """
    kv = kv or os.environ.get("GRADELUG_KV", "")
    token = token or os.environ.get("GRADELUG_TOKEN", "")
    if format not in FORMATS or not kv or not token:
        print(f"gradelug-report: give --kv, --token and a format of {FORMATS}", file=sys.stderr)
        raise SystemExit(EXIT_INVALID)
    try:
        objectives, gathered = asyncio.run(_collect(kv, token, routers.split()))
    except (CoordinationError, InvalidConfig) as exc:
        print(f"gradelug-report: {exc}", file=sys.stderr)
        raise SystemExit(EXIT_FAILED) from None
    made = make_report(objectives, gathered)
    if format == "json":
        text = json_library.dumps(made.to_plain(), indent=2)
    else:
        text = to_text(made) if format == "text" else to_page(made, gathered)
    if out:
        Path(out).write_text(text, encoding="utf-8")
    else:
        print(text)
    if made.silent or not made.answered:
        raise SystemExit(EXIT_INCOMPLETE)


async def _collect(
    kv_address: str, token: str, routers: list[str]
) -> tuple[list[Objective], Gathered]:
    async with aiohttp.ClientSession(connector=new_connector()) as session:
        kv = EtcdKeyValue(session, kv_address)
        head, _ = await Publisher(kv, LIVE, STORE).head()
        contents = await KvBuckets(kv, STORE).fetch(head.buckets[:1])
        objectives = read_rules(contents.values()).objectives
        found = routers or await find_routers(kv)
    return objectives, await gather(found, token)
