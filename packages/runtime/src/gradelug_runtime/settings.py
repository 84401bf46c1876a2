"""Settings of a process: a TOML file, checked whole when the process starts."""

from __future__ import annotations

import ipaddress
import tomllib
import typing as t
from dataclasses import dataclass, field
from pathlib import Path

from gradelug_config.exceptions import InvalidConfig
from gradelug_config.findings import Finding
from gradelug_config.structure import make_converter, structure

T = t.TypeVar("T")


@dataclass(slots=True, frozen=True)
class LogSettings:
    """How a process logs.

    Parameters
    ----------
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    format : str
        ``text`` or ``json``.
    """

    level: str = "info"
    format: str = "text"


@dataclass(slots=True, frozen=True)
class StatsdSettings:
    """Where counters go; an empty address switches them off."""

    address: str = ""
    prefix: str = "gradelug"
    period_s: float = 1.0


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """The platform's addresses, as ``http://IP:port``."""

    kv: str = ""
    instances: str = ""


class Checks:
    """Collects findings on a process's settings."""

    __slots__ = ("findings", "place")

    def __init__(self, place: str) -> None:
        self.place = place
        self.findings: list[Finding] = []

    def address(self, path: str, text: str, *, required: bool = True) -> None:
        """Check ``IP:port``."""
        if not text and not required:
            return
        host, _, port = text.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            valid = port.isdigit() and int(port) < 65536
        except ValueError:
            valid = False
        if not valid:
            self._add(path, f"{text!r} must be an IP address and a port, such as 127.0.0.1:7000")

    def positive(self, path: str, value: float) -> None:
        """Check that a number is above zero."""
        if value <= 0:
            self._add(path, f"{value!r} must be above 0")

    def one_of(self, path: str, value: str, allowed: t.Collection[str]) -> None:
        """Check a choice."""
        if value not in allowed:
            self._add(path, f"{value!r} must be one of {', '.join(sorted(allowed))}")

    def nonempty(self, path: str, value: str) -> None:
        """Check that a text is given."""
        if not value:
            self._add(path, "must not be empty")

    def log(self, log: LogSettings) -> None:
        """Check the settings of the log."""
        self.one_of("log.level", log.level, {"debug", "info", "warning", "error"})
        self.one_of("log.format", log.format, {"text", "json"})

    def _add(self, path: str, message: str) -> None:
        self.findings.append(Finding(f"{self.place}.{path}", message))


def load_settings(path: Path, cls: type[T], check: t.Callable[[T, Checks], None]) -> T:
    """Read and check a process's settings.

    Parameters
    ----------
    path : Path
        The TOML file.
    cls : type
        Dataclass of the settings.
    check : callable
        Adds findings on values to `Checks`.

    Raises
    ------
    InvalidConfig
        With everything that is wrong.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise InvalidConfig([Finding(str(path), str(exc))]) from exc
    settings = structure(make_converter(), data, cls, str(path))
    checks = Checks(str(path))
    check(settings, checks)
    if checks.findings:
        raise InvalidConfig(checks.findings)
    return settings


@dataclass(slots=True, frozen=True)
class ProcessSettings:
    """What every daemon needs to know of itself.

    Parameters
    ----------
    name : str
        Name of the instance.
    hall : str
        Where it stands.
    listen : str
        ``IP:port`` it listens on; port 0 lets the kernel choose.
    """

    name: str
    hall: str
    listen: str
    log: LogSettings = field(default_factory=LogSettings)
    statsd: StatsdSettings = field(default_factory=StatsdSettings)
