"""Clients of the platform's services and the engines' control interface."""

from .connector import new_connector as new_connector
from .engines import EngineControl as EngineControl
from .engines import EngineReport as EngineReport
from .engines import HttpEngineControl as HttpEngineControl
from .etcd import EtcdKeyValue as EtcdKeyValue
from .exceptions import FencedOff as FencedOff
from .exceptions import OrderRefused as OrderRefused
from .exceptions import UpstreamError as UpstreamError
from .exceptions import UpstreamUnavailable as UpstreamUnavailable
from .instances import HttpInstanceList as HttpInstanceList
from .instances import Instance as Instance
from .instances import InstanceList as InstanceList
