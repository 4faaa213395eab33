"""Builds target/deps: the third-party libraries and the packages of this repository.

Third-party libraries are installed again unless `installation` finds them whole and made for this
interpreter and machine; the packages of the repository are copied at every build, so that their
changes are always included. Error messages name the Debian package that provides what the machine
lacks.
"""

import compileall
import importlib.util
import os
import pathlib
import shutil
import ssl
import subprocess
import sys

import installation
import libraries

try:
    import tomllib
except ImportError:
    sys.exit("build: Python 3.11 or newer is missing (Debian package python3)")

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
# Where an installation is made before it replaces the one in DEPS.
UNFINISHED = ROOT / "target" / "deps.unfinished"
# The versions that the tests run on; a later release of a library may not work with this one.
TESTED_VERSIONS = ROOT / "deploy" / "tested-versions.txt"
ADAPTER = ROOT / "platform"
# What `platform/start.py` imports.
STARTED_MODULES = "from adapter import dialect, settings; from pulleyhitch import lifecycle"
TEST_ONLY_PROJECTS = {"simulation"}
OWN_PREFIX = "pulleyhitch"


class BuildError(Exception):
    """The build can't be completed; the message is shown to the operator."""


def product_projects() -> list[pathlib.Path]:
    """The project files of the libraries that run in production."""
    found = sorted(ROOT.glob("libs/*/pyproject.toml"))
    return [path for path in found if path.parent.name not in TEST_ONLY_PROJECTS]


def third_party_requirements(projects: list[pathlib.Path]) -> list[str]:
    """The third-party requirements of the projects, without duplicates."""
    found: set[str] = set()
    for project in projects:
        declared = tomllib.loads(project.read_text())["project"]
        for requirement in declared.get("dependencies", ()):
            if not requirement.startswith(OWN_PREFIX):
                found.add(requirement)
    return sorted(found)


def check_tools() -> None:
    """Raises BuildError if pip or the certificates that it needs are missing."""
    if importlib.util.find_spec("pip") is None:
        raise BuildError(f"pip is missing for {sys.executable} (Debian package python3-pip)")
    if not has_certificates():
        raise BuildError(
            "no certificates to verify the package registry with (Debian package ca-certificates)"
        )


def has_certificates() -> bool:
    """Whether the system or the environment provides CA certificates."""
    paths = ssl.get_default_verify_paths()
    if paths.cafile is not None:
        return True
    return paths.capath is not None and any(pathlib.Path(paths.capath).iterdir())


def install(requirements: list[str]) -> None:
    """Installs the third-party requirements, unless they are installed already.  An installation
    that is interrupted or fails leaves the one before it as it was."""
    wanted = requirements_and_versions(requirements)
    if installation.is_complete(DEPS, wanted):
        return
    check_tools()
    if not pip_installs(requirements, ["-c", str(TESTED_VERSIONS)]):
        print("build: the tested versions can't be installed; trying others", file=sys.stderr)
        if not pip_installs(requirements, []):
            raise BuildError(
                "pip could not install " + ", ".join(requirements) + "; see its output above"
            )
    installation.save(UNFINISHED, installation.describe(UNFINISHED, wanted))
    shutil.rmtree(DEPS, ignore_errors=True)
    UNFINISHED.rename(DEPS)


def requirements_and_versions(requirements: list[str]) -> list[str]:
    """What the record of an installation names: a change of either is installed."""
    return [*requirements, *TESTED_VERSIONS.read_text().split()]


def pip_installs(requirements: list[str], options: list[str]) -> bool:
    """Installs the requirements into the unfinished folder; returns whether pip could."""
    shutil.rmtree(UNFINISHED, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "-q", "--disable-pip-version-check"]
    command += [*options, "--target", str(UNFINISHED), *requirements]
    return subprocess.run(command).returncode == 0


def check_libraries() -> None:
    """Raises BuildError if a shared library that the installed wheels need is missing."""
    missing = libraries.missing_libraries(libraries.system_libraries(DEPS))
    if missing:
        named = ", ".join(libraries.describe(name) for name in missing)
        raise BuildError(f"shared libraries are missing: {named}")


def copy_sources(projects: list[pathlib.Path]) -> None:
    """Copies the packages of this repository beside the third-party ones, and compiles them."""
    for project in projects:
        for package in (project.parent / "src").iterdir():
            if not package.is_dir() or package.suffix == ".egg-info":
                continue
            target = DEPS / package.name
            shutil.rmtree(target, ignore_errors=True)
            shutil.copytree(package, target, ignore=shutil.ignore_patterns("__pycache__"))
            compileall.compile_dir(target, quiet=1)


def check_start() -> None:
    """Raises BuildError if a process could not import what it runs."""
    paths = os.pathsep.join(str(path) for path in (DEPS, ADAPTER))
    done = subprocess.run(
        [sys.executable, "-S", "-B", "-c", STARTED_MODULES],
        env={**os.environ, "PYTHONPATH": paths},
        stderr=subprocess.PIPE,
        text=True,
    )
    if done.returncode != 0:
        causes = done.stderr.strip().splitlines() or [f"exit status {done.returncode}"]
        raise BuildError(f"what was built can't start: {causes[-1]}")


def main() -> int:
    """Builds; returns the exit status, 1 if something is missing."""
    projects = product_projects()
    try:
        install(third_party_requirements(projects))
        check_libraries()
        copy_sources(projects)
        check_start()
    except BuildError as error:
        print(f"build: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
