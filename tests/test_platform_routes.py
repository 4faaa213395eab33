"""The route that a request takes, against a plain model, and the service that a split selects."""

import random

from configuration import document_facts
from configuration.registry import Registry
from routing import routes
from testtools import TestCase
from testtools.matchers import Equals, LessThan


def registry_of(made):
    """A registry whose layout has these routes."""
    found = {
        n: {"kind": "safe", "holdMs": 1.0, "split": [{"service": "s", "weight": 1.0}], **r}
        for n, r in made.items()
    }
    return Registry(sections={"floor": document_facts.section(found, {"s": {"kind": "plain"}})})


def plain(made, host, path):
    """The plain model: tries every route and takes the longest prefix."""
    path = path.split("?")[0]
    fitting = [
        (len(r["prefix"]), n)
        for n, r in made.items()
        if r["host"].lower() == host.split(":")[0].lower() and path.startswith(r["prefix"])
    ]
    return max(fitting)[1] if fitting else None


def path_of(rng, most):
    parts = [rng.choice(["a", "b", "aa", "a%2Fb", ""]) for _ in range(rng.randrange(most + 1))]
    return "/" + "".join(part + "/" for part in parts)


class LongestPrefix(TestCase):
    def test_against_a_plain_model(self):
        for seed in range(60):
            rng, made = random.Random(seed), {}
            for number in range(rng.randrange(1, 25)):
                place = rng.choice(["x.example", "Y.example", "z"]), path_of(rng, 4)
                if place not in [(r["host"], r["prefix"]) for r in made.values()]:
                    made[f"r{number}"] = {"host": place[0], "prefix": place[1]}
            registry = registry_of(made)
            for _ in range(100):
                host = rng.choice(["x.example", "X.EXAMPLE:80", "y.example", "z:8080", "none", ""])
                path = path_of(rng, 5) + rng.choice(["", "a", "aa", "?q=/a/b/", "a?/", "%2F"])
                found = routes.match(registry, host, path)
                self.assertThat(
                    found and found[0], Equals(plain(made, host, path)), f"{seed} {host} {path}"
                )

    def test_near_matches(self):
        registry = registry_of({"r": {"host": "x", "prefix": "/a/b/"}})
        for path, fits in (
            ("/a/b/", True),
            ("/a/b/c", True),
            ("/a/b", False),
            ("/a/bc", False),
            ("/a/?/a/b/", False),
            ("a/b/", False),
            ("", False),
            ("*", False),
        ):
            self.assertThat(routes.match(registry, "x", path) is not None, Equals(fits), path)


class Split(TestCase):
    def test_by_weight(self):
        route = {
            "split": [
                {"service": "one", "weight": 90.0},
                {"service": "two", "weight": 9.0},
                {"service": "none", "weight": 0.0},
                {"service": "last", "weight": 1.0},
            ]
        }
        rng, count = random.Random(3), {"one": 0, "two": 0, "none": 0, "last": 0}
        for _ in range(20000):
            count[routes.service_for(route, f"{rng.getrandbits(64):016x}")] += 1
        for name, part in (("one", 0.9), ("two", 0.09), ("last", 0.01)):
            self.assertThat(abs(count[name] / 20000 - part), LessThan(0.01), name)
        self.assertThat(count["none"], Equals(0))

    def test_the_same_id_the_same_service(self):
        route = {"split": [{"service": str(n), "weight": float(n)} for n in range(6)]}
        rng = random.Random(4)
        for id_ in ["", "\xff"] + [f"{rng.getrandbits(64):x}" for _ in range(200)]:
            self.assertThat(len({routes.service_for(route, id_) for _ in range(5)}), Equals(1))

    def test_services_without_weight_get_nothing(self):
        for split in (
            [("a", 0.0), ("b", 1e-9)],
            [("a", 1.0), ("b", 0.0)],
            [("a", 0.0), ("b", 5.0), ("c", 0.0)],
        ):
            route = {"split": [{"service": s, "weight": w} for s, w in split]}
            good = {s for s, w in split if w > 0}
            found = {routes.service_for(route, f"i{n}") for n in range(500)}
            self.assertThat(found, Equals(good))
