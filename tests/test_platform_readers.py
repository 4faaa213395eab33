"""The adapter's readers cope with any input: invalid input is a typed failure, or is ignored."""

import copy
import json
import random

from adapter import callers, configuration, engines
from configuration import registry as registries
from placement import engine_list_polling, engine_reports
from placement import state as dispatching
from replication.shard_log import ShardLog
from routing.response_head import ResponseHead
from testtools import TestCase
from testtools.matchers import Contains, Equals
from transport import failures
from transport.effects import EngineCall
from transport.events import CallEnded
from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request

VALUES = [
    None,
    True,
    False,
    0,
    -1,
    1.5,
    10**400,
    -(10**400),
    float("inf"),
    float("nan"),
    "",
    "x",
    "7",
    "\ud800",
    "\xb2",
    [],
    {},
    [[]],
    [None],
    {"name": "x"},
    "9" * 5000,
]
PARCEL = {"name": "m1", "edition": 1, "inserts": ["a1"]}
ENTRY = {
    "id": "i-1",
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "edition": "v1",
    "slots": 4,
    "state": "open",
    "warmupLeftMs": 20,
    "leg": "both",
    "parcels": [PARCEL],
}
REPORT = {
    "leg": "both",
    "parcels": [PARCEL],
    "busy": False,
    "callSeq": 2,
    "queued": 1,
    "inTransit": 2,
    "cacheUsed": 3,
    "cacheCapacity": 4,
    "handles": 0,
}


def corrupted(rng, value):
    """A copy in which one or two values are replaced."""
    result = copy.deepcopy(value)
    for _ in range(rng.randrange(1, 3)):
        at = result
        while True:
            key = rng.choice(list(at) if isinstance(at, dict) else range(len(at)))
            if not isinstance(at[key], (dict, list)) or not at[key] or rng.random() < 0.3:
                break
            at = at[key]
        at[key] = copy.deepcopy(rng.choice(VALUES))
    return result


def torn(rng, data):
    """The bytes, truncated, with a part doubled or with one byte overwritten."""
    data, at = bytearray(data), rng.randrange(len(data))
    how = rng.randrange(3)
    if how == 0:
        del data[at:]
    elif how == 1:
        data[at] = rng.randrange(256)
    else:
        data[at:at] = data[at : at + rng.randrange(20)]
    return bytes(data)


class Engines(TestCase):
    def test_lists(self):
        """The engine list and the registry accept whatever is read from a page of the list."""
        rng, terms = random.Random(1), dispatching.PlacerSettings(100.0, 100.0, 100.0)
        for _ in range(2000):
            page = corrupted(rng, {"engines": [ENTRY, {**ENTRY, "id": "i-2"}], "nextToken": "p-2"})
            data = json.dumps(page).encode()
            data = torn(rng, data) if rng.random() < 0.3 else data
            found = engines.read_call("list", {"token": ""}, 200, data)
            self.assertIsInstance(found, dict)
            engine_roster, registry = engine_list_polling.EngineListPoll(), registries.Registry()
            engine_list_polling.tick(engine_roster, 1000.0, terms, "http://p", "0|1")
            effects, changed = engine_list_polling.on_called(
                engine_roster,
                1001.0,
                "list:1",
                CallEnded("", 200, found),
                registry,
                terms,
                "http://p",
                "0|1",
            )
            for call in (effect for effect in effects if isinstance(effect, EngineCall)):
                engines.call_ask("http://p", "list", {**call.body, "engine": ""})
            changed = changed or list(engine_roster.found.values())
            if changed:
                record, _, failure = registries.decide(registry, "engines", {"engines": changed})
                self.assertThat(failure, Equals(None), str(page)[:300])
                registries.apply(registry, record)
                [name.encode() for name in registry.engines]

    def test_reports(self):
        """The placer accepts whatever is read from a report."""
        rng = random.Random(2)
        for _ in range(2000):
            data = json.dumps(corrupted(rng, REPORT)).encode()
            data = torn(rng, data) if rng.random() < 0.3 else data
            found = engines.read_call("report", {"engine": "e0"}, 200, data)
            self.assertIsInstance(found, dict)
            registry = registries.Registry(
                engines={"e0": {"name": "e0", "service": "s", "roomMb": 0, "adapterPlaces": 0}}
            )
            placer = dispatching.Placer(1, 1, ShardLog(1, 1, ready=True))
            for asked_ms in (1.0, 2.0):
                engine_reports.on_report(placer, 3.0, "e0", found, asked_ms, registry)

    def test_nothing_is_read_from_failed_calls(self):
        for verb in ("load", "unload", "report", "list"):
            for code in (0, 202, 400, 409, 421, 429, 500, 503):
                self.assertThat(
                    engines.read_call(verb, {"engine": "e"}, code, json.dumps(REPORT).encode()),
                    Equals({}),
                )
        for data in (b"", b"null", b"7", b"[" * 9999, b"\xff", b"{}"):
            self.assertThat(engines.read_call("list", {}, 200, data), Equals({}))


