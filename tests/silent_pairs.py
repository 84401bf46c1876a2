"""Series of silences of two engines beside configurations and outdated news of weights.

By hand: ``python tests/silent_pairs.py SEED SECONDS`` prints the answers that were not whole.
"""

import asyncio
import random
import sys
import tempfile
from pathlib import Path

from silent_fleet import ENGINES, NOT_WHOLE, Outcome, SilentFleet

CONFIGURE_S = 1.0
PAIR_S = 0.5
"""Time from the silence of one pair to that of the next."""
SILENT_S = (0.9, 1.6)
LOST_S = (0.2, 0.6)
"""Time for which an engine lacks weights without saying so."""
LOSE_S = 0.15
"""Time from one such engine to the next."""


class SilentPairs:
    """Disturbs a fleet.

    Parameters
    ----------
    fleet : SilentFleet
        What is disturbed.
    seed : int
        Of all that is drawn.
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._seed = seed
        self._tasks = set()

    async def play(self, lasts_s):
        """Disturb the fleet for a time, and let it be."""
        series = [
            asyncio.create_task(one) for one in (self._configure(), self._silence(), self._lose())
        ]
        await asyncio.sleep(lasts_s)
        for task in series:
            task.cancel()
        await asyncio.gather(*series, return_exceptions=True)
        await asyncio.gather(*self._tasks)

    async def _configure(self):
        while True:
            await self._fleet.configure()
            await asyncio.sleep(CONFIGURE_S)

    async def _silence(self):
        rng = random.Random(f"silence {self._seed}")
        while True:
            pair = rng.sample(range(ENGINES), 2)
            lasts_s = rng.uniform(*SILENT_S)
            numbers = [number for number in pair if not self._fleet.is_silent(number)]
            if numbers:
                self._start(self._fleet.silence_engines(lasts_s, numbers))
            await asyncio.sleep(PAIR_S)

    async def _lose(self):
        rng = random.Random(f"lose {self._seed}")
        while True:
            self._start(self._fleet.lose_weights(rng.randrange(ENGINES), rng.uniform(*LOST_S)))
            await asyncio.sleep(LOSE_S)

    def _start(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def play(folder, seed, lasts_s):
    """Play a seed; return the fleet, whose outcomes are complete.

    Parameters
    ----------
    folder : Path
        For settings and logs of the gateways.
    seed : int
        Of all that is drawn.
    lasts_s : float
        Time for which engines are disturbed, in seconds.
    """
    async with SilentFleet(folder) as fleet:
        await SilentPairs(fleet, seed).play(lasts_s)
        await fleet.end_calls()
    return fleet


def main():
    """Play a seed for a time and print what was found."""
    seed, lasts_s = int(sys.argv[1]), float(sys.argv[2])
    folder = Path(tempfile.mkdtemp(prefix="silent-pairs-"))
    fleet = asyncio.run(play(folder, seed, lasts_s))
    counts = {one.value: fleet.outcomes[one] for one in Outcome}
    print(f"seed {seed}, {lasts_s} s: {counts}, logs in {folder}")
    print(f"not whole: {sum(fleet.outcomes[one] for one in NOT_WHOLE)}, early: {len(fleet.early)}")
    print(*fleet.early, *fleet.faults(), sep="\n")


if __name__ == "__main__":
    main()
