"""Merging of layouts against a plain model, validation of changes, and templates."""

import copy
import json
import random

from configuration import merging, registry, templates
from placement import ledger
from simulation import deployments
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

ENGINE = {
    "name": "e0",
    "state": "join",
    "service": "guidance",
    "zone": "north",
    "url": "http://127.0.0.1:1",
    "roomMb": 10,
    "adapterPlaces": 1,
    "slots": 2,
}


def flat(value, path=()):
    """A layout as (path, JSON value) pairs, for the plain model of merging."""
    if isinstance(value, dict) and value:
        for key, inner in value.items():
            yield from flat(inner, path + (key,))
    else:
        yield path, json.dumps(value)


def model_merge(base, patch):
    paths = dict(flat(base)) if base else {}
    for path, leaf in flat(patch):
        for step in range(1, len(path) + 1):
            paths.pop(path[:step], None)
        if leaf == "null" or leaf != "{}":
            for old in [p for p in paths if p[: len(path)] == path]:
                del paths[old]
        if leaf != "null" and (leaf != "{}" or not any(p[: len(path)] == path for p in paths)):
            paths[path] = leaf
    return paths


def random_tree(rng, depth, nulls):
    if depth == 0 or rng.random() < 0.3:
        return rng.choice([1, 2, "x"] + ([None] if nulls else []))
    return {k: random_tree(rng, depth - 1, nulls) for k in rng.sample("abcd", rng.randrange(1, 4))}


class Merging(TestCase):
    def test_patch_against_plain_model(self):
        checked = 0
        for seed in range(600):
            rng = random.Random(seed)
            base = {k: random_tree(rng, 2, False) for k in "abc"}
            patch = {k: random_tree(rng, 2, True) for k in rng.sample("abcd", 2)}
            expected = model_merge(base, patch)
            before = copy.deepcopy(base)
            merged = dict(flat(merging.merge_patch(base, patch)))
            self.assertThat(base, Equals(before))
            leaves = {p: v for p, v in merged.items() if v != "{}"}
            self.assertThat(leaves, Equals({p: v for p, v in expected.items() if v != "{}"}))
            checked += len(leaves)
        self.assertTrue(checked > 1000)


