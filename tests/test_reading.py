from gradelug_policy.reading import (
    DEFAULT_TOKENS_PER_S,
    LATE,
    Busyness,
    ReadingSpeeds,
    Work,
    first_event_s,
)

SPEED = 38_000.0
REVIEW = Work(9_200, 1)
QUESTION = Work(800)


class TestFirstEvent:
    def test_a_request_waits_for_the_prompts_that_go_before_it(self):
        busy = Busyness((0, 38_000, 50_000))
        assert first_event_s(busy, Work(19_000, 1), SPEED) == 1.5
        assert first_event_s(busy, Work(19_000, 0), SPEED) == 0.5
        assert first_event_s(busy, Work(0, LATE), SPEED) == 88_000 / SPEED

    def test_running_streams_slow_it_down(self):
        assert first_event_s(Busyness(running=9), REVIEW, SPEED) > first_event_s(
            Busyness(), REVIEW, SPEED
        )


class TestReadingSpeeds:
    def test_the_speed_of_a_service_is_learned_from_lone_prompts(self):
        speeds = ReadingSpeeds()
        assert speeds.speed("llm") == DEFAULT_TOKENS_PER_S
        for number in range(100):
            kept = number % 5 == 0
            speeds.note(
                "llm", Busyness(), REVIEW, REVIEW.prompt_tokens / 38_000 / (9 if kept else 1)
            )
            speeds.note("llm", Busyness(), QUESTION, 0.2)
        assert 36_000 < speeds.speed("llm") < 42_000
        assert speeds.speed("other") == DEFAULT_TOKENS_PER_S

    def test_what_waited_for_others_or_was_short_teaches_nothing(self):
        speeds = ReadingSpeeds()
        speeds.note("llm", Busyness((0, 9_000)), REVIEW, 10.0)
        for _ in range(100):
            speeds.note("llm", Busyness((0, 9_000)), REVIEW, 10.0)
            speeds.note("llm", Busyness(), QUESTION, 10.0)
        assert speeds.speed("llm") == DEFAULT_TOKENS_PER_S