class Heads(TestCase):
    WORDS = [
        "",
        "0",
        "7",
        "-1",
        "1.5",
        "\xb2",
        "\xb2,\xb3",
        "9" * 5000,
        ",",
        "a:1,b:2",
        ":",
        "/",
        "m/a1",
        "m/",
        "/a",
        "x" * 400,
        "1,2,3",
        "\xff",
    ]

    def test_requests_of_callers(self):
        rng = random.Random(3)
        names = [
            "X-Try-Id",
            "X-Parcel",
            "X-Deadline-Ms",
            "X-Tokens",
            "X-Prompt-Prefix",
            "Last-Event-Id",
            "Host",
            "X-Mail-Class",
            "Connection",
            "Other",
        ]
        for _ in range(2000):
            head = {n: rng.choice(self.WORDS) for n in names if rng.random() < 0.6}
            request = Request(
                EnvironBuilder("/a/b", method="POST", data=b"x", headers=head).get_environ()
            )
            facts = callers.read_caller(request, "/a/b?c")
            if isinstance(facts, failures.Failure):
                continue
            self.assertThat(0 < facts["deadlineMs"] < 10**12, Equals(True))
            self.assertThat(all(0 <= n < 10**12 for n in facts["tokens"]), Equals(True))

    def test_a_body_that_ends_early_is_a_failure(self):
        for length in ("10", "x", "-1"):
            environ = EnvironBuilder("/a", method="POST", data=b"abc").get_environ()
            environ["CONTENT_LENGTH"] = length
            facts = callers.read_caller(Request(environ), "/a")
            expected = failures.BodyMalformed if length == "10" else (dict, failures.Failure)
            self.assertIsInstance(facts, expected)
            environ = EnvironBuilder(
                "/config", method="PUT", data=b"{}", headers={"If-Match": "0"}
            ).get_environ()
            environ["CONTENT_LENGTH"] = length
            facts = configuration.read_operator(Request(environ))
            if length == "10":
                self.assertIsInstance(facts, failures.Failure)

    def test_fields_of_the_connection_are_dropped(self):
        request = Request(
            EnvironBuilder(
                "/a",
                headers={
                    "Connection": "close, X-Hop",
                    "X-Hop": "1",
                    "Keep-Alive": "5",
                    "X-Deadline-Ms": "70",
                    "X-Mail-Class": "1",
                    "X-Expect-Engine": "e",
                    "X-Own": "2",
                    "X-Try-Id": "t",
                },
            ).get_environ()
        )
        names = {
            line.partition(":")[0].lower() for line in callers.read_caller(request, "/a")["headers"]
        }
        self.assertThat(names, Contains("x-own"))
        self.assertThat(names, Contains("x-try-id"))
        self.assertThat(
            names
            & {
                "connection",
                "x-hop",
                "keep-alive",
                "x-deadline-ms",
                "x-mail-class",
                "x-expect-engine",
            },
            Equals(set()),
        )

    def test_event_ids(self):
        for event, number in (
            (b"id: 7\ndata: x\n\n", 7),
            (b"data: x\nid:12\n\n", 12),
            (b"data: x\n\n", None),
            (b"id: x\n\n", None),
            (b"", None),
            (b"id: \xb2\n\n", None),
            (b"id: " + b"9" * 5000 + b"\n\n", None),
            (b"id: -1\n\n", None),
            (b"data: id: 4\n\n", None),
        ):
            self.assertThat(callers.event_id(event), Equals(number), event[:20])

    def test_classification_of_responses(self):
        facts = {"id": "t1"}
        for code, head, expected in (
            (200, {"x-try-id": "t1", "x-postmark": "p"}, "ours"),
            (200, {"x-try-id": "t2", "x-postmark": "p"}, "foreign"),
            (200, {"x-try-id": "t1"}, "foreign"),
            (200, {}, "foreign"),
            (500, {"x-try-id": "t1"}, "ours"),
            (500, {"x-try-id": "t2"}, "foreign"),
            (503, {"x-try-id": "t1", "x-not-run": "full"}, "not-run"),
            (503, {"x-try-id": "t2", "x-not-run": "full"}, "foreign"),
            (421, {"x-try-id": "t1"}, "not-run"),
            (421, {"x-try-id": "t2"}, "foreign"),
        ):
            self.assertThat(
                callers.classify_response(facts, ResponseHead(code, "", tuple(head.items()))),
                Equals(expected),
                f"{code} {head}",
            )


class Calls(TestCase):
    def test_operators(self):
        rng = random.Random(5)
        for _ in range(500):
            path = rng.choice(
                [
                    "/",
                    "/config",
                    "/evacuate",
                    "/evacuate/",
                    "/evacuate/z",
                    "/evacuate/%ff/x",
                    "/config/x",
                    "//config",
                ]
            )
            request = Request(
                EnvironBuilder(
                    path,
                    method=rng.choice(["GET", "PUT", "PATCH", "POST", "DELETE"]),
                    data=rng.choice([b"", b"{}", b"[]", b"\x00", b"{" * 2000]),
                    headers={"If-Match": rng.choice(Heads.WORDS)},
                ).get_environ()
            )
            facts = configuration.read_operator(request)
            if isinstance(facts, failures.Failure):
                status, _, body = configuration.operator_answer("", facts)
                self.assertThat(
                    (400 <= status < 500, "failure" in json.loads(body)), Equals((True, True))
                )
            else:
                self.assertThat(["read", "written", "zone"], Contains(facts[0]))
