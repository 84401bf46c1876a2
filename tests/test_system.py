"""What must always hold, over the real code, under failures in any order."""

from hypothesis import HealthCheck, settings
from machine import SystemMachine

TestSystem = SystemMachine.TestCase
TestSystem.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
