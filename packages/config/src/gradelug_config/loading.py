"""Reading a document from TOML files."""

from __future__ import annotations

import tomllib
import typing as t
from pathlib import Path

from .exceptions import InvalidConfig
from .findings import Finding
from .model import Document
from .structure import make_converter, structure
from .validation import check

_LISTS = (
    "callers",
    "adapters",
    "pools",
    "access",
    "weights",
    "routes",
    "services",
    "objectives",
    "draining",
)


def load(paths: t.Iterable[Path]) -> Document:
    """Read TOML files and folders of them into one checked document.

    Lists of the files are joined in the order of the files' names, so that rules keep an
    order; a scalar may be set by one file only.

    Raises
    ------
    InvalidConfig
        With the findings of all files.
    """
    findings: list[Finding] = []
    merged: dict[str, t.Any] = {}
    setters: dict[str, Path] = {}
    converter = make_converter()
    for path in _expand(paths, findings):
        try:
            data = tomllib.loads(path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
            findings.append(Finding(str(path), str(exc)))
            continue
        try:
            structure(converter, data, Document, str(path))
        except InvalidConfig as exc:
            findings.extend(exc.findings)
            continue
        _merge(merged, data, path, setters, findings)
    if findings:
        raise InvalidConfig(findings)
    document = structure(converter, merged, Document, "configuration")
    findings = check(document)
    if findings:
        raise InvalidConfig(findings)
    return document


def _expand(paths: t.Iterable[Path], findings: list[Finding]) -> t.Iterator[Path]:
    for path in paths:
        if path.is_dir():
            found = sorted(path.glob("*.toml"))
            if not found:
                findings.append(Finding(str(path), "the folder holds no .toml file"))
            yield from found
        else:
            yield path


def _merge(
    merged: dict[str, t.Any],
    data: dict[str, t.Any],
    path: Path,
    setters: dict[str, Path],
    findings: list[Finding],
) -> None:
    for key, value in data.items():
        if key in _LISTS:
            merged.setdefault(key, []).extend(value)
            continue
        if key in merged:
            findings.append(Finding(f"{path}.{key}", f"already set by {setters[key]}"))
        merged[key] = value
        setters[key] = path
