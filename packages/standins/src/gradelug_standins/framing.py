"""Responses whose bodies end with their connections, having neither a length nor chunks."""

from __future__ import annotations

import json
import random
import typing as t

from aiohttp import web

UNFRAMED_SHARE = 0.05
"""Default share of responses without a length or chunks."""


class UnframedResponse(web.StreamResponse):
    """A response with neither a length nor chunks, after which its connection is closed."""

    _length_check = False

    def __init__(self, *, status: int = 200, headers: t.Mapping[str, str] | None = None) -> None:
        super().__init__(status=status, headers=headers)
        self.force_close()


class Responder:
    """Opens responses, a share of them without a length or chunks.

    Parameters
    ----------
    seed : str
        Determines which responses these are.
    unframed : float
        Their share, from 0 to 1.
    """

    def __init__(self, seed: str, unframed: float = UNFRAMED_SHARE) -> None:
        if not 0.0 <= unframed <= 1.0:
            raise ValueError(f"share of responses without framing {unframed} is not in 0 to 1")
        self._rng = random.Random(f"framing of {seed}")
        self._unframed = unframed

    def stream(self, headers: t.Mapping[str, str]) -> web.StreamResponse:
        """Return a response that is written in parts."""
        kind = UnframedResponse if self._is_unframed() else web.StreamResponse
        return kind(headers=headers)

    async def send_json(self, req: web.Request, data: t.Any) -> web.StreamResponse:
        """Answer a request with a JSON document."""
        if not self._is_unframed():
            return web.json_response(data)
        res = UnframedResponse(headers={"Content-Type": "application/json; charset=utf-8"})
        await res.prepare(req)
        await res.write_eof(json.dumps(data).encode())
        return res

    def _is_unframed(self) -> bool:
        return self._rng.random() < self._unframed
