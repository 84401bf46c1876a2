from gradelug_backends import Instance, UpstreamUnavailable
from gradelug_backends.instances import read_groups
from hypothesis import given, settings
from hypothesis import strategies as st

SHAPES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["targets", "labels", "state"]), inner, max_size=3),
    max_leaves=10,
)


def read_or_error(groups):
    try:
        return read_groups(groups)
    except UpstreamUnavailable as exc:
        return exc


class TestReadGroups:
    def test_targets_with_their_state(self):
        groups = [
            {"targets": ["a:1", "b:1"], "labels": {"state": "leaving"}},
            {"targets": ["c:1"]},
        ]
        assert read_groups(groups) == {
            "a:1": Instance("a:1", True),
            "b:1": Instance("b:1", True),
            "c:1": Instance("c:1", False),
        }

    @settings(derandomize=True, deadline=None)
    @given(SHAPES)
    def test_any_other_shape_is_a_typed_error(self, groups):
        # A list of the wrong shape once ended the scheduler's process by a TypeError.
        outcome = read_or_error(groups)
        assert isinstance(outcome, (dict, UpstreamUnavailable))
