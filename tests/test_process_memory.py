"""Memory of real processes: address space, stacks of threads, and the log of a process near its
limit."""

import collections
import resource
import subprocess
import sys

from pulleyhitch.process_memory import MemoryWatch
from simulation.judge.trial import Plan, Trial
from simulation.memory.loads import WholeBodies
from simulation.platform_settings import MEMORY_MB
from testtools import TestCase
from testtools.matchers import Equals

SEED = 7
CALLERS, REQUESTS = 60, 180
BODY_BYTES = 200_001
LIMIT_BYTES = 300 << 20
# Objects and lists that are nested as deep as the interpreter allows, read on a thread.
DEEP_JSON = """
import json, threading
from pulleyhitch import process_memory

def read():
    for opening, closing in (("[", "]"), ('{"a":', "}")):
        value = json.loads(opening * 980 + "1" + closing * 980)
        json.dumps(value, sort_keys=True, ensure_ascii=False, allow_nan=False)
        try:
            json.loads(opening * 100_000)
        except (RecursionError, ValueError):
            print("refused")

process_memory.configure()
thread = threading.Thread(target=read)
thread.start()
thread.join()
"""


class AddressSpace(TestCase):
    # FAULT: on a machine that limits address space to a process's memory the system did not start:
    # stacks of 8 MB a thread and heaps of 64 MB took up to 4 GB of it.
    def test_the_system_starts_and_serves_with_its_memory_as_address_space(self):
        trial = Trial(Plan(SEED, 0, 0))
        self.addCleanup(trial.fleet.stop_all)
        trial.fleet.limits[resource.RLIMIT_AS] = min(MEMORY_MB.values()) << 20
        trial.start()
        sender = WholeBodies(trial, SEED, CALLERS, BODY_BYTES)
        sender.run(REQUESTS)
        self.assertThat(collections.Counter(sender.statuses), Equals({200: REQUESTS}))
        ends = [process.poll() for process in trial.fleet.running.values()]
        self.assertThat(ends, Equals([None] * len(ends)))

    # FAULT: a stack that is too small for what input makes a thread do ends the process (-11).
    def test_the_deepest_json_fits_into_the_stack_of_a_thread(self):
        ended = subprocess.run(
            [sys.executable, "-c", DEEP_JSON], capture_output=True, text=True, timeout=60
        )
        self.assertThat((ended.returncode, ended.stdout), Equals((0, "refused\nrefused\n")))


class Watching(TestCase):
    def test_a_process_near_its_limit_says_so_once_and_when_it_has_left_it(self):
        lines, held = [], [0]
        watch = MemoryWatch(
            LIMIT_BYTES, lambda event, facts, urgent: lines.append(event), lambda: held[0]
        )
        for megabytes in (100, 241, 260, 220, 200, 260):
            held[0] = megabytes << 20
            watch.check()
        self.assertThat(lines, Equals(["memory-high", "memory-normal", "memory-high"]))

    def test_without_a_limit_nothing_is_said(self):
        watch = MemoryWatch(0, lambda *what, **why: self.fail("said"), lambda: LIMIT_BYTES)
        watch.check()
