"""The operators' command line."""

from __future__ import annotations

import asyncio
import getpass
import json
import os
import sys
import typing as t
from dataclasses import replace
from pathlib import Path

import aiohttp
import fire
from gradelug_backends import EtcdKeyValue, new_connector
from gradelug_config import (
    ConfigError,
    Document,
    Finding,
    InvalidConfig,
    Selector,
    load,
)
from gradelug_config.buckets import to_plain
from gradelug_config.difference import Change, diff
from gradelug_config.findings import suggest
from gradelug_config.model import Adapter, Caller, Pool, Service
from gradelug_config.validation import check
from gradelug_coordination import CoordinationError, RevisionConflict

from .exceptions import (
    EXIT_DECLINED,
    EXIT_DIFFERS,
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_NOT_FOUND,
    EXIT_RACED,
    CommandError,
)
from .explanation import explain
from .failures import find_failures
from .limits import find_limits
from .lost import find_losses
from .recovery import find_recoveries
from .repository import Repository
from .status import gather_status
from .trace import trace
from .why import differences, judge

KV_VARIABLE = "GRADELUG_KV"
LABELLED = ("adapters", "callers", "pools", "services")
LOST_BY = ("kind", "hall", "second")
KINDS = (*LABELLED, "access", "weights", "routes", "objectives")
Labelled = Adapter | Caller | Pool | Service


