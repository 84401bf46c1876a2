"""Gateways as real processes whose engines fall silent for about a second and go on."""

import asyncio

import silent_pairs
from silent_fleet import NOT_WHOLE, Outcome, SilentFleet

SILENCES_S = (1.0, 1.5, 1.3, 1.5)
CONFIGURED_BEFORE_S = 0.6
"""Time from a new version of the configuration to a silence."""
BETWEEN_S = 0.8
MIN_WHOLE = 200
PAIRS_SEED = 51
PAIRS_S = 8.0
MIN_WHOLE_BESIDE_PAIRS = 100


# Attempts were ended for silence without a retry for each of them, and their engines went on.
def test_answers_are_cut_when_all_engines_are_silent_after_a_new_configuration(tmp_path):
    async def scenario():
        async with asyncio.timeout(60), SilentFleet(tmp_path) as fleet:
            for silent_s in SILENCES_S:
                await fleet.configure()
                await asyncio.sleep(CONFIGURED_BEFORE_S)
                await fleet.silence_engines(silent_s)
                await asyncio.sleep(BETWEEN_S)
            await fleet.end_calls()
        assert fleet.faults() == []
        assert {one.value: fleet.outcomes[one] for one in NOT_WHOLE if fleet.outcomes[one]} == {}
        assert fleet.outcomes[Outcome.WHOLE] >= MIN_WHOLE

    asyncio.run(scenario())


# Replicas chosen for the streams of silent engines did not have the weights that news listed.
def test_answers_are_cut_when_pairs_of_engines_are_silent_and_news_of_weights_is_old(tmp_path):
    async def scenario():
        async with asyncio.timeout(60):
            fleet = await silent_pairs.play(tmp_path, PAIRS_SEED, PAIRS_S)
        assert fleet.faults() == []
        assert fleet.early == []
        assert fleet.outcomes[Outcome.WHOLE] >= MIN_WHOLE_BESIDE_PAIRS

    asyncio.run(scenario())
