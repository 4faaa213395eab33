"""Header fields for the engine are passed on even if the caller names them in `Connection`."""

from adapter import callers
from testtools import TestCase
from testtools.matchers import Equals
from werkzeug.test import EnvironBuilder

FOR_ENGINE = {
    "X-Try-Id": "7",
    "X-Parcel": "m/a1",
    "X-Tokens": "10,20",
    "X-Prompt-Prefix": "a:5,b:5",
    "Last-Event-Id": "3",
    "Content-Type": "a/b",
}


def passed_on(connection):
    builder = EnvironBuilder(
        method="POST", headers={**FOR_ENGINE, "X-Hop": "1", "Connection": connection}
    )
    facts = callers.read_caller(builder.get_request(), "/a/b")
    return {line.partition(":")[0].title(): line.partition(": ")[2] for line in facts["headers"]}


class NamedInConnection(TestCase):
    def test_fields_for_the_engine_are_passed_on(self):
        for name in FOR_ENGINE:
            for connection in (name, f"close, {name.lower()}", f"{name.upper()} ,keep-alive"):
                found = passed_on(connection)
                kept = {field: found.get(field) for field in FOR_ENGINE}
                self.assertThat(kept, Equals(FOR_ENGINE), connection)

    def test_fields_of_the_connection_are_dropped(self):
        self.assertThat(passed_on("close")["X-Hop"], Equals("1"))
        self.assertThat("X-Hop" in passed_on("close, x-hop"), Equals(False))
        self.assertThat("Connection" in passed_on("close"), Equals(False))
