"""Where the system's keys lie in the platform's key-value service."""

LIVE = "gradelug/live/"
"""Members, owners and the head of the configuration: what every scheduler mirrors."""
STORE = "gradelug/store/"
"""Buckets of the configuration: read when needed, never watched."""
ONCE = "gradelug/once/"
"""Records of requests that may run at most once."""
