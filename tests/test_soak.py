"""A short run of the soak; long ones with other seeds are run by hand (docs/HUNTS.md)."""

from fleet_soak import soak

SECONDS = 5.0
SEED = 2


def test_promises_hold_while_processes_are_killed_frozen_and_cut():
    found = soak(SEED, SECONDS)
    assert found.broken == []
    assert found.served > 20
