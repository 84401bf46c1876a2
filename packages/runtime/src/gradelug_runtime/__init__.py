"""Settings, logs, metrics and the event loop shared by the daemons."""

from .garbage import settle_garbage as settle_garbage
from .metrics import Metrics as Metrics
from .process import Tasks as Tasks
from .process import load_or_exit as load_or_exit
from .process import run_daemon as run_daemon
from .process import wait_for_end as wait_for_end
from .process import wait_for_stop as wait_for_stop
from .settings import Checks as Checks
from .settings import LogSettings as LogSettings
from .settings import PlatformSettings as PlatformSettings
from .settings import ProcessSettings as ProcessSettings
from .settings import StatsdSettings as StatsdSettings
from .settings import load_settings as load_settings
