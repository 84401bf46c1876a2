import pytest
from gradelug_config import Selector, SelectorError


class TestMatching:
    @pytest.mark.parametrize(
        ("text", "matches"),
        [
            ("", True),
            ("app=valuation", True),
            ("app==valuation", True),
            ("app!=valuation", False),
            ("season!=winter", True),
            ("app in (appeal, valuation)", True),
            ("app notin (appeal,valuation)", False),
            ("hall", True),
            ("!hall", False),
            ("!season", True),
            ("app=valuation,hall=khan-uul", False),
            ("app in (a,valuation),hall", True),
        ],
    )
    def test_matches_labels(self, text, matches):
        labels = {"app": "valuation", "hall": "bayanzurkh"}
        assert Selector.parse(text).matches(labels) is matches

    @pytest.mark.parametrize(
        "text", ["a=", "=b", "a in b", "a in (b", "a b", "a in ()", ",", "a,,b"]
    )
    def test_malformed_text_is_refused_with_the_term(self, text):
        with pytest.raises(SelectorError, match="must be names|not a selector term"):
            Selector.parse(text)

    def test_text_survives_a_round_trip(self):
        text = "a=b,c!=d,e in (f,g),h notin (i,j),k,!l"
        assert str(Selector.parse(text)) == text
