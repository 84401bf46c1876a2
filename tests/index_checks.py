"""Compares the index of a planner with what its engines hold."""

from gradelug_gateway.model import AdapterKey, Holding

ADAPTERS = ("a0", "a1", "a2", "a3")
MAX_VERSION = 7
HOLDINGS = [
    Holding(AdapterKey("m", adapter), version)
    for adapter in ADAPTERS
    for version in range(1, MAX_VERSION + 1)
]


def assert_index_matches(planner):
    """Check that the index lists exactly what the planner's engines hold, by identity."""
    index = planner.index
    held = {
        (key, name): engine
        for name, engine in planner.engines.items()
        for key in engine.weight_slots
    }
    listed = {
        (key, name): engine
        for key in index.keys
        for name, engine in index.engines_holding(key).items()
    }
    assert listed.keys() == held.keys()
    assert all(listed[at] is held[at] for at in held)
    for holding in HOLDINGS:
        caching = index.engines_caching(holding)
        cached = {
            name: engine for name, engine in planner.engines.items() if holding in engine.cached
        }
        assert caching.keys() == cached.keys()
        assert all(caching[name] is cached[name] for name in cached)
