from gradelug_policy.prefill import (
    DEFAULT_TOKENS_PER_S,
    LATE_URGENCY,
    EngineLoad,
    PrefillSpeeds,
    RequestWork,
    first_event_s,
)

SPEED = 38_000.0
LONG_PROMPT = RequestWork(9_200, 1)
SHORT_PROMPT = RequestWork(800)


class TestFirstEvent:
    def test_request_waits_for_prompts_of_equal_or_higher_urgency(self):
        busy = EngineLoad((0, 38_000, 50_000))
        assert first_event_s(busy, RequestWork(19_000, 1), SPEED) == 1.5
        assert first_event_s(busy, RequestWork(19_000, 0), SPEED) == 0.5
        assert first_event_s(busy, RequestWork(0, LATE_URGENCY), SPEED) == 88_000 / SPEED

    def test_running_streams_delay_the_first_event(self):
        assert first_event_s(EngineLoad(running=9), LONG_PROMPT, SPEED) > first_event_s(
            EngineLoad(), LONG_PROMPT, SPEED
        )


class TestReadingSpeeds:
    def test_prefill_speed_is_learned_from_prompts_without_a_queue(self):
        speeds = PrefillSpeeds()
        assert speeds.speed("llm") == DEFAULT_TOKENS_PER_S
        for number in range(100):
            is_cached = number % 5 == 0
            speeds.note(
                "llm",
                EngineLoad(),
                LONG_PROMPT,
                LONG_PROMPT.prompt_tokens / 38_000 / (9 if is_cached else 1),
            )
            speeds.note("llm", EngineLoad(), SHORT_PROMPT, 0.2)
        assert 36_000 < speeds.speed("llm") < 42_000
        assert speeds.speed("other") == DEFAULT_TOKENS_PER_S

    def test_queued_and_short_prompts_are_ignored(self):
        speeds = PrefillSpeeds()
        speeds.note("llm", EngineLoad((0, 9_000)), LONG_PROMPT, 10.0)
        for _ in range(100):
            speeds.note("llm", EngineLoad((0, 9_000)), LONG_PROMPT, 10.0)
            speeds.note("llm", EngineLoad(), SHORT_PROMPT, 10.0)
        assert speeds.speed("llm") == DEFAULT_TOKENS_PER_S
