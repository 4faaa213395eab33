"""The deploy file lists the packages that wheels need on each architecture.

Guards against a build that knows the libraries of one architecture only: the table of libraries
had been filled from the wheels that the tests' machine had installed.
"""

import pathlib
import subprocess
import sys
import tomllib
import zipfile

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "deploy"))

import build  # noqa: E402
import libraries  # noqa: E402

ARCHITECTURES = ("aarch64", "x86_64")
PLATFORM_TAGS = ("manylinux2014", "manylinux_2_17", "manylinux_2_28")
LISTED = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["packages"]


@pytest.fixture(scope="module", params=ARCHITECTURES)
def wheels(request, tmp_path_factory):
    """The wheels of all third-party requirements for one architecture."""
    folder = tmp_path_factory.mktemp(request.param)
    requirements = build.third_party_requirements(build.product_projects())
    command = [sys.executable, "-m", "pip", "download", "-q", "--disable-pip-version-check"]
    command += ["--only-binary", ":all:", "--python-version", "3.11", "-d", str(folder)]
    for tag in PLATFORM_TAGS:
        command += ["--platform", f"{tag}_{request.param}"]
    subprocess.run([*command, *requirements], check=True, timeout=300)
    return sorted(folder.glob("*.whl"))


def shared_objects(wheel):
    """(name, bytes) of each ELF file in a wheel."""
    with zipfile.ZipFile(wheel) as archive:
        for name in archive.namelist():
            content = archive.read(name) if ".so" in name else b""
            if content.startswith(libraries.ELF_MAGIC):
                yield pathlib.PurePath(name).name, content


def test_each_library_of_the_wheels_comes_with_a_listed_package(wheels):
    objects = [found for wheel in wheels for found in shared_objects(wheel)]
    assert objects, "no compiled file was found: the test would check nothing"
    needed = set()
    for _, content in objects:
        needed |= libraries.needed_libraries_of(content)
    outside = needed - {name for name, _ in objects}
    assert outside - set(libraries.PACKAGE_OF_LIBRARY) == set()
    assert {libraries.PACKAGE_OF_LIBRARY[name] for name in outside} <= set(LISTED)
