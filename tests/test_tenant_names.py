"""A tenant's name is sent to engines in a header line: one that no line can hold is invalid."""

import random

from adapter import configuration
from configuration import registry as registries
from simulation import platform_made as made
from testtools import TestCase
from testtools.matchers import Equals
from transport import failures

VALID = ("a", "acme-1", "č-åß", "two words", "x:y, z")
# A line end would start another header; the others are changed on the way or can't be encoded.
INVALID = ("a\r\nX-Sender: b", "a\n", "\ra", "a\x00b", "a\x7f", "a\tb", " a", "a ", "\ud800")


def failure_of(name):
    """The failure of a configuration with a tenant of that name, or None."""
    registry = registries.Registry(reader=configuration.READER)
    whole = made.configuration(random.Random(3), 1)
    whole["senders"] = [{"name": name, "keys": ["k1"]}]
    return registries.decide(
        registry, "written", {"expect": 0, "written": whole, "partial": False}
    )[2]


class TenantNames(TestCase):
    # Guards against UNASKED: a name that makes an engine read another tenant's name.
    def test_only_names_that_a_header_line_holds(self):
        for name in VALID:
            self.assertThat(failure_of(name), Equals(None), repr(name))
        for name in INVALID:
            self.assertIsInstance(failure_of(name), failures.LayoutWrong, repr(name))
