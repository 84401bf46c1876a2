"""Types of the gateway's state, collected from the modules that define them for a single import."""

from .engine_orders import Order as Order
from .engine_orders import OrderOutcome as OrderOutcome
from .engine_orders import PlannerTerm as PlannerTerm
from .replicas import AdapterKey as AdapterKey
from .replicas import EngineReport as EngineReport
from .replicas import FleetState as FleetState
from .replicas import Holding as Holding
from .replicas import Replica as Replica
from .replicas import ReportedLoad as ReportedLoad
from .requests import Attempt as Attempt
from .requests import KvCopy as KvCopy
from .requests import KvCopyKind as KvCopyKind
from .requests import NotRunProof as NotRunProof
from .requests import Request as Request
from .requests import Verdict as Verdict
from .services import BaseModel as BaseModel
from .services import EngineSpec as EngineSpec
from .services import Repeat as Repeat
from .services import Route as Route
from .services import Service as Service
from .services import Share as Share
from .services import Snapshot as Snapshot
