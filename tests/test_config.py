from dataclasses import replace

import pytest
from gradelug_config import Catalog, Document, Forbidden, InvalidConfig, UnknownModel, load
from gradelug_config.buckets import join, split
from gradelug_config.difference import diff
from gradelug_config.model import Access, Adapter, Caller, Engine, Pool, Route, Version, Weight
from gradelug_config.validation import check

TOKEN = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"  # of "secret"


def make_document(**changes):
    document = Document(
        legacy_address="http://127.0.0.1:9",
        callers=[Caller("office", TOKEN, {"org": "land"})],
        adapters=[
            Adapter(
                "val",
                "base",
                [Version(1, {"channel": "stable"}), Version(2, {"channel": "canary"})],
                {"app": "valuation"},
            ),
            Adapter("winter", "base", [Version(1)], {"app": "valuation", "season": "winter"}),
            Adapter("secret", "base", [Version(1)], {"app": "other"}),
        ],
        pools=[Pool("main", "base", engines=[Engine("e1", "http://127.0.0.1:1")])],
        access=[Access("land", "org=land", "app=valuation")],
        weights=[Weight("land", 4.0, "org=land")],
        routes=[
            Route("stay", adapters="season=winter", legacy=True),
            Route("stable", versions="channel=stable"),
        ],
    )
    return replace(document, **changes)


class TestPlan:
    def setup_method(self):
        self.catalog = Catalog(1, make_document())
        self.caller = self.catalog.authenticate("secret")

    def test_rules_choose_the_version_where_none_is_named(self):
        plan = self.catalog.plan(self.caller, "val")
        assert (str(plan.adapter), plan.route, plan.weight) == ("val@1", "stable", 4.0)

    def test_a_named_version_is_the_one_that_runs(self):
        assert str(self.catalog.plan(self.caller, "val@2").adapter) == "val@2"

    def test_a_route_can_keep_a_label_selection_with_the_old_scripts(self):
        assert self.catalog.plan(self.caller, "winter").legacy

    def test_access_is_refused_unless_a_rule_allows_it(self):
        with pytest.raises(Forbidden):
            self.catalog.plan(self.caller, "secret")

    @pytest.mark.parametrize("model", ["nothing", "val@9", "val@x", "val@²"])
    def test_unknown_models_are_told(self, model):
        with pytest.raises(UnknownModel):
            self.catalog.plan(self.caller, model)

    def test_a_wrong_token_is_nobody(self):
        assert self.catalog.authenticate("wrong") is None


class TestFindings:
    def test_every_finding_is_reported_with_its_place(self, tmp_path):
        (tmp_path / "a.toml").write_text(
            "[[callers]]\nnam = 'x'\ntoken_sha256 = 3\n[[pools]]\nname = 'p'\nbase = 1\n"
        )
        with pytest.raises(InvalidConfig) as excinfo:
            load([tmp_path])
        text = str(excinfo.value)
        assert "unknown key 'nam'; did you mean 'name'?" in text
        assert "callers[0].token_sha256: expected str, found int 3" in text
        assert "pools[0].base: expected str" in text

    def test_references_selectors_and_addresses_are_checked_together(self):
        document = make_document(
            pools=[Pool("main", "bas", engines=[Engine("engine-1", "http://host:1")])],
            access=[Access("land", "org=", "")],
            draining=["engine-2"],
        )
        text = "\n".join(map(str, check(document)))
        assert "no pool serves the base 'base'; did you mean 'bas'?" in text
        assert "access.land.callers" in text
        assert "must name an IP address" in text
        assert "no upstream is called 'engine-2'; did you mean 'engine-1'?" in text


class TestBuckets:
    def test_a_document_survives_splitting_and_joining(self):
        document = make_document()
        contents = [bucket.content for bucket in split(document)]
        joined = join(contents)
        assert diff(document, joined) == []

    def test_a_change_of_one_adapter_rewrites_one_bucket(self):
        document = make_document()
        before = {bucket.digest for bucket in split(document)}
        adapters = [replace(document.adapters[0], labels={"app": "x"}), *document.adapters[1:]]
        after = {bucket.digest for bucket in split(replace(document, adapters=adapters))}
        assert len(after - before) == 1

    def test_a_moved_route_is_a_change(self):
        document = make_document()
        moved = replace(document, routes=document.routes[::-1])
        assert {change.name for change in diff(document, moved)} == {"stay", "stable"}
