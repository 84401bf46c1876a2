"""What a scheduler answers to routers and other schedulers."""

from __future__ import annotations

import typing as t

from gradelug_coordination import HolderReport, KvUnavailable, OnceState, OnceVerdict
from gradelug_coordination.once import shard_of
from gradelug_policy.permits import PermitRequest
from gradelug_wire import control_pb2 as pb
from gradelug_wire.control_grpc import ControlBase
from returns.result import Success

from .node import Node
from .questions import Decline, Offer, Question

if t.TYPE_CHECKING:
    from grpclib.server import Stream

MAX_WAIT_S = 10.0
_ONCE_VERDICTS = {
    OnceVerdict.FRESH: pb.ONCE_FRESH,
    OnceVerdict.RUNNING: pb.ONCE_RUNNING,
    OnceVerdict.RAN: pb.ONCE_RAN,
    OnceVerdict.MISMATCH: pb.ONCE_MISMATCH,
}
_OUTCOMES = {pb.OUTCOME_RAN: OnceState.RAN, pb.OUTCOME_NOT_RUN: OnceState.RELEASED}


class ControlService(ControlBase):
    """Implements the control protocol for one node."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def AskGrant(self, stream: Stream[pb.Ask, pb.Grant]) -> None:  # noqa: N802
        """Answer a question for credits."""
        ask = await stream.recv_message()
        if ask is not None:
            await stream.send_message(await self.grant(ask))

    async def SendReport(self, stream: Stream[pb.Report, pb.ReportReply]) -> None:  # noqa: N802
        """Take in a router's account."""
        report = await stream.recv_message()
        if report is not None:
            await stream.send_message(self.take_report(report))

    async def Exchange(self, stream: Stream[pb.Sync, pb.Sync]) -> None:  # noqa: N802
        """Exchange facts, and the head of the configuration with whoever is behind."""
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(self.exchange(message))

    async def FetchBuckets(self, stream: Stream[pb.Fetch, pb.Buckets]) -> None:  # noqa: N802
        """Return buckets in force."""
        message = await stream.recv_message()
        if message is None:
            return
        held = self._node.follower.contents
        contents = {digest: held[digest] for digest in message.digests if digest in held}
        await stream.send_message(pb.Buckets(stamp=self._node.stamp(), contents=contents))

    async def AskPermit(self, stream: Stream[pb.PermitAsk, pb.Permit]) -> None:  # noqa: N802
        """Hand out a permit to use the weight store."""
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self.permit(message))

    async def EndPermit(self, stream: Stream[pb.PermitDone, pb.Done]) -> None:  # noqa: N802
        """Take a permit back."""
        message = await stream.recv_message()
        if message is None:
            return
        if self._node.store.desk is not None:
            self._node.store.desk.end(message.number)
        await stream.send_message(pb.Done(stamp=self._node.stamp()))

    async def ReserveKey(self, stream: Stream[pb.Reserve, pb.Reserved]) -> None:  # noqa: N802
        """Reserve the key of a request that may run at most once."""
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self.reserve(message))

    async def SettleKey(self, stream: Stream[pb.Settle, pb.Done]) -> None:  # noqa: N802
        """Note the outcome of a reserved request."""
        message = await stream.recv_message()
        if message is None:
            return
        shard = self._node.shards[shard_of(message.key)]
        if message.outcome in _OUTCOMES:
            shard.settle(message.key, message.attempt, _OUTCOMES[message.outcome])
        await stream.send_message(pb.Done(stamp=self._node.stamp()))

    async def grant(self, ask: pb.Ask) -> pb.Grant:
        """Answer a question for credits."""
        node = self._node
        revision = node.follower.head.revision
        if ask.stamp.revision < revision:
            return self._decline(Decline(pb.VERDICT_BEHIND, f"revision {revision} is in force"))
        keeper = node.keepers.get(ask.engine)
        if keeper is None or node.leaving or node.is_isolated():
            return self._decline(Decline(pb.VERDICT_NOT_OWNER, "not its owner"))
        question = Question(
            holder=ask.stamp.member,
            key=ask.adapter,
            want=ask.want,
            fresh=ask.fresh,
            weight=ask.weight or 1.0,
            wait_s=min(MAX_WAIT_S, ask.wait_ms / 1000),
            waited_s=ask.waited_ms / 1000,
            request_id=ask.request_id,
        )
        answer = await keeper.ask(question)
        if isinstance(answer, Success):
            return self._offer(answer.unwrap())
        return self._decline(answer.failure())

    def take_report(self, report: pb.Report) -> pb.ReportReply:
        """Take in a router's account of what it holds."""
        recalls = []
        for item in report.holdings:
            keeper = self._node.keepers.get(item.engine)
            if keeper is None:
                continue
            account = HolderReport(
                holder=report.stamp.member,
                key=item.adapter,
                grant=item.number,
                unspent=item.unspent,
                running=item.running,
                closed=item.closed,
            )
            if keeper.account(account):
                recalls.append(pb.Recall(engine=item.engine, adapter=item.adapter))
        return pb.ReportReply(stamp=self._node.stamp(), recalls=recalls)

    def exchange(self, message: pb.Sync) -> pb.Sync:
        """Take in facts and return those that the other may lack."""
        node = self._node
        node.take_sync(message)
        gossip = node.gossip
        if message.reader:
            if message.address:
                node.note_router(message.address)
            reply = node.make_sync(gossip.since(message.cursor))
            reply.cursor = gossip.cursor
        else:
            reply = node.make_sync(gossip.updates_for(message.address))
        head = node.follower.head
        if message.stamp.revision < head.revision:
            reply.head = head.encode()
        return reply

    async def permit(self, message: pb.PermitAsk) -> pb.Permit:
        """Hand out a permit, if this node owns the store."""
        desk = self._node.store.desk
        stamp = self._node.stamp()
        if desk is None:
            return pb.Permit(stamp=stamp, retry_after_ms=200)
        request = PermitRequest(
            message.stamp.member, message.engine, message.adapter, message.urgency
        )
        number = await desk.acquire(request, min(MAX_WAIT_S, message.wait_ms / 1000))
        return pb.Permit(stamp=stamp, granted=bool(number), number=number, retry_after_ms=50)

    async def reserve(self, message: pb.Reserve) -> pb.Reserved:
        """Reserve a key; `ONCE_UNAVAILABLE` means that the request must not be sent."""
        shard = self._node.shards[shard_of(message.key)]
        try:
            verdict = _ONCE_VERDICTS[
                await shard.reserve(message.key, message.body, message.attempt)
            ]
        except KvUnavailable:
            verdict = pb.ONCE_UNAVAILABLE
        return pb.Reserved(stamp=self._node.stamp(), verdict=verdict)

    def _offer(self, offer: Offer) -> pb.Grant:
        return pb.Grant(
            stamp=self._node.stamp(),
            verdict=pb.VERDICT_GRANTED,
            number=offer.number,
            credits=offer.credits,
            valid_ms=int(offer.valid_s * 1000),
            stall_ms=int(offer.stall_s * 1000),
        )

    def _decline(self, decline: Decline) -> pb.Grant:
        return pb.Grant(
            stamp=self._node.stamp(),
            verdict=decline.verdict,
            reason=decline.reason,
            retry_after_ms=int(decline.retry_after_s * 1000),
        )
