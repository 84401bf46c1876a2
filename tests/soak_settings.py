"""Configuration and organisations of soak runs."""

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REVOKE_S = 5.0
"""Maximum time after the revocation of a key in which its requests may still run."""
REVOKED_SHARE = 0.1
"""Share of the requests that carry a revoked key."""
PLAIN_TOKENS = 10
LIMITED = {"Name": "limited", "RatePerS": 40, "Burst": 40}
"""Four requests per second, less than half the rate at which its callers send."""
GRACE_S = 4
DEADLINE_MS = 3000
CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "s",
            "Hostname": "h",
            "PathPrefix": "/s/",
            "Kind": "streaming",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 1000,
            "MaxAttempts": 2,
            "Resumable": True,
            "Backend": "llm",
        },
        {
            "Name": "u",
            "Hostname": "h",
            "PathPrefix": "/u/",
            "Kind": "non_idempotent",
            "TimeoutMs": 2000,
            "TargetLatencyMs": 200,
            "MaxAttempts": 1,
            "Backend": "plain",
        },
        {
            "Name": "i",
            "Hostname": "h",
            "PathPrefix": "/i/",
            "Kind": "idempotent",
            "TimeoutMs": 2000,
            "TargetLatencyMs": 200,
            "MaxAttempts": 2,
            "Backend": "plain",
        },
    ],
    "Services": [
        {
            "Name": "llm",
            "MaxConns": 100,
            "Engine": {
                "Slots": 8,
                "WeightsMb": 1000,
                "AdapterSlots": 3,
                "LoadsPerS": 4,
                "Models": [{"Name": "m", "WeightsMb": 500, "LoadS": 0.6, "AdapterMb": 14}],
            },
        },
        {"Name": "plain", "MaxConns": 100},
    ],
}
_llm, _plain = CONFIG["Services"]
MOVING_SERVICES = [{**_llm, "Engine": {**_llm["Engine"], "Moves": True}}, _plain]
"""The same services with engines whose runs can be moved."""
