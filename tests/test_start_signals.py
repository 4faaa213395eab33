"""Signals that reach a process while it starts, at each step of the start.

Guards against a reload or a request for the log that ends a process whose handlers aren't installed
yet: the platform sends SIGHUP to every process when settings change, also to those that have just
been started again.
"""

import ast
import json
import os
import signal
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from simulation.platform_fleet import PlatformFleet
from testtools import TestCase
from testtools.matchers import Contains, Equals

ROOT = Path(__file__).resolve().parents[1]
LIMIT_S = 60.0
# Signals that must not end a process, whenever they come.
HARMLESS = (signal.SIGHUP, signal.SIGUSR1)
# A module of this content stands before the one of the same name, sends signals to the process in
# the middle of the import, and then gives way to the real one.
SENDER = """
import os, sys
for number in {numbers}:
    os.kill(os.getpid(), number)
here = os.path.dirname(__file__)
sys.path.remove(here)
del sys.modules[__name__]
__import__(__name__)
sys.path.insert(0, here)
"""


def run_lines():
    """The words of each role's command in the deploy file."""
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    return [role["run"].split() for role in roles.values()]


class EachStep(TestCase):
    def started(self, modules, commands=None):
        """The exit codes of commands (all roles, as the deploy file starts them) whose settings
        can't be used, if each of these modules sends the signals when it is imported."""
        folder = Path(tempfile.mkdtemp())
        settings = folder / "settings.json"
        settings.write_text(json.dumps({"nodeName": "n"}), encoding="utf8")
        for module in modules:
            text = SENDER.format(numbers=[int(number) for number in HARMLESS])
            (folder / f"{module}.py").write_text(text, encoding="utf8")
        return {self.exit_code(words, folder, settings) for words in commands or run_lines()}

    def exit_code(self, words, folder, settings):
        self.assertThat(words[0], Equals("python3"))
        done = subprocess.run(
            [sys.executable, *words[1:]],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": os.pathsep.join([str(folder), *filter(None, sys.path)]),
                "PULLEYHITCH_BOOT": str(settings),
            },
            capture_output=True,
            timeout=LIMIT_S,
        )
        return done.returncode

    def test_without_signals_the_settings_are_refused(self):
        self.assertThat(self.started([]), Equals({2}))

    def test_while_the_interpreter_sets_up_its_paths(self):
        """`site` and what it imports take most of the time of the interpreter's own start."""
        self.assertThat(self.started(["sitecustomize", "usercustomize"]), Equals({2}))

    def test_while_the_first_modules_load(self):
        self.assertThat(self.started(["enum", "signal", "gc"]), Equals({2}))

    def test_while_the_programs_modules_load(self):
        self.assertThat(self.started(["json", "queue", "pycurl", "marshmallow"]), Equals({2}))

    def test_the_products_own_program(self):
        """It imports a library for command lines before the role's own modules."""
        roles = [["python3", "-m", "pulleyhitch", role] for role in ("counter", "depot")]
        for modules in ([], ["cleo"], ["pycurl", "marshmallow"]):
            self.assertThat(self.started(modules, roles), Equals({2}))

    def test_nothing_is_imported_before_the_signals_are_ignored(self):
        """Only `_signal`, which is a part of the interpreter."""
        tree = ast.parse((ROOT / "platform" / "start.py").read_text(encoding="utf8"))
        statements = [node for node in tree.body if not is_docstring(node)]
        self.assertThat(ast.unparse(statements[0]), Equals("import _signal"))
        calls = [ast.unparse(node) for node in statements[1 : 1 + len(HARMLESS)]]
        for number, call in zip(HARMLESS, calls, strict=True):
            self.assertThat(call, Equals(f"_signal.signal(_signal.{number.name}, _signal.SIG_IGN)"))

    def test_the_interpreter_starts_without_site(self):
        for words in run_lines():
            self.assertThat(words[:2], Equals(["python3", "-S"]))


def is_docstring(node):
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)


class WholeStart(TestCase):
    """Real processes: signals one after the other, from the first moment at which the process
    handles them until it serves."""

    def setUp(self):
        super().setUp()
        self.fleet = PlatformFleet(tempfile.mkdtemp(), 9, counters=1)
        self.addCleanup(self.fleet.stop_all)

    def serves(self, name):
        log = (Path(self.fleet.folder) / f"{name}.log").read_text(encoding="utf8")
        return '"up"' in log

    def test_a_process_that_gets_signals_all_the_while_serves_in_the_end(self):
        for name in (self.fleet.counters[0], self.fleet.depots[0]):
            self.fleet.start(name)
            process = self.fleet.running[name]
            for number in HARMLESS:
                self.fleet.until(lambda: self.fleet.survives(name, number), LIMIT_S)

            def serves():
                for number in HARMLESS:
                    process.send_signal(number)
                return self.serves(name) or process.poll() is not None

            self.fleet.until(serves, LIMIT_S)
            self.assertThat(process.poll(), Equals(None))

    def test_a_stop_while_it_starts_ends_it(self):
        """The code is 0, or the signal's if the process had not come to its own handlers."""
        name = self.fleet.depots[0]
        self.fleet.start(name)
        self.fleet.until(lambda: self.fleet.survives(name, signal.SIGHUP), LIMIT_S)
        self.assertThat([0, -signal.SIGTERM], Contains(self.fleet.kill(name, signal.SIGTERM)))
