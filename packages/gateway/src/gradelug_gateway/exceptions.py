"""Exceptions that end a request without a replica's response.

The request pipeline catches them and answers the caller with an error.
"""

from __future__ import annotations

from dataclasses import dataclass

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class Refused(Exception):
    """The request was not run and will not be run.

    Parameters
    ----------
    why : str
        Reason, for the log.
    retry_after_s : float
        Time after which the caller may retry, in seconds.
    """

    def __init__(self, why: str, retry_after_s: float) -> None:
        super().__init__(why)
        self.retry_after_s = retry_after_s


class Blocked(Refused):
    """The poison guard blocks the request, because replicas ended while running it."""


class Failed(Exception):
    """The request may have run and has no complete response.

    Parameters
    ----------
    why : str
        Reason, for the log.
    status : int
        HTTP status to answer with if no answer has started.
    """

    def __init__(self, why: str, status: int = BAD_GATEWAY) -> None:
        super().__init__(why)
        self.status = status


class OutOfTime(TimeoutError):
    """The request cannot be served in the time that is left of its deadline."""


class Unauthenticated(Exception):
    """The request has no valid key; the message gives the reason without the key itself."""


@dataclass(slots=True, frozen=True)
class QuotaInputs:
    """The values by which a request exceeds a quota, for the log.

    Parameters
    ----------
    tokens : int
        Tokens charged for the request.
    level, needed : int
        Tokens available in the quota's bucket, and tokens required to admit the request.
    standing : str
        Whether it is a first try or a retry, and whether the retry came too early.
    """

    tokens: int = 0
    level: int = 0
    required: int = 0
    standing: str = ""


class Limited(Exception):
    """The organisation's quota is exhausted: the request was not run and will not be run.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    retry_after_s : float
        Time until the quota admits such a request, in seconds.
    inputs : QuotaInputs
        The values by which the request was limited.
    """

    def __init__(
        self,
        organisation: str,
        retry_after_s: float,
        inputs: QuotaInputs = QuotaInputs(),  # noqa: B008
    ) -> None:
        super().__init__(f"the quota of {organisation} is used up")
        self.inputs = inputs
        self.organisation = organisation
        self.retry_after_s = retry_after_s
