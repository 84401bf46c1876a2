"""The protocol of callers: request bodies checked, answers and errors in its shape."""

from __future__ import annotations

import json
import typing as t
from dataclasses import dataclass

from .exceptions import ApiError

CHAT = "/v1/chat/completions"
COMPLETIONS = "/v1/completions"
MODELS = "/v1/models"
DONE = b"data: [DONE]\n\n"


@dataclass(slots=True, frozen=True)
class Completion:
    """A checked request for a completion.

    Parameters
    ----------
    path : str
        `CHAT` or `COMPLETIONS`.
    model : str
        As the caller named it.
    stream : bool
        Whether tokens are to be streamed.
    body : dict
        The body, passed on but for the model and the priority.
    """

    path: str
    model: str
    stream: bool
    body: dict[str, t.Any]

    def for_engine(self, adapter: str, priority: int) -> bytes:
        """Return the body for an engine that holds `adapter`."""
        return json.dumps({**self.body, "model": adapter, "priority": priority}).encode()


def parse_completion(path: str, raw: bytes) -> Completion:
    """Check a body.

    Raises
    ------
    ApiError
        With every finding in its message.
    """
    body = parse_json(raw)
    if not isinstance(body, dict):
        raise ApiError(400, "invalid_body", "the body must be a JSON object")
    wrong = list(_check(path, body))
    if wrong:
        raise ApiError(400, "invalid_body", "; ".join(wrong))
    return Completion(path, body["model"], bool(body.get("stream", False)), body)


def parse_json(raw: bytes) -> t.Any:
    """Return the body's JSON value; raises `ApiError` if it is none."""
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise ApiError(400, "invalid_json", f"the body is not JSON: {exc}") from exc


def error_body(exc: ApiError, request_id: str) -> bytes:
    """Return the body of an error answer."""
    kind = "invalid_request_error" if exc.status < 500 else "server_error"
    error: dict[str, t.Any] = {
        "message": str(exc),
        "type": kind,
        "param": None,
        "code": exc.code,
        "outcome": exc.outcome.value,
        "request_id": request_id,
    }
    if exc.retry_after_s is not None:
        error["retry_after_s"] = round(exc.retry_after_s, 3)
    return json.dumps({"error": error}).encode()


def error_event(exc: ApiError, request_id: str) -> bytes:
    """Return an error as an event within a stream."""
    return b"data: " + error_body(exc, request_id) + b"\n\n"


def model_list(models: t.Iterable[str]) -> bytes:
    """Return the answer to a question for models."""
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "gradelug"} for name in models
    ]
    return json.dumps({"object": "list", "data": data}).encode()


def _check(path: str, body: dict[str, t.Any]) -> t.Iterator[str]:
    if not isinstance(body.get("model"), str) or not body["model"]:
        yield "model: a non-empty string is required"
    if "stream" in body and not isinstance(body["stream"], bool):
        yield "stream: must be true or false"
    for name in ("max_tokens", "max_completion_tokens", "n"):
        value = body.get(name)
        if value is not None and (isinstance(value, bool) or not isinstance(value, int)):
            yield f"{name}: must be a whole number"
        elif value is not None and value < 1:
            yield f"{name}: must be at least 1"
    for name in ("temperature", "top_p"):
        value = body.get(name)
        if value is not None and (isinstance(value, bool) or not isinstance(value, (int, float))):
            yield f"{name}: must be a number"
    if path == CHAT:
        yield from _check_messages(body.get("messages"))
    elif not isinstance(body.get("prompt"), (str, list)):
        yield "prompt: a string or a list is required"


def _check_messages(messages: t.Any) -> t.Iterator[str]:
    if not isinstance(messages, list) or not messages:
        yield "messages: a non-empty list is required"
        return
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            yield f"messages[{index}]: must be an object"
        elif not isinstance(message.get("role"), str):
            yield f"messages[{index}].role: a string is required"
