"""Leases, membership, ownership, published documents and at-most-once records.

The building blocks access a key-value service through the `KeyValue` protocol only and do not
depend on model engines, so other programs can embed them.
"""

from __future__ import annotations

import importlib
import typing as t

if t.TYPE_CHECKING:
    from .backoff import Backoff as Backoff
    from .candidacy import Candidacy as Candidacy
    from .documents import BucketSource as BucketSource
    from .documents import Follower as Follower
    from .documents import Head as Head
    from .documents import KvBuckets as KvBuckets
    from .documents import Publisher as Publisher
    from .election import Election as Election
    from .election import ElectionRecord as ElectionRecord
    from .exceptions import CoordinationError as CoordinationError
    from .exceptions import InvalidRecord as InvalidRecord
    from .exceptions import KvThrottled as KvThrottled
    from .exceptions import KvUnavailable as KvUnavailable
    from .exceptions import RevisionConflict as RevisionConflict
    from .exceptions import WatchCompacted as WatchCompacted
    from .gossip import Fact as Fact
    from .gossip import Gossip as Gossip
    from .grants import GrantTracker as GrantTracker
    from .grants import HolderReport as HolderReport
    from .grants import Observation as Observation
    from .kv import ABSENT as ABSENT
    from .kv import KeyValue as KeyValue
    from .kv import KvEntry as KvEntry
    from .kv import KvEvent as KvEvent
    from .kv import KvListing as KvListing
    from .kv import KvSwap as KvSwap
    from .lasting import PersistentOwnership as PersistentOwnership
    from .lease import LeaseKeeper as LeaseKeeper
    from .membership import Member as Member
    from .membership import Membership as Membership
    from .mirror import Mirror as Mirror
    from .once import OnceShard as OnceShard
    from .once import OnceState as OnceState
    from .once import OnceVerdict as OnceVerdict
    from .ownership import Ownership as Ownership
    from .positions import EraTracker as EraTracker
    from .positions import era_of as era_of
    from .positions import position as position
    from .positions import revision_of as revision_of
    from .records import InvalidEntryLog as InvalidEntryLog
    from .records import Record as Record
    from .records import RecordReader as RecordReader
    from .records import decode_json as decode_json
    from .records import is_address as is_address
    from .records import is_text as is_text
else:
    _HOMES = {
        "Backoff": "backoff",
        "Candidacy": "candidacy",
        "BucketSource": "documents",
        "Follower": "documents",
        "Head": "documents",
        "KvBuckets": "documents",
        "Publisher": "documents",
        "Election": "election",
        "ElectionRecord": "election",
        "CoordinationError": "exceptions",
        "InvalidRecord": "exceptions",
        "KvThrottled": "exceptions",
        "KvUnavailable": "exceptions",
        "RevisionConflict": "exceptions",
        "WatchCompacted": "exceptions",
        "Fact": "gossip",
        "Gossip": "gossip",
        "HolderReport": "grants",
        "GrantTracker": "grants",
        "Observation": "grants",
        "ABSENT": "kv",
        "KeyValue": "kv",
        "KvEntry": "kv",
        "KvEvent": "kv",
        "KvListing": "kv",
        "KvSwap": "kv",
        "PersistentOwnership": "lasting",
        "LeaseKeeper": "lease",
        "Member": "membership",
        "Membership": "membership",
        "Mirror": "mirror",
        "OnceShard": "once",
        "OnceState": "once",
        "OnceVerdict": "once",
        "Ownership": "ownership",
        "EraTracker": "positions",
        "era_of": "positions",
        "position": "positions",
        "revision_of": "positions",
        "InvalidEntryLog": "records",
        "Record": "records",
        "RecordReader": "records",
        "decode_json": "records",
        "is_address": "records",
        "is_text": "records",
    }

    def __getattr__(name):
        """Import only the requested module, since each module adds to the start-up time."""
        if name not in _HOMES:
            raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f".{_HOMES[name]}", __name__), name)
