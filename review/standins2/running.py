"""Runs a case: its exit code, whatever happens."""

import os
import sys
import threading
import traceback

from standins2.fleet import Record

__all__ = ["run"]

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_LIMIT_S = 115.0


def run(record_path, case):
    """`case(record, trouble)` returns (whether the rule was broken, what was seen); the record of
    the run is written to `record_path`."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", record_path.parent.name, "with" if trouble else "without", "the disruption")

    def give_up():
        record.verdict("could not run: out of time")
        os._exit(COULD_NOT_RUN)

    watchdog = threading.Timer(_LIMIT_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        broken, seen = case(record, trouble)
    except Exception as error:
        traceback.print_exc()
        record.verdict(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    record.verdict(f"{'BROKEN' if broken else 'held'}: {seen}")
    sys.exit(BROKEN if broken else HELD)
