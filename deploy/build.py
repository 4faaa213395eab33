"""Makes target/deps: the libraries that the product names, and the product itself.

Libraries are installed again only when what is asked for has changed; our own
sources are copied at every build, so a change of them is never missed.
"""

import compileall
import pathlib
import shutil
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS, TOLD = ROOT / "target" / "deps", ROOT / "target" / "asked.txt"
PROVED_ONLY = {"simulation"}


def projects():
    return [
        p for p in sorted(ROOT.glob("libs/*/pyproject.toml")) if p.parent.name not in PROVED_ONLY
    ]


def asked():
    found = set()
    for project in projects():
        for word in tomllib.loads(project.read_text())["project"].get("dependencies", ()):
            if not word.startswith("pulleyhitch"):
                found.add(word)
    return sorted(found)


def main():
    words = asked()
    if not TOLD.exists() or TOLD.read_text() != "\n".join(words):
        shutil.rmtree(DEPS, ignore_errors=True)
        subprocess.run(
            [
                sys.executable,
                "-m",
                "pip",
                "install",
                "-q",
                "--disable-pip-version-check",
                "--target",
                str(DEPS),
                *words,
            ],
            check=True,
        )
        TOLD.write_text("\n".join(words))
    for project in projects():
        for package in (project.parent / "src").iterdir():
            if package.is_dir() and package.suffix != ".egg-info":
                shutil.rmtree(DEPS / package.name, ignore_errors=True)
                shutil.copytree(
                    package, DEPS / package.name, ignore=shutil.ignore_patterns("__pycache__")
                )
                compileall.compile_dir(DEPS / package.name, quiet=1)


if __name__ == "__main__":
    main()