class Decide(TestCase):
    def setUp(self):
        super().setUp()
        self.reg = registry.Registry(zonesKnown=("north", "middle", "south"))
        self.section = deployments.sections(deployments.SMALL)[1][1]
        self.section["services"]["guidance"]["shares"] = {"small": 1.0}
        self.count = 0

    def do(self, verb, body):
        self.count += 1
        record, answer, failure = registry.decide(
            self.reg, verb, {"change": f"t{self.count}", **body}
        )
        if record:
            registry.apply(self.reg, record)
        return failure or answer

    def layout(self, section, partner="small", **more):
        return self.do("layout", {"partner": partner, "actor": partner, "section": section, **more})

    def wrong_field(self, path, value, partner="small"):
        section = copy.deepcopy(self.section)
        at = section
        for key in path[:-1]:
            at = at[key]
        at[path[-1]] = value
        before = {**vars(self.reg), "changes": 0}
        found = self.layout(section, partner)
        self.assertThat({**vars(self.reg), "changes": 0}, Equals(before))
        self.assertIsInstance(found, failures.LayoutWrong)
        return found.fields[0].field

    def test_invalid_layouts_name_the_field(self):
        for path, value in (
            (("extra",), 1),
            (("models", "m00", "roomMb"), "20"),
            (("models", "m00", "roomMb"), 0),
            (("wishes", "w-m00", "model"), "none"),
            (("wishes", "w-m00", "service"), "none"),
            (("wishes", "w-m00", "copies"), -1),
            (("wishes", "w-m00", "zones"), ["moon"]),
            (("wishes", "w-m00-a0", "adapter"), "none"),
            (("services", "guidance", "kind"), "odd"),
            (("routes", "r-m00", "class"), "odd"),
            (("routes", "r-m00", "model"), "none"),
        ):
            self.assertThat(self.wrong_field(path, value), Equals(".".join(path)))
        self.assertThat(
            self.wrong_field(("services", "guidance", "shares"), {"small": 1.5}),
            Equals("services.guidance.shares.small"),
        )
        self.assertThat(
            self.wrong_field(("weightStore", "atOnce"), 1), Equals("weightStore.atOnce")
        )

    def test_partners_cannot_change_or_break_each_others_sections(self):
        self.assertThat(self.layout(self.section), Equals({"stamp": 1}))
        found = self.do("layout", {"partner": "small", "actor": "other", "section": {}})
        self.assertIsInstance(found, failures.WrongPartner)
        clash = {"models": {"m00": {"roomMb": 1}}}
        found = self.layout(clash, "other")
        self.assertThat(found.fields[0].cause, Equals("already small's"))
        theirs = {
            "models": {"n": {"roomMb": 1}},
            "wishes": {"w": {"service": "guidance", "model": "n", "copies": 1}},
        }
        self.assertThat(self.layout(theirs, "other"), Equals({"stamp": 2}))
        gone = copy.deepcopy(self.section)
        del gone["services"]["guidance"]
        gone.update(wishes={}, routes={})
        found = self.layout(gone)
        self.assertThat(found.fields[0].field, Equals("(other).wishes.w.service"))

    def test_compare_and_set_and_change_ids(self):
        self.layout(self.section)
        race = [
            self.layout({"routes": {f"r{i}": {"service": "guidance"}}}, partial=True, expect=1)
            for i in range(3)
        ]
        self.assertThat(race[0], Equals({"stamp": 2}))
        self.assertThat(race[1:], Equals([failures.StampStale(1, 2)] * 2))
        body = {"change": "once", "zone": "north", "evacuated": True}
        first = self.do("zone", body)
        again = self.do("zone", body)
        self.assertThat((first["stamp"], again), Equals((3, {"stamp": 3, "again": True})))

    def test_a_late_copy_of_a_change_gets_its_first_answer(self):
        """A copy of a change that was refused or had no effect arrives when the registry has
        changed: it has no effect, and gets the answer of the first."""
        self.do("engines", {"engines": [ENGINE]})
        same = {"change": "join", "engines": [ENGINE]}
        self.assertTrue(self.do("engines", same)["same"])
        refused = {"change": "far", "zone": "far", "evacuated": True}
        first = self.do("zone", refused)
        self.do("engines", {"engines": [{**ENGINE, "state": "gone"}]})
        self.do("engines", {"engines": [{**ENGINE, "name": "e1", "zone": "far"}]})
        before = (dict(self.reg.engines), dict(self.reg.zones), self.reg.stamp)
        self.assertThat(self.do("engines", same), Equals({"stamp": 1, "same": True, "again": True}))
        again = self.do("zone", refused)
        self.assertThat(
            again, Equals(failures.EarlierRefusal(first.status, failures.as_json(first)))
        )
        self.assertThat((self.reg.engines, self.reg.zones, self.reg.stamp), Equals(before))

    def test_engine_list(self):
        self.assertThat(self.do("engines", {"engines": [ENGINE]}), Equals({"stamp": 1}))
        self.assertThat(
            self.do("engines", {"engines": [ENGINE]}), Equals({"stamp": 1, "same": True})
        )
        for key, value in (
            ("state", "odd"),
            ("slots", 0),
            ("roomMb", -1),
            ("url", "ftp://x"),
            ("zone", ""),
            ("more", 1),
        ):
            found = self.do("engines", {"engines": [{**ENGINE, key: value}]})
            self.assertThat(found.field, Equals(f"engines.0.{key}"))
        self.do("engines", {"engines": [{**ENGINE, "state": "gone"}]})
        self.assertThat(self.reg.engines, Equals({}))

    def test_unreadable_records_change_nothing(self):
        self.layout(self.section)
        before, lines = registry.dump(self.reg), ledger.dump(ledger.Ledger())
        for record in (b"", b"xx", b"{}", b"[]", b"7", b'{"k":"of-a-later-version"}'):
            registry.apply(self.reg, record)
            other = ledger.Ledger()
            ledger.apply(other, record)
            self.assertThat((registry.dump(self.reg), ledger.dump(other)), Equals((before, lines)))

    def test_dump_and_load(self):
        self.layout(self.section)
        self.do("engines", {"engines": [ENGINE]})
        self.do("zone", {"zone": "south", "evacuated": True})
        self.assertThat(
            registry.load(registry.dump(self.reg), self.reg.zonesKnown), Equals(self.reg)
        )


class Templates(TestCase):
    TEXT = """{"services": {"g": {"kind": "models", "shares": {"p": 1}}},
      "models": { {% for m in names %}"{{ m }}": {"roomMb": {{ room }}}
                  {{- "," if not loop.last }}{% endfor %} },
      "wishes": { {% for m in names %}"w-{{ m }}": {"service": "g", "model": "{{ m }}",
                  "copies": {{ copies }}}{{ "," if not loop.last }}{% endfor %} }}"""

    def render(self, overlays=(), text=None, **more):
        return templates.render(
            text or self.TEXT, {"names": ["a", "b"], "room": 5, "copies": 2, **more}, overlays
        )

    def test_parameters_and_overlays(self):
        found = self.render()
        self.assertThat(sorted(found["wishes"]), Equals(["w-a", "w-b"]))
        found = self.render([{"wishes": {"w-a": None}}, {"models": {"a": {"roomMb": 9}}}])
        self.assertThat(
            (sorted(found["wishes"]), found["models"]["a"]["roomMb"]), Equals((["w-b"], 9))
        )
        checked, wrong = merging.check_section({}, "p", found, ())
        self.assertThat((checked, wrong), Equals((found, [])))

    def test_invalid_templates_name_the_field(self):
        for found, field in (
            (templates.render(self.TEXT, {"names": [], "room": 1}), None),
            (templates.render(self.TEXT, {"names": ["a"], "room": 1}), "(parameter)"),
            (self.render(room="big"), "(template)"),
            (self.render(room=-1), "models.a.roomMb"),
            (self.render([{"wishes": {"w-a": {"copies": "x"}}}]), "wishes.w-a.copies"),
            (self.render(text="{% for %}"), "(template)"),
            (self.render(text="{{ ''.__class__.__mro__ }}"), "(template)"),
            (self.render(text="{{ 1 // 0 }}"), "(template)"),
        ):
            if field is None:
                self.assertThat(found["wishes"], Equals({}))
            else:
                self.assertIsInstance(found, failures.LayoutWrong)
                self.assertThat(found.fields[0].field, Equals(field))
