"""Runs the system's state machine for long, outside CI.

``python tools/soak.py EXAMPLES STEPS SEED [MUTATION]``
"""

from __future__ import annotations

import gc
import logging
import sys
import time
import warnings
from pathlib import Path

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

import machine  # noqa: E402
from mutations import MUTATIONS  # noqa: E402


def main() -> None:
    """Run and print how many steps were taken."""
    examples, steps, number = (int(word) for word in sys.argv[1:4])
    # Processes that are killed leave coroutines behind that never ran.
    warnings.filterwarnings("ignore", category=RuntimeWarning)
    # Orders that outlive their sender end by errors that nobody waits for.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    if len(sys.argv) > 4:
        MUTATIONS[sys.argv[4]](setattr)
    started = time.perf_counter()
    chosen = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        # A failure is wanted soon, not small.
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(seed(number)(machine.SystemMachine), settings=chosen)
    finally:
        gc.collect()
        print(f"{machine.steps} steps in {time.perf_counter() - started:.0f} s")


if __name__ == "__main__":
    main()