class Commands:
    """Operate gradelug: adapters, versions, pools and rules, by selectors over labels.

    The address of the platform's key-value service comes from --kv or from GRADELUG_KV.

    Exit codes: 0 done, 1 failed, 2 invalid input, 3 another change came first, 4 there are
    differences, 5 not found, 6 declined by the operator.

    Examples:
        gradelug validate examples/tenger
        gradelug diff examples/tenger
        gradelug apply examples/tenger --yes
        gradelug get adapters --selector 'app=valuation,hall in (khan-uul,sukhbaatar)'
        gradelug label adapters valuation-bayanzurkh season=winter draft-
        gradelug explain --caller tax-inspectorate --model valuation-bayanzurkh
        gradelug drain valuation-3
        gradelug status --json
        gradelug why 4711-2 edge-*.log --beside 4712-1
    """

    def __init__(self, kv: str = "") -> None:
        self._kv = kv

    def validate(self, *paths: str, json: bool = False) -> None:
        """Check TOML files or folders of them; prints every finding with its place."""
        document = _load(paths)
        summary = {kind: len(getattr(document, kind)) for kind in KINDS}
        text = ", ".join(f"{count} {kind}" for kind, count in summary.items() if count)
        _show(summary, f"valid: {text}", json)

    def diff(self, *paths: str, json: bool = False) -> None:
        """Show what applying the files would change; exit 4 if there are changes."""
        document = _load(paths)
        changes = diff((self._run(Repository.current)).document, document)
        _show_changes(changes, json)
        if changes:
            raise SystemExit(EXIT_DIFFERS)

    def apply(self, *paths: str, yes: bool = False, json: bool = False) -> None:
        """Show the changes, then bring the files into force, whole or not at all."""
        document = _load(paths)
        base = self._run(Repository.current)
        changes = diff(base.document, document)
        _show_changes(changes, json=False, out=sys.stderr)
        if not changes:
            _show({"revision": base.revision}, f"revision {base.revision} stays", json)
            return
        if not yes and not _confirm(f"Apply {len(changes)} changes?"):
            raise CommandError(EXIT_DECLINED, "nothing was changed")
        try:
            revision = self._run(
                lambda repository: repository.publish(document, base.revision, _author())
            )
        except RevisionConflict:
            now = self._run(Repository.current)
            _show_changes(diff(base.document, now.document), json=False, out=sys.stderr)
            message = (
                f"refused: {now.author} brought revision {now.revision} into force meanwhile, "
                "with the changes above; look at them and apply again"
            )
            raise CommandError(EXIT_RACED, message) from None
        _show({"revision": revision}, f"revision {revision} is accepted", json)

    def get(self, kind: str, name: str = "", selector: str = "", json: bool = False) -> None:
        """List objects of a kind, by name or by a selector over their labels."""
        _check_kind(kind, KINDS)
        document = self._run(Repository.current).document
        wanted = _selector(selector)
        found = [
            item
            for item in getattr(document, kind)
            if (not name or item.name == name) and wanted.matches(getattr(item, "labels", {}))
        ]
        if name and not found:
            names = [item.name for item in getattr(document, kind)]
            raise CommandError(EXIT_NOT_FOUND, f"no {kind} {name!r}{suggest(name, names)}")
        plain = to_plain(_with_list(Document(), kind, found)).get(kind, [])
        lines = (f"{item['name']}  {_labels_text(item.get('labels', {}))}" for item in plain)
        _show(plain, "\n".join(lines), json)

    def label(self, kind: str, name: str, *changes: str, selector: str = "") -> None:
        """Set labels by key=value and remove them by key-; name 'all' goes by --selector."""
        _check_kind(kind, LABELLED)
        wanted = _selector(selector)
        edits = _parse_labels(changes)
        touched: list[str] = []

        def edit(document: Document) -> Document:
            touched.clear()
            items = [
                (
                    _relabel(item, edits, touched)
                    if (item.name == name or name == "all") and wanted.matches(item.labels)
                    else item
                )
                for item in getattr(document, kind)
            ]
            if not touched:
                raise CommandError(EXIT_NOT_FOUND, f"no {kind} {name!r} matches")
            return _checked(_with_list(document, kind, items))

        revision = self._run(lambda repository: repository.change(edit, _author()))
        print(f"{len(touched)} {kind} labelled; revision {revision} is accepted")

    def explain(self, caller: str, model: str, json: bool = False) -> None:
        """Say which rule, pool, engines and weight a request of a caller would get, and why."""
        current = self._run(Repository.current)
        try:
            explanation = explain(current.revision, current.document, caller, model)
        except ConfigError as exc:
            raise CommandError(EXIT_NOT_FOUND, str(exc)) from exc
        _show(explanation.to_plain(), str(explanation), json)

    def drain(self, *names: str) -> None:
        """Send no new work to some upstreams; what runs there runs to its end."""
        self._set_draining(names, drained=True)

    def undrain(self, *names: str) -> None:
        """Send work to drained upstreams again."""
        self._set_draining(names, drained=False)

    def status(self, json: bool = False) -> None:
        """Show the schedulers, the engines and their adapters; exit 1 if something is wrong."""
        current = self._run(Repository.current)
        status = asyncio.run(self._with_kv(lambda kv: gather_status(kv, current.revision)))
        lines = [f"revision {status.revision}"]
        lines += [
            f"{m.name}  {m.hall}  {m.address}  revision {m.revision}{'  leaving' * m.leaving}"
            for m in status.members
        ]
        lines += [
            f"{name}  owner {fact.owner}  load {fact.load}  waiting {fact.waiting}"
            f"{'  leaving' * fact.leaving}  {' '.join(fact.resident)}"
            for name, fact in sorted(status.engines.items())
        ]
        problems = status.problems()
        _show(status.to_plain(), "\n".join(lines), json)
        if problems:
            raise CommandError(EXIT_FAILED, "; ".join(problems))

    def trace(self, request_id: str, *files: str) -> None:
        """Tell one request's story from the logs of several instances; 5 if they lack it."""
        rows = _read_logs(files)
        # Identifiers of digits reach a command as numbers.
        story = trace(str(request_id), rows)
        for line in story.lines:
            print(line)
        if story.unreadable:
            print(f"{story.unreadable} lines could not be read", file=sys.stderr)
        if not story.lines:
            raise CommandError(EXIT_NOT_FOUND, f"no line tells of request {request_id}")

    def lost(self, *files: str, by: str = "kind") -> None:
        """Count lost and late requests by cause from logs; --by kind, hall or second."""
        if by not in LOST_BY:
            raise CommandError(EXIT_INVALID, f"--by takes one of {', '.join(LOST_BY)}, not {by!r}")
        found = find_losses(_read_logs(files))
        print(f"{found.answered} answered whole")
        for cause, counts in found.table(by):
            parts = "  ".join(f"{name or '-'} {count}" for name, count in counts.most_common())
            print(f"{counts.total():6}  {cause}:  {parts}")
        if found.unreadable:
            print(f"{found.unreadable} lines could not be read", file=sys.stderr)

    def failures(self, *files: str) -> None:
        """List errors that ended a process, a planner or a task, from logs; 1 if there are any."""
        found = find_failures(_read_logs(files))
        for failure, count in found.most_common():
            print(f"{count:6}  {failure.process or '-'}  {failure.message}")
        if found:
            raise CommandError(EXIT_FAILED, f"{found.total()} lines tell of errors")

    def recovery(self, *files: str, least: int = 2) -> None:
        """Show what instances that started together waited for, from logs; --least of them."""
        for found in find_recoveries(_read_logs(files)):
            if len(found.starts) >= least:
                print(found)

    def limits(self, *files: str) -> None:
        """Show which replicas named how many requests a second, and what was used, from logs."""
        for found in find_limits(_read_logs(files)):
            print(found)

    def why(self, request_id: str, *files: str, beside: str = "") -> None:
        """Tell by what a request was refused or placed, --beside another one; 5 if logs lack it."""
        rows = _read_logs(files)
        # Identifiers of digits reach a command as numbers.
        judged = [judge(str(name), rows) for name in (request_id, beside) if name != ""]
        for judgement in judged:
            print(judgement)
        if len(judged) > 1:
            print("\n".join(["they differ in", *(f"  {row}" for row in differences(*judged))]))
        missing = [judgement.request for judgement in judged if not judgement.is_known]
        if missing:
            raise CommandError(EXIT_NOT_FOUND, f"no line tells of request {', '.join(missing)}")

    def _set_draining(self, names: t.Sequence[str], drained: bool) -> None:
        if not names:
            raise CommandError(EXIT_INVALID, "name at least one upstream")

        def edit(document: Document) -> Document:
            kept = [name for name in document.draining if name not in names]
            return _checked(replace(document, draining=kept + list(names) * drained))

        revision = self._run(lambda repository: repository.change(edit, _author()))
        state = "draining" if drained else "back"
        print(f"{', '.join(names)}: {state}; revision {revision} is accepted")

    def _run(self, call: t.Callable[[Repository], t.Awaitable[t.Any]]) -> t.Any:
        return asyncio.run(self._with_kv(lambda kv: call(Repository(kv))))

    async def _with_kv(self, call: t.Callable[[EtcdKeyValue], t.Awaitable[t.Any]]) -> t.Any:
        address = self._kv or os.environ.get(KV_VARIABLE, "")
        if not address:
            raise CommandError(EXIT_INVALID, f"give --kv or set {KV_VARIABLE}")
        async with aiohttp.ClientSession(connector=new_connector()) as session:
            try:
                return await call(EtcdKeyValue(session, address))
            except RevisionConflict:
                raise
            except CoordinationError as exc:
                raise CommandError(EXIT_FAILED, f"the key-value service: {exc}") from exc


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(Commands, name="gradelug")
    except InvalidConfig as exc:
        _report(exc.findings)
        raise SystemExit(EXIT_INVALID) from None
    except CommandError as exc:
        print(f"gradelug: {exc}", file=sys.stderr)
        raise SystemExit(exc.code) from None


