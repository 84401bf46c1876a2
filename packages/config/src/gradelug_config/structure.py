"""Reading typed objects from plain data, collecting every finding with its path."""

from __future__ import annotations

import typing as t
from dataclasses import fields, is_dataclass

import cattrs
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError, IterableValidationError
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn

from .exceptions import InvalidConfig
from .findings import Finding, suggest

T = t.TypeVar("T")
_SCALARS: t.Mapping[type, tuple[type, ...]] = {
    str: (str,),
    bool: (bool,),
    int: (int,),
    float: (int, float),
}


def make_converter() -> cattrs.Converter:
    """Return a converter that forbids unknown keys and does not coerce scalars."""
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=True)
    for kind, accepted in _SCALARS.items():
        converter.register_structure_hook(kind, _strict(kind, accepted))
    converter.register_structure_hook_factory(
        is_dataclass,
        lambda cls: make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True),
    )
    # Objects are written without the fields that hold their defaults: at 20,000 adapters
    # that halves what every instance must fetch.
    converter.register_unstructure_hook_factory(
        is_dataclass,
        lambda cls: make_dict_unstructure_fn(cls, converter, _cattrs_omit_if_default=True),
    )
    return converter


def structure(converter: cattrs.Converter, data: object, cls: type[T], place: str) -> T:
    """Build `cls` from plain data.

    Parameters
    ----------
    converter : cattrs.Converter
        From `make_converter`.
    data : object
        Nested dicts, lists and scalars.
    cls : type
        The dataclass to build.
    place : str
        Prefix of every finding's place.

    Raises
    ------
    InvalidConfig
        With all findings at once.
    """
    try:
        return converter.structure(data, cls)
    except Exception as exc:
        raise InvalidConfig(list(_flatten(exc, place))) from exc


def _strict(kind: type, accepted: tuple[type, ...]) -> t.Callable[[object, type], object]:
    def hook(value: object, _: type) -> object:
        wrong_bool = isinstance(value, bool) and kind is not bool
        if wrong_bool or not isinstance(value, accepted):
            raise ValueError(f"expected {kind.__name__}, found {type(value).__name__} {value!r}")
        return kind(value)

    return hook


def _flatten(exc: BaseException, place: str) -> t.Iterator[Finding]:
    if isinstance(exc, ClassValidationError):
        noted, plain = exc.group_exceptions()
        for child, note in noted:
            yield from _flatten(child, f"{place}.{note.name}")
        for child in plain:
            yield from _flatten(child, place)
        return
    if isinstance(exc, IterableValidationError):
        indexed, plain = exc.group_exceptions()
        for child, position in indexed:
            yield from _flatten(child, f"{place}[{position.index}]")
        for child in plain:
            yield from _flatten(child, place)
        return
    if isinstance(exc, ForbiddenExtraKeysError):
        known = [item.name for item in fields(exc.cl)]
        for key in sorted(exc.extra_fields):
            yield Finding(place, f"unknown key {key!r}{suggest(key, known)}")
        return
    if isinstance(exc, KeyError):
        yield Finding(place, f"required key {exc.args[0]!r} is missing")
        return
    yield Finding(place, str(exc) or type(exc).__name__)
