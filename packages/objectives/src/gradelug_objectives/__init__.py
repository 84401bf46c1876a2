"""Windows over service-level objectives, kept in memory and joined."""

from .windows import INDICATORS as INDICATORS
from .windows import Joined as Joined
from .windows import Limits as Limits
from .windows import Served as Served
from .windows import Window as Window
