"""Passing requests on to plain services and to the old scripts."""

from __future__ import annotations

import itertools
import typing as t
from collections import Counter
from dataclasses import dataclass

import aiohttp
import logbook
from gradelug_config.model import Replica, Service
from gradelug_policy import RetryBudget

from .acquire import Acquirer
from .answer_ends import ends_with_connection, has_ended
from .door import Exchange
from .exceptions import AnswerTooLarge, ApiError, NotSent, Outcome, UpstreamBroken
from .upstream import HandedOver, UpstreamClient
from .view import View

log = logbook.Logger("relay")
MAX_ATTEMPTS = 3
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SERVER_ERROR = 500


@dataclass(slots=True)
class Progress:
    """How far a request has come, for the outcome that its caller is told."""

    outcome: Outcome = Outcome.NOT_RUN


@dataclass(slots=True, frozen=True)
class Target:
    """Where a request is passed on to.

    Parameters
    ----------
    upstream : str
        Name, for its circuit.
    url : str
        Address, path and query.
    """

    upstream: str
    url: str


class Relay:
    """Passes requests on and answers back as they come.

    Parameters
    ----------
    view : View
        Upstreams that are leaving.
    client : UpstreamClient
        Sends requests.
    acquirer : Acquirer
        Keeps the circuits.
    hall : str
        Where this router stands.
    """

    __slots__ = ("_acquirer", "_budget", "_client", "_clock", "_hall", "_running", "_view")

    def __init__(
        self,
        view: View,
        client: UpstreamClient,
        acquirer: Acquirer,
        hall: str,
        clock: t.Callable[[], float],
    ) -> None:
        self._view = view
        self._client = client
        self._acquirer = acquirer
        self._hall = hall
        self._clock = clock
        self._budget = RetryBudget()
        self._running: Counter[str] = Counter()

    async def service(
        self,
        exchange: Exchange,
        service: Service,
        path: str,
        single: bool,
        headers: t.Mapping[str, str],
        progress: Progress,
    ) -> None:
        """Pass a request on to a replica of a plain service.

        Parameters
        ----------
        path : str
            Path and query below the service's own.
        single : bool
            Whether it may be sent once only.
        headers : mapping
            Added to the answer.
        progress : Progress
            Updated as the request goes along.
        """
        tried: set[str] = set()
        self._budget.note_attempt()
        for attempt in itertools.count(1):
            replica = self._choose(service, tried)
            if replica is None:
                raise ApiError(503, "unavailable", "no replica can take it", progress.outcome, 1.0)
            tried.add(replica.name)
            target = Target(replica.name, f"{replica.address}/{path}")
            sent = _forwarded(exchange.headers.items(), headers)
            # A caller's token is for us; a service has no use for it.
            sent.pop("Authorization", None)
            try:
                await self._pass_on(exchange, target, sent, headers, progress)
                return
            except NotSent as exc:
                # Nothing ran: another replica may take even what may not be repeated.
                if attempt >= MAX_ATTEMPTS:
                    raise ApiError(503, "unavailable", str(exc), progress.outcome, 1.0) from exc
            except UpstreamBroken as exc:
                if single or attempt >= MAX_ATTEMPTS or not self._budget.try_retry():
                    raise ApiError(502, "upstream_broken", str(exc), Outcome.UNKNOWN) from exc

    async def legacy(
        self, exchange: Exchange, headers: t.Mapping[str, str], progress: Progress
    ) -> None:
        """Pass a request on to the old scripts."""
        address = self._view.catalog.rules.legacy_address
        query = f"?{exchange.query}" if exchange.query else ""
        target = Target("legacy", f"{address}{exchange.path}{query}")
        sent = _forwarded(exchange.headers.items(), headers)
        try:
            await self._pass_on(exchange, target, sent, headers, progress)
        except NotSent as exc:
            raise ApiError(503, "unavailable", str(exc), progress.outcome, 1.0) from exc
        except UpstreamBroken as exc:
            raise ApiError(502, "upstream_broken", str(exc), Outcome.UNKNOWN) from exc

    def _choose(self, service: Service, tried: t.Collection[str]) -> Replica | None:
        now = self._clock()
        usable = [
            replica
            for replica in service.replicas
            if replica.name not in tried
            and not self._view.is_leaving(replica.name, replica.address)
            and self._acquirer.circuit(replica.name).allows(now)
        ]
        return min(
            usable,
            key=lambda item: (self._running[item.name], item.hall != self._hall, item.name),
            default=None,
        )

    async def _pass_on(
        self,
        exchange: Exchange,
        target: Target,
        sent: t.Mapping[str, str],
        headers: t.Mapping[str, str],
        progress: Progress,
    ) -> None:
        circuit = self._acquirer.circuit(target.upstream)
        circuit.note_start(self._clock())
        handed = HandedOver(exchange.body, lambda: True)
        before = progress.outcome
        # Headers alone may run a request without a body, so it counts as sent from here on.
        progress.outcome = Outcome.UNKNOWN
        self._running[target.upstream] += 1
        try:
            context = self._client.request(
                exchange.method,
                target.url,
                sent,
                handed,
                len(exchange.body),
            )
            async with context as res:
                await self._answer(exchange, res, headers, progress)
        except aiohttp.ClientConnectorError as exc:
            circuit.note_failure(self._clock())
            progress.outcome = before
            raise NotSent(f"{target.upstream} cannot be reached") from exc
        except AnswerTooLarge:
            raise
        except UpstreamBroken as exc:
            circuit.note_failure(self._clock())
            if not exchange.started:
                raise
            _cut(exchange, target, exc)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            circuit.note_failure(self._clock())
            if exchange.started:
                _cut(exchange, target, exc)
                return
            if exchange.body and not handed.happened:
                progress.outcome = before
                raise NotSent(f"{target.upstream} did not take it") from exc
            raise UpstreamBroken(f"{target.upstream} broke off: {type(exc).__name__}") from exc
        else:
            circuit.note_success()
        finally:
            self._running[target.upstream] -= 1

    async def _answer(
        self,
        exchange: Exchange,
        res: aiohttp.ClientResponse,
        headers: t.Mapping[str, str],
        progress: Progress,
    ) -> None:
        if res.status < _SERVER_ERROR:
            progress.outcome = Outcome.RAN
        answer_headers = {
            name: value for name, value in res.headers.items() if name.lower() not in _HOP_BY_HOP
        }
        answer_headers.update(headers)
        answer_headers["Gradelug-Outcome"] = progress.outcome.value
        if res.content_length is not None:
            body = await self._client.read(res)
            exchange.respond(res.status, body, answer_headers)
            return
        exchange.begin(res.status, answer_headers)
        async for chunk in res.content.iter_any():
            await exchange.send(chunk)
        if ends_with_connection(res) and await has_ended(res):
            raise UpstreamBroken("the upstream ended, maybe within its answer")
        exchange.finish()


def _cut(exchange: Exchange, target: Target, exc: Exception) -> None:
    log.info("answer cut short, {}: {!r}", target.upstream, exc)
    exchange.cut()


def _forwarded(
    headers: t.Iterable[tuple[str, str]], answer_headers: t.Mapping[str, str]
) -> dict[str, str]:
    """Return what is sent on of a request's headers, with the request's identifier."""
    sent = {name.title(): value for name, value in headers if name.lower() not in _HOP_BY_HOP}
    sent["X-Request-Id"] = answer_headers["Gradelug-Request-Id"]
    return sent
