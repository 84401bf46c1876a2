"""How serving a request may end other than by its answer."""

from __future__ import annotations

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class Refused(Exception):
    """The request was not run and will not be.

    Parameters
    ----------
    why : str
        For the log.
    retry_after_s : float
        When the caller may come back, in seconds.
    """

    def __init__(self, why: str, retry_after_s: float) -> None:
        super().__init__(why)
        self.retry_after_s = retry_after_s


class Failed(Exception):
    """The request may have run and has no whole answer.

    Parameters
    ----------
    why : str
        For the log.
    status : int
        Status of the answer if none has begun.
    """

    def __init__(self, why: str, status: int = BAD_GATEWAY) -> None:
        super().__init__(why)
        self.status = status


class Unauthenticated(Exception):
    """A request carries no key, or none that is good; the message says why, without the key."""


class Limited(Exception):
    """An organisation has used up its quota: the request was not run and will not be.

    Parameters
    ----------
    organisation : str
        Which.
    retry_after_s : float
        When there will be enough for such a request, in seconds.
    """

    def __init__(self, organisation: str, retry_after_s: float) -> None:
        super().__init__(f"the quota of {organisation} is used up")
        self.organisation = organisation
        self.retry_after_s = retry_after_s
