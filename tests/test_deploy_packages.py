"""The packages that deploy/system.toml lists match the libraries that are loaded."""

import importlib.metadata
import pathlib
import sys
import tomllib

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "deploy"))

import build  # noqa: E402
import installation  # noqa: E402
import libraries  # noqa: E402

# Packages whose programs or data `build` and `run` use, apart from shared libraries.
TOOLS = {"python3", "python3-pip", "ca-certificates"}


def listed_packages():
    """The top-level `packages` of the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["packages"]


def installed_files():
    """The ELF files of every distribution that is required, directly or indirectly."""
    required = [name_of(word) for word in build.third_party_requirements(build.product_projects())]
    seen = set()
    files = []
    while required:
        name = required.pop()
        if name in seen:
            continue
        seen.add(name)
        distribution = importlib.metadata.distribution(name)
        files += [pathlib.Path(str(distribution.locate_file(f))) for f in distribution.files or ()]
        for requirement in distribution.requires or ():
            if ";" not in requirement:
                required.append(name_of(requirement))
    return [
        path for path in files if ".so" in path.name and path.is_file() and libraries.is_elf(path)
    ]


def name_of(requirement):
    """The distribution's name in a requirement such as `cleo>=2,<3`."""
    for position, character in enumerate(requirement):
        if not (character.isalnum() or character in "-_."):
            return requirement[:position]
    return requirement


def loaded_libraries():
    """The shared libraries that the installed wheels expect from the system."""
    files = installed_files()
    assert files, "no compiled file was found: the test would check nothing"
    needed = set().union(*(libraries.needed_libraries(path) for path in files))
    return needed - {path.name for path in files}


def test_each_loaded_library_comes_with_a_listed_package():
    unknown = loaded_libraries() - set(libraries.PACKAGE_OF_LIBRARY)
    assert unknown == set()
    required = {libraries.PACKAGE_OF_LIBRARY[name] for name in loaded_libraries()}
    assert required <= set(listed_packages())


def test_each_listed_package_is_a_tool_or_holds_a_loaded_library():
    required = {libraries.PACKAGE_OF_LIBRARY[name] for name in loaded_libraries()}
    assert set(listed_packages()) == TOOLS | required
    assert len(listed_packages()) == len(set(listed_packages()))


def test_needed_libraries_of_the_interpreter_name_the_c_library():
    path = pathlib.Path(sys.executable).resolve()
    assert "libc.so.6" in libraries.needed_libraries(path)


def test_other_files_are_recognised(tmp_path):
    path = tmp_path / "text.so"
    path.write_text("not a library")
    assert not libraries.is_elf(path)
    other = tmp_path / "other.so"
    other.write_bytes(b"\x7fELF\x01\x01" + bytes(100))
    with pytest.raises(libraries.UnsupportedElfFile):
        libraries.needed_libraries(other)


def test_a_missing_library_is_named_with_its_package(monkeypatch, tmp_path, capsys):
    monkeypatch.setattr(build, "install", lambda requirements: None)
    monkeypatch.setattr(build, "copy_sources", lambda projects: pytest.fail("the build went on"))
    monkeypatch.setattr(libraries, "system_libraries", lambda folder: {"libstdc++.so.6"})
    monkeypatch.setattr(libraries, "can_load", lambda name: False)
    assert build.main() == 1
    assert capsys.readouterr().err == (
        "build: shared libraries are missing: libstdc++.so.6 (Debian package libstdc++6)\n"
    )


def test_a_missing_pip_is_named_with_its_package(monkeypatch, tmp_path, capsys):
    monkeypatch.setattr(build, "UNFINISHED", tmp_path / "unfinished")
    monkeypatch.setattr(build, "DEPS", tmp_path / "deps")
    monkeypatch.setattr(build.importlib.util, "find_spec", lambda name: None)
    assert build.main() == 1
    error = capsys.readouterr().err
    assert "pip is missing" in error and "python3-pip" in error
    assert len(error.splitlines()) == 1


def test_missing_certificates_are_named_with_their_package(monkeypatch, tmp_path, capsys):
    monkeypatch.setattr(build, "UNFINISHED", tmp_path / "unfinished")
    monkeypatch.setattr(build, "DEPS", tmp_path / "deps")
    monkeypatch.setattr(build, "has_certificates", lambda: False)
    assert build.main() == 1
    assert "ca-certificates" in capsys.readouterr().err


def test_a_failed_installation_ends_without_a_traceback(monkeypatch, tmp_path, capsys):
    class Failed:
        """A finished process that reports an error."""

        returncode = 1

    monkeypatch.setattr(build, "UNFINISHED", tmp_path / "unfinished")
    monkeypatch.setattr(build, "DEPS", tmp_path / "deps")
    monkeypatch.setattr(build, "has_certificates", lambda: True)
    monkeypatch.setattr(build.subprocess, "run", lambda command: Failed())
    assert build.main() == 1
    assert "pip could not install" in capsys.readouterr().err
    assert not installation.is_complete(tmp_path / "deps", [])
    assert not (tmp_path / "deps").exists()
