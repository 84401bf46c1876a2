import random
from collections import Counter

import pytest
from gradelug_gateway.model import Repeat, Route, Share
from gradelug_gateway.routing import RouteTable, choose_service

ONE_SERVICE = (Share("s", 1.0),)


def route(prefix, host="h", shares=ONE_SERVICE):
    return Route(prefix, host, prefix, shares, False, Repeat.FREELY, 1.0, 1.0, 1.0, 1, 0)


class TestRouteTable:
    def test_longest_matching_prefix_wins(self):
        table = RouteTable([route("/"), route("/a/b/"), route("/a/")])
        found = [table.find("h", path) for path in ("/a/b/c", "/a/bc", "/x", "/a")]
        assert [item.prefix for item in found] == ["/a/b/", "/a/", "/", "/"]

    def test_routes_are_separate_for_each_host(self):
        table = RouteTable([route("/a/", "one")])
        assert table.find("two", "/a/") is None

    def test_services_are_drawn_by_share_weights(self):
        split = route("/", shares=(Share("most", 9.0), Share("some", 1.0), Share("none", 0.0)))
        rng = random.Random(1)
        drawn = Counter(choose_service(split, rng) for _ in range(2000))
        assert drawn["none"] == 0
        assert 100 < drawn["some"] < 300

    @pytest.mark.parametrize("names", ["", "a", "ab"])
    def test_a_split_without_weights_ends_requests_without_an_answer(self, names):
        split = route("/", shares=tuple(Share(name, 0.0) for name in names))
        rng = random.Random(1)
        drawn = {choose_service(split, rng) for _ in range(100)}
        assert drawn == (set(names) or {""})
