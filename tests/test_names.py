"""The control side's libraries speak the field's terms (see CONTRIBUTING.md).

Words of the withdrawn house style stand in no name, docstring or comment of them.
Names that are part of a file on disk are strings, and are left alone.
"""

import io
import tokenize
from pathlib import Path

import pytest

LIBRARIES = Path(__file__).resolve().parents[1] / "libs"
CONTROL_SIDE = ("replication", "transport", "membership")
WITHDRAWN = frozenset(
    "canvass canvasses ballot ballots fellow fellows desk circle pipe pipes grant grants"
    " view views book books floor trial waybill logbook junction manifest".split()
)


def words_of(path):
    """Every word of the names, comments and docstrings in a module, in lower case."""
    source = path.read_text(encoding="utf8")
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        told = token.type in (tokenize.NAME, tokenize.COMMENT)
        told = told or (token.type == tokenize.STRING and token.string.startswith('"""'))
        if told:
            for word in "".join(c if c.isalpha() else " " for c in token.string).split():
                yield word.lower(), token.start[0]


@pytest.mark.parametrize("library", CONTROL_SIDE)
def test_no_withdrawn_word(library):
    found = [
        f"{path.name}:{line}: {word}"
        for path in sorted((LIBRARIES / library / "src").rglob("*.py"))
        for word, line in words_of(path)
        if word in WITHDRAWN
    ]
    assert not found
