"""Values that another writer may leave in the store: malformed, out of range or far too large."""

import json

DEPTH = 100_000
MEGABYTE = 1_000_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
DIGITS = b"9" * 5_000
"""More digits than Python converts to an integer."""

VALUES = {
    "empty": b"",
    "not JSON": b"x",
    "unfinished": b'{"owner": ',
    "nested lists": NESTED,
    "nested tables": b'{"owner":' * DEPTH + b"1" + b"}" * DEPTH,
    "unfinished nested lists": b"[" * DEPTH,
    "too many digits": DIGITS,
    "1e999": b"1e999",
    "NaN": b"NaN",
    "Infinity": b"-Infinity",
    "number": b"-1",
    "boolean": b"true",
    "null": b"null",
    "text": b'"text"',
    "list": b"[]",
    "list of lists": b"[[]]",
    "table": b"{}",
    "megabyte": b'"' + b"x" * MEGABYTE + b'"',
    "bad UTF-8": b'{"owner": "\xff\xfe"}',
    "bytes": bytes(range(256)),
    "surrogate": b'{"owner": "\\ud800"}',
    "surrogate bytes": b'{"owner": "\xed\xa0\x80"}',
    "line break": b"a\r\nb: c",
}
"""Whole values, by what is odd in them."""

FIELDS = {
    "nested lists": NESTED,
    "too many digits": DIGITS,
    "1e999": b"1e999",
    "-1e999": b"-1e999",
    "NaN": b"NaN",
    "Infinity": b"Infinity",
    "negative": b"-1",
    "fraction": b"0.5",
    "2^32": b"4294967296",
    "2^70": b"1180591620717411303424",
    "10^400": b"1" + b"0" * 400,
    "boolean": b"true",
    "null": b"null",
    "empty text": b'""',
    "text": b'"text"',
    "number as text": b'"NaN"',
    "list": b"[]",
    "list of lists": b"[[]]",
    "list of numbers": b"[1, 2]",
    "list of nulls": b"[null]",
    "table": b"{}",
    "table of numbers": b'{"a": 1}',
    "table of tables": b'{"00": {"a": 1e999}}',
    "port 0": b'"127.0.0.1:0"',
    "port 65536": b'"127.0.0.1:65536"',
    "negative port": b'"127.0.0.1:-1"',
    "port of many digits": b'"127.0.0.1:' + DIGITS + b'"',
    "no port": b'"127.0.0.1"',
    "no host": b'":80"',
    "surrogate": b'"\\ud800"',
    "null byte": b'"a\\u0000b"',
    "megabyte": b'"' + b"x" * MEGABYTE + b'"',
}
"""Values of a field, by what is odd in them."""

_PLACEHOLDER = "value of the odd field"


def _paths(data, path=()):
    """Yield the paths of all items of nested tables and lists."""
    items = data.items() if isinstance(data, dict) else enumerate(data)
    for name, item in items:
        yield (*path, name)
        if isinstance(item, (dict, list)):
            yield from _paths(item, (*path, name))


def _changed(data, path, is_removed):
    """Return a copy in which the item at a path is replaced by the placeholder, or removed."""
    copied = json.loads(json.dumps(data))
    holder = copied
    for name in path[:-1]:
        holder = holder[name]
    if is_removed:
        del holder[path[-1]]
    else:
        holder[path[-1]] = _PLACEHOLDER
    return copied


def odd_values(sound):
    """Yield what is odd, and the value, for each way to spoil a sound record."""
    yield from VALUES.items()
    for path in _paths(sound):
        where = ".".join(map(str, path))
        yield f"{where} missing", json.dumps(_changed(sound, path, True)).encode()
        text = json.dumps(_changed(sound, path, False)).encode()
        for name, raw in FIELDS.items():
            yield f"{where}: {name}", text.replace(json.dumps(_PLACEHOLDER).encode(), raw)


def failures(sound, use):
    """Return the errors that escape from `use`, called with each odd value, by what is odd."""
    found = {}
    for name, value in odd_values(sound):
        try:
            use(value)
        except Exception as exc:
            found[name] = repr(exc)[:160]
    return found


async def await_failures(sound, use):
    """Return the errors that escape from the coroutine function `use`, as `failures` does."""
    found = {}
    for name, value in odd_values(sound):
        try:
            await use(value)
        except Exception as exc:
            found[name] = repr(exc)[:160]
    return found
