from gradelug_policy.reading import (
    FIRST_TOKENS_PER_S,
    Busyness,
    ReadingSpeeds,
    Work,
    cost_s,
    first_event_s,
)

SPEED = 38_000.0
REVIEW = Work(9_200, 50)
QUESTION = Work(800, 290)


class TestCost:
    def test_a_request_waits_for_the_prompts_before_it(self):
        assert first_event_s(Busyness((0, 38_000, 50_000)), Work(19_000, urgency=1), SPEED) == 1.5

    def test_long_prompts_go_where_few_streams_run(self):
        assert cost_s(Busyness(running=3), REVIEW, SPEED) < cost_s(
            Busyness(running=15), REVIEW, SPEED
        )

    def test_long_answers_go_where_little_is_read(self):
        reading, idle = Busyness(tokens_per_s=0.8 * SPEED), Busyness(tokens_per_s=0.1 * SPEED)
        assert cost_s(idle, QUESTION, SPEED) + 0.3 < cost_s(reading, QUESTION, SPEED)
        review_gap = cost_s(reading, REVIEW, SPEED) - cost_s(idle, REVIEW, SPEED)
        assert review_gap < 0.2

    def test_an_engine_is_never_taken_to_stand_still(self):
        assert cost_s(Busyness(tokens_per_s=9 * SPEED), QUESTION, SPEED) < 10.0


class TestReadingSpeeds:
    def test_the_speed_of_a_service_is_learned_from_lone_prompts(self):
        speeds = ReadingSpeeds()
        assert speeds.speed("llm") == FIRST_TOKENS_PER_S
        for number in range(100):
            kept = number % 5 == 0
            speeds.note(
                "llm", Busyness(), REVIEW, REVIEW.prompt_tokens / 38_000 / (9 if kept else 1)
            )
            speeds.note("llm", Busyness(), QUESTION, 0.2)
        assert 36_000 < speeds.speed("llm") < 42_000
        assert speeds.speed("other") == FIRST_TOKENS_PER_S

    def test_what_waited_for_others_or_was_short_teaches_nothing(self):
        speeds = ReadingSpeeds()
        speeds.note("llm", Busyness((0, 9_000)), REVIEW, 10.0)
        for _ in range(100):
            speeds.note("llm", Busyness((0, 9_000)), REVIEW, 10.0)
            speeds.note("llm", Busyness(), QUESTION, 10.0)
        assert speeds.speed("llm") == FIRST_TOKENS_PER_S
