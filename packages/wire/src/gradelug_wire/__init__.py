"""Messages and generated stubs between gradelug's processes."""

from .exceptions import PeerUnavailable as PeerUnavailable
from .peer import Peers as Peers
