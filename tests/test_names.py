"""The libraries of the control side use the terms of the field (see CONTRIBUTING.md).

Words of an earlier naming theme must not occur in their names, docstrings and comments.  Names
that are part of a file on disk are strings, which aren't checked.
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
    """(word in lower case, line) of the names, comments and docstrings of a module."""
    source = path.read_text(encoding="utf8")
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        checked = token.type in (tokenize.NAME, tokenize.COMMENT)
        checked = checked or (token.type == tokenize.STRING and token.string.startswith('"""'))
        if checked:
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