def _load(paths: t.Sequence[str]) -> Document:
    if not paths:
        raise CommandError(EXIT_INVALID, "name at least one file or folder")
    return load([Path(path) for path in paths])


def _read_logs(files: t.Sequence[str]) -> list[str]:
    if not files:
        raise CommandError(EXIT_INVALID, "name at least one log file")
    rows: list[str] = []
    for name in files:
        try:
            rows += Path(name).read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as exc:
            raise CommandError(EXIT_INVALID, str(exc)) from exc
    return rows


def _checked(document: Document) -> Document:
    findings = check(document)
    if findings:
        raise InvalidConfig(findings)
    return document


def _with_list(document: Document, kind: str, items: list[t.Any]) -> Document:
    changed: dict[str, t.Any] = {kind: items}
    return replace(document, **changed)


def _check_kind(kind: str, kinds: t.Sequence[str]) -> None:
    if kind not in kinds:
        hint = suggest(kind, kinds)
        raise CommandError(EXIT_INVALID, f"{kind!r} is none of {', '.join(kinds)}{hint}")


def _selector(text: str) -> Selector:
    try:
        return Selector.parse(text)
    except ConfigError as exc:
        raise CommandError(EXIT_INVALID, str(exc)) from exc


def _parse_labels(changes: t.Sequence[str]) -> dict[str, str | None]:
    edits: dict[str, str | None] = {}
    for change in changes:
        key, sign, value = change.partition("=")
        if not sign and change.endswith("-"):
            edits[change[:-1]] = None
        elif sign:
            edits[key] = value
        else:
            raise CommandError(EXIT_INVALID, f"{change!r} is neither key=value nor key-")
    if not edits:
        raise CommandError(EXIT_INVALID, "give at least one key=value or key-")
    return edits


def _relabel(item: Labelled, edits: dict[str, str | None], touched: list[str]) -> Labelled:
    labels = {**item.labels, **edits}
    touched.append(item.name)
    return replace(item, labels={key: value for key, value in labels.items() if value is not None})


def _author() -> str:
    return os.environ.get("GRADELUG_AUTHOR") or getpass.getuser()


def _confirm(question: str) -> bool:
    if not sys.stdin.isatty():
        raise CommandError(EXIT_DECLINED, "not confirmed; give --yes in scripts")
    return input(f"{question} [y/N] ").strip().lower() in ("y", "yes")


def _labels_text(labels: t.Mapping[str, str]) -> str:
    return ",".join(f"{key}={value}" for key, value in sorted(labels.items()))


def _show(plain: t.Any, text: str, as_json: bool) -> None:
    print(json.dumps(plain, indent=2) if as_json else text)


def _show_changes(changes: t.Sequence[Change], json: bool, out: t.TextIO | None = None) -> None:
    if json:
        _show([_plain_change(change) for change in changes], "", True)
        return
    for change in changes:
        print(change, file=out or sys.stdout)
    print(f"{len(changes)} changes", file=out or sys.stdout)


def _plain_change(change: Change) -> dict[str, str]:
    return {"sign": change.sign, "kind": change.kind, "name": change.name, "detail": change.detail}


def _report(findings: t.Sequence[Finding]) -> None:
    for finding in findings:
        print(finding, file=sys.stderr)
    print(f"{len(findings)} findings; nothing was changed", file=sys.stderr)
