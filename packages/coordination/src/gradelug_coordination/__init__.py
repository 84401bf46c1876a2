"""Leases, membership, ownership, published documents and at-most-once records.

Parts that others can embed: they talk to a key-value service through the `KeyValue` protocol
and know nothing of model engines.
"""

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
from .exceptions import KvThrottled as KvThrottled
from .exceptions import KvUnavailable as KvUnavailable
from .exceptions import Raced as Raced
from .exceptions import WatchCompacted as WatchCompacted
from .gossip import Fact as Fact
from .gossip import Gossip as Gossip
from .grants import Account as Account
from .grants import GrantBook as GrantBook
from .grants import Observation as Observation
from .kv import ABSENT as ABSENT
from .kv import KeyValue as KeyValue
from .kv import KvEntry as KvEntry
from .kv import KvEvent as KvEvent
from .kv import KvListing as KvListing
from .kv import KvSwap as KvSwap
from .lasting import LastingOwnership as LastingOwnership
from .lease import LeaseKeeper as LeaseKeeper
from .membership import Member as Member
from .membership import Membership as Membership
from .mirror import Mirror as Mirror
from .once import OnceShard as OnceShard
from .once import OnceState as OnceState
from .once import OnceVerdict as OnceVerdict
from .ownership import Ownership as Ownership
