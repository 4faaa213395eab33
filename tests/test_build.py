"""The build replaces whatever `target/` holds that this machine can't start.

Guards against a build that ends well though no process starts: a file beside `target/deps` was
taken for proof of what is in it, so wheels of another architecture, a folder that lost a file and a
missing folder were all kept.
"""

import importlib.metadata
import json
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "deploy"))

import build  # noqa: E402
import installation  # noqa: E402
from test_deploy_packages import name_of  # noqa: E402

REQUIREMENTS = ["somewhere>=1"]
ENDED_WELL = subprocess.CompletedProcess([], 0, stderr="")


class Pip:
    """Stands in for pip: makes a package in the target folder, or ends in the middle."""

    def __init__(self):
        self.calls, self.interrupted, self.tested_missing = 0, False, False

    def __call__(self, command, **_):
        self.calls += 1
        if self.tested_missing and "-c" in command:
            return subprocess.CompletedProcess([], 1)
        target = pathlib.Path(command[command.index("--target") + 1])
        (target / "somewhere").mkdir(parents=True)
        (target / "somewhere" / "__init__.py").write_text("NAME = 'somewhere'\n")
        if self.interrupted:
            raise KeyboardInterrupt
        (target / "somewhere" / "part.so").write_bytes(b"\x7fELF")
        return ENDED_WELL


@pytest.fixture
def pip(monkeypatch, tmp_path):
    """A Pip, with `target/` in a folder of the test's own."""
    pip = Pip()
    monkeypatch.setattr(build, "DEPS", tmp_path / "deps")
    monkeypatch.setattr(build, "UNFINISHED", tmp_path / "unfinished", raising=False)
    old_record = tmp_path / "asked.txt"
    monkeypatch.setattr(build, "INSTALLED_REQUIREMENTS", old_record, raising=False)
    monkeypatch.setattr(build, "check_tools", lambda: None)
    monkeypatch.setattr(build.subprocess, "run", pip)
    return pip


def test_what_is_whole_and_made_for_this_machine_is_kept(pip):
    build.install(REQUIREMENTS)
    build.install(REQUIREMENTS)
    assert pip.calls == 1


def test_a_missing_folder_is_installed_again(pip):
    build.install(REQUIREMENTS)
    build.shutil.rmtree(build.DEPS)
    build.install(REQUIREMENTS)
    assert (build.DEPS / "somewhere" / "part.so").exists()


@pytest.mark.parametrize("name", ["__init__.py", "part.so"])
@pytest.mark.parametrize("damage", [pathlib.Path.unlink, lambda path: path.write_bytes(b"")])
def test_a_lost_or_cut_file_is_installed_again(pip, name, damage):
    build.install(REQUIREMENTS)
    path = build.DEPS / "somewhere" / name
    size = path.stat().st_size
    damage(path)
    build.install(REQUIREMENTS)
    assert path.stat().st_size == size


def test_the_tested_versions_are_installed(pip, monkeypatch):
    commands = []
    monkeypatch.setattr(
        build.subprocess, "run", lambda command: commands.append(command) or pip(command)
    )
    build.install(REQUIREMENTS)
    assert [command[command.index("-c") + 1] for command in commands] == [
        str(build.TESTED_VERSIONS)
    ]


def test_other_versions_are_installed_where_the_tested_ones_are_missing(pip):
    pip.tested_missing = True
    build.install(REQUIREMENTS)
    assert (build.DEPS / "somewhere" / "part.so").exists()


def test_every_library_has_a_tested_version():
    """Those that the requirements name, and what these require, as they are installed here."""
    lines = build.TESTED_VERSIONS.read_text().splitlines()
    tested = dict(line.split("==") for line in lines if not line.startswith("#"))
    required = build.third_party_requirements(build.product_projects())
    waiting = [name_of(word) for word in required]
    while waiting:
        name = waiting.pop()
        distribution = importlib.metadata.distribution(name)
        assert tested[name.lower()] == distribution.version
        waiting += [name_of(word) for word in distribution.requires or () if ";" not in word]


def test_other_requirements_are_installed(pip):
    build.install(REQUIREMENTS)
    build.install([*REQUIREMENTS, "other>=2"])
    assert pip.calls == 2


def test_other_tested_versions_are_installed(pip, monkeypatch, tmp_path):
    build.install(REQUIREMENTS)
    monkeypatch.setattr(build, "TESTED_VERSIONS", tmp_path / "versions.txt")
    build.TESTED_VERSIONS.write_text("somewhere==2\n")
    build.install(REQUIREMENTS)
    assert pip.calls == 2


def test_a_folder_from_another_machine_is_installed_again(pip):
    """As for another architecture, interpreter or C library: all are parts of the environment."""
    build.install(REQUIREMENTS)
    record = build.DEPS / installation.RECORD_NAME
    found = json.loads(record.read_text())
    for other in ("cpython-311 linux-x86_64 glibc", "cpython-311 linux-aarch64 glibc", "other"):
        if other == installation.current_environment():
            continue
        calls = pip.calls
        record.write_text(json.dumps({**found, "environment": other}))
        build.install(REQUIREMENTS)
        assert pip.calls == calls + 1


def test_the_environment_names_version_architecture_and_c_library(monkeypatch):
    here = installation.current_environment()
    assert sys.implementation.cache_tag in here
    monkeypatch.setattr(installation.sysconfig, "get_platform", lambda: "linux-other")
    assert installation.current_environment() != here


@pytest.mark.parametrize("record", ["", "{}", '{"requirements": 3', "[]", '{"other": 1}'])
def test_an_unreadable_record_is_none(pip, record):
    build.install(REQUIREMENTS)
    (build.DEPS / installation.RECORD_NAME).write_text(record)
    build.install(REQUIREMENTS)
    assert pip.calls == 2


def test_an_interrupted_installation_is_made_again(pip):
    pip.interrupted = True
    with pytest.raises(KeyboardInterrupt):
        build.install(REQUIREMENTS)
    pip.interrupted = False
    build.install(REQUIREMENTS)
    assert (build.DEPS / "somewhere" / "part.so").exists()


def test_an_interrupted_installation_leaves_the_one_before_it(pip):
    build.install(REQUIREMENTS)
    pip.interrupted = True
    with pytest.raises(KeyboardInterrupt):
        build.install([*REQUIREMENTS, "other>=2"])
    wanted = build.requirements_and_versions(REQUIREMENTS)
    assert installation.is_complete(build.DEPS, wanted)


def test_the_repositorys_own_packages_are_no_damage(pip):
    build.install(REQUIREMENTS)
    (build.DEPS / "transport").mkdir()
    (build.DEPS / "transport" / "__init__.py").write_text("")
    build.install(REQUIREMENTS)
    assert pip.calls == 1


def test_a_build_that_could_not_start_fails(monkeypatch, tmp_path, capsys):
    """The folder holds nothing, so the import of the programs fails."""
    monkeypatch.setattr(build, "DEPS", tmp_path / "deps")
    monkeypatch.setattr(build, "STARTED_MODULES", "import a_module_that_is_missing")
    monkeypatch.setattr(build, "install", lambda requirements: None)
    monkeypatch.setattr(build, "check_libraries", lambda: None)
    monkeypatch.setattr(build, "copy_sources", lambda projects: None)
    assert build.main() == 1
    assert "a_module_that_is_missing" in capsys.readouterr().err
