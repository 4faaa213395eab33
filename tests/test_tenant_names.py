"""A tenant's name goes to engines in a header line: one that no line can hold is invalid."""

import random

from adapter import configuration
from configuration import registry as registries
from simulation import platform_made as made
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

GOOD = ("a", "acme-1", "č-åß", "two words", "x:y, z")
# Line ends would begin a line of their own; others change on the way or can't be written.
BAD = ("a\r\nX-Sender: b", "a\n", "\ra", "a\x00b", "a\x7f", "a\tb", " a", "a ", "\ud800")


def decided(name):
    """What becomes of a configuration with a tenant of that name."""
    registry = registries.Registry(reader=configuration.READER)
    whole = made.configuration(random.Random(3), 1)
    whole["senders"] = [{"name": name, "keys": ["k1"]}]
    return registries.decide(
        registry, "written", {"expect": 0, "written": whole, "partial": False}
    )[2]


class TenantNames(TestCase):
    # Guards against UNASKED: a name that makes an engine read another tenant's.
    def test_only_what_a_header_line_holds(self):
        for name in GOOD:
            self.assertThat(decided(name), Equals(None), repr(name))
        for name in BAD:
            self.assertIsInstance(decided(name), failures.LayoutWrong, repr(name))
