"""docs/interface-names.txt: every name that leaves the process stands in the installed code."""

import ast
import pathlib
import re

from testtools import TestCase

ROOT = pathlib.Path(__file__).parent.parent
INSTALLED = ("libs", "platform", "deploy", "examples")
WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*")


def listed_names():
    lines = (ROOT / "docs" / "interface-names.txt").read_text().splitlines()
    return [name for line in lines if (name := line.partition("#")[0].strip())]


def is_docstring(statement):
    return isinstance(statement, ast.Expr) and isinstance(statement.value, ast.Constant)


def names_of(tree):
    """String literals, assigned names and classes; comments and docstrings don't count."""
    docstrings = {id(node.value) for node in ast.walk(tree) if is_docstring(node)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield from WORD.findall(node.value)
            if isinstance(node.value, bytes):
                yield from WORD.findall(node.value.decode("latin-1"))
        if isinstance(node, ast.ClassDef):
            yield node.name
        if isinstance(node, ast.AnnAssign | ast.Assign):
            targets = node.targets if isinstance(node, ast.Assign) else [node.target]
            yield from (target.id for target in targets if isinstance(target, ast.Name))


def installed_names():
    found = set()
    for folder in INSTALLED:
        for path in (ROOT / folder).rglob("*"):
            if path.suffix == ".py":
                found.update(names_of(ast.parse(path.read_text())))
            elif path.suffix in (".toml", ".j2"):
                found.update(WORD.findall(path.read_text()))
    return found


class InterfaceNames(TestCase):
    def test_each_name_stands_in_the_installed_code(self):
        self.assertEqual([], sorted(set(listed_names()) - installed_names()))

    def test_names_are_listed_once(self):
        names = listed_names()
        self.assertEqual([], sorted({name for name in names if names.count(name) > 1}))
