"""HTTP/1.1 on the asyncio loop, parsed and framed by h11, with every byte accounted for."""

from .client import Connection as Connection
from .client import OutgoingRequest as OutgoingRequest
from .client import ResponseHead as ResponseHead
from .client import Wire as Wire
from .early import Door as Door
from .early import EarlyServer as EarlyServer
from .exceptions import ConnectFailed as ConnectFailed
from .exceptions import ConnectRefused as ConnectRefused
from .exceptions import HttpError as HttpError
from .exceptions import ResponseBroken as ResponseBroken
from .headers import Header as Header
from .headers import Headers as Headers
from .headers import end_to_end as end_to_end
from .headers import find as find
from .pool import Dial as Dial
from .pool import HttpPool as HttpPool
from .server import ClientGone as ClientGone
from .server import HttpServer as HttpServer
from .server import Incoming as Incoming
from .server import ServerLimits as ServerLimits
