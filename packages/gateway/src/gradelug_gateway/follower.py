"""A planner's side of the connection to one gateway: its state, and messages queued for it."""

from __future__ import annotations

import asyncio
import math

from gradelug_wire import placement_pb2 as pb

from .pending import PendingUpdate

MAX_QUEUED_ANSWERS = 4096
MAX_QUEUED_ORDERS = 256
"""Maximum number of orders queued for a gateway that reads slowly. The oldest have timed out by
then: an order is awaited for 0.25 s."""


class Follower:
    """A gateway connected to this planner.

    Parameters
    ----------
    number : int
        Connection number, unique during this planner's lifetime.
    instance, address : str
        Name of the gateway's instance, and its ``IP:port``.
    pending : PendingUpdate or None
        Merges updates until the gateway reads them.
    """

    __slots__ = (
        "address",
        "answers",
        "echo",
        "hall",
        "has_full_store",
        "last_received_at",
        "instance",
        "is_cut_off",
        "is_disconnected",
        "knows_store",
        "listed_revision",
        "number",
        "origin_answers",
        "outbox",
        "peers_sent_at",
        "pending",
        "quota_answers",
        "room_answers",
        "store_away",
        "store_revision",
        "strength",
        "tunnel",
        "wake",
    )

    def __init__(
        self, number: int, instance: str, address: str, pending: PendingUpdate | None = None
    ) -> None:
        self.number = number
        self.instance = instance
        self.address = address
        self.hall = ""
        """Hall of the gateway, from its first message."""
        self.answers: list[pb.Answer] = []
        self.quota_answers: list[pb.QuotaAnswer] = []
        self.room_answers: list[pb.RoomAnswer] = []
        self.origin_answers: list[pb.OriginAnswer] = []
        self.echo = pb.Echo()
        """Send time of the gateway's newest message by its own clock, and receive time by the local
        clock."""
        self.outbox: list[pb.FromPlanner] = []
        """Orders and other messages sent as they are; state updates are in `pending`."""
        self.pending = pending or PendingUpdate()
        self.peers_sent_at = -math.inf
        self.has_full_store = False
        """Whether the gateway received the full store listing, in addition to the changes since it
        connected."""
        self.listed_revision: int | None = None
        """Store revision up to which the listing was sent, None before the first page."""
        self.last_received_at = -math.inf
        self.is_disconnected = False
        """Whether the gateway was disconnected; its further messages are ignored."""
        self.knows_store = False
        """Whether the gateway calls the platform store continuously."""
        self.store_away = False
        """Whether the gateway last reported that it cannot reach the platform store."""
        self.store_revision = 0
        """Store revision up to which the gateway had the full state when it connected, from its
        first message."""
        self.strength = 0.0
        """Fitness of the gateway to be the planner, from its first message; 1 for a fully capable
        one."""
        self.tunnel = ""
        """``IP:port`` of the gateway's tunnel server, empty if it has none."""
        self.is_cut_off = False
        """Whether the gateway last reported that it lost its links to the replicas of a service."""
        self.wake = asyncio.Event()

    @property
    def process(self) -> str:
        """Name of the process, the same for all its connections."""
        return f"{self.instance}@{self.address}"

    def queue_answer(self, answer: pb.Answer) -> None:
        """Queue an answer to a placement request."""
        self.answers.append(answer)
        del self.answers[:-MAX_QUEUED_ANSWERS]
        self.wake.set()

    def queue_quota_answer(self, answer: pb.QuotaAnswer) -> None:
        """Queue an answer to a quota request."""
        self.quota_answers.append(answer)
        del self.quota_answers[:-MAX_QUEUED_ANSWERS]
        self.wake.set()

    def queue_capacity_answer(self, answer: pb.RoomAnswer) -> None:
        """Queue an answer to a request for replica capacity."""
        self.room_answers.append(answer)
        del self.room_answers[:-MAX_QUEUED_ANSWERS]
        self.wake.set()

    def queue_origin_answer(self, answer: pb.OriginAnswer) -> None:
        """Queue an answer to a question for the origin of a stream."""
        self.origin_answers.append(answer)
        del self.origin_answers[:-MAX_QUEUED_ANSWERS]
        self.wake.set()

    def queue_message(self, message: pb.FromPlanner) -> None:
        """Queue a message to be sent without merging."""
        self.outbox.append(message)
        del self.outbox[:-MAX_QUEUED_ORDERS]
        self.wake.set()

    def queue_update(self, update: pb.FromPlanner, store: pb.StoreNews | None = None) -> None:
        """Queue a state update, merged with those that the gateway has not read yet."""
        self.pending.add(update, store)
        self.wake.set()

    def take_messages(self) -> list[pb.FromPlanner]:
        """Return and clear the messages to send, answers first."""
        messages, self.outbox = self.outbox, []
        if self.answers or self.quota_answers or self.room_answers or self.origin_answers:
            first = pb.FromPlanner(
                answers=self.answers,
                quota_answers=self.quota_answers,
                room_answers=self.room_answers,
                origin_answers=self.origin_answers,
                active=True,
            )
            messages.insert(0, first)
            self.answers, self.quota_answers, self.room_answers = [], [], []
            self.origin_answers = []
        update = self.pending.take(self)
        if update is not None:
            messages.append(update)
        return messages
