"""Replicas of a soak that refuse requests, send refusals again, and fail after a run."""

import random

from soak_settings import CONFIG

REFUSED_SHARE = 0.15
"""Share of the requests that a replica refuses."""
FAILED_SHARE = 0.05
"""Share of the requests after whose run it answers as if it had refused them, without the header
that says so."""
COPIES = (0, 1, 1, 2)
"""How often a refusal is sent again."""
REFUSALS = (421, 503, 503, 429)
FAILURES = (408, 429, 503)
KINDS = "nnsuui"
_streaming, _unsafe, _safe = CONFIG["Routes"]
ROUTES = [
    {**_streaming, "MaxAttempts": 3},
    {
        **_streaming,
        "Name": "n",
        "PathPrefix": "/n/",
        "MaxAttempts": 3,
        "Resumable": False,
    },
    {**_unsafe, "MaxAttempts": 3},
    _safe,
]
"""Routes with streams that may not be resumed; what may run once may be sent three times."""


class FalseAnswers:
    """Chooses what a replica refuses and how often it says so.

    Parameters
    ----------
    seed : str
        Of its choices.
    """

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._due = {}
        """Copies of refusals that are sent where the next answer is due, by connection."""
        self.copied = 0
        """Copies sent so far."""

    def send_due(self, conn):
        """Send the copies that are due on a connection, before the answer to its next request."""
        for copy in self._due.pop(conn, ()):
            self.copied += 1
            conn.write(copy)

    def refusal(self):
        """Return the status with which to refuse a request, or None."""
        if self._rng.random() >= REFUSED_SHARE:
            return None
        return self._rng.choice(REFUSALS)

    def failure(self):
        """Return the status with which to answer a request that ran, or None."""
        if self._rng.random() >= FAILED_SHARE:
            return None
        return self._rng.choice(FAILURES)

    def note_refused(self, conn, status, headers):
        """Keep copies of a refusal for the connection that brought it."""
        lines = b"".join(b"%b: %b\r\n" % header for header in headers)
        copy = b"HTTP/1.1 %d Refused\r\n%bContent-Length: 0\r\n\r\n" % (status, lines)
        self._due[conn] = [copy] * self._rng.choice(COPIES)
