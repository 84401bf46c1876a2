"""Searches the objects reachable from one for strings, to find state that is kept for too long."""

import asyncio
import types
from collections import deque

SKIPPED = (
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    type,
    asyncio.AbstractEventLoop,
    asyncio.Future,
)


def paths_to(root, strings, skipped=()):
    """Return the attribute paths at which any of some strings is reachable from an object.

    Parameters
    ----------
    root : object
        Where the search begins.
    strings : container of str
        The strings to find.
    skipped : tuple of object
        Objects that are not searched.
    """
    seen = {id(obj) for obj in skipped}
    queue = deque([(type(root).__name__, root)])
    found = []
    while queue:
        path, obj = queue.popleft()
        if isinstance(obj, str):
            if obj in strings:
                found.append(f"{path} = {obj!r}")
            continue
        if id(obj) in seen or isinstance(obj, SKIPPED):
            continue
        seen.add(id(obj))
        queue.extend((f"{path}{name}", child) for name, child in _children(obj))
    return found


def _children(obj):
    if isinstance(obj, dict):
        for key, value in obj.items():
            yield ".keys()", key
            yield "[]", value
    elif isinstance(obj, (list, tuple, set, frozenset, deque)):
        for item in obj:
            yield "[]", item
    elif isinstance(obj, types.MethodType):
        yield ".__self__", obj.__self__
    for name in _attribute_names(obj):
        yield f".{name}", getattr(obj, name, None)


def _attribute_names(obj):
    names = list(getattr(obj, "__dict__", ()))
    for cls in type(obj).__mro__:
        slots = cls.__dict__.get("__slots__", ())
        for name in (slots,) if isinstance(slots, str) else slots:
            mangled = name.startswith("__") and not name.endswith("__")
            names.append(f"_{cls.__name__.lstrip('_')}{name}" if mangled else name)
    return names
