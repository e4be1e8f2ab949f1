"""The grammar of one line of the operators' file; pure. Blocks follow from indentation, as the reader sees it.

Lines are parsed one by one, so that every bad line of a file is told and not the first one only.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lark import Lark, Token, UnexpectedInput

MAX_LINE_LENGTH = 4096  # characters: a line that is longer is no directive
TAB_WIDTH = 8  # columns to which a tab goes on, as terminals show it

_LINE = Lark(
    r"""
    line: [NAME argument*]
    ?argument: WORD | STRING
    NAME: /[a-z][a-z0-9-]*/
    WORD: /[^\s#"]+/
    STRING: /"([^"\\]|\\["\\])*"/
    COMMENT: /#.*/
    %import common.WS_INLINE
    %ignore WS_INLINE
    %ignore COMMENT
    """,
    start="line",
    parser="lalr",
)


@dataclass(frozen=True, slots=True)
class Place:
    """Where something stands; line counts from 1."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong: where, in which directive, what was found, and what is allowed."""

    place: Place
    directive: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.place}: {self.directive}: found {self.found}; allowed: {self.allowed}"


@dataclass(slots=True)
class Directive:
    """One line: a name and its arguments, with the lines indented below it."""

    name: str
    arguments: tuple[str, ...]
    place: Place
    indent: int = 0
    children: list[Directive] = field(default_factory=list)


def parse_line(text: str, place: Place) -> Directive | Problem | None:
    """The directive on a line; None where it is empty or a comment."""
    if len(text) > MAX_LINE_LENGTH:
        return Problem(place, "a line", f"{len(text)} characters", f"at most {MAX_LINE_LENGTH}")
    bare = text.rstrip()
    indent = len(bare.expandtabs(TAB_WIDTH)) - len(bare.expandtabs(TAB_WIDTH).lstrip())
    try:
        tree = _LINE.parse(bare)
    except UnexpectedInput as error:
        at = max(getattr(error, "column", 1) - 1, 0)
        return Problem(
            place,
            "syntax",
            f'"{bare[at : at + 20]}" in column {at + 1}',
            'a directive in lower-case letters, then words or "strings"; # begins a comment',
        )
    tokens = [token for token in tree.children if isinstance(token, Token)]
    if not tokens:
        return None
    return Directive(str(tokens[0]), tuple(_unquoted(token) for token in tokens[1:]), place, indent)


def _unquoted(token: Token) -> str:
    if token.type != "STRING":
        return str(token)
    return token[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def quoted(argument: str) -> str:
    """A word as it is written in a file."""
    if argument and not any(mark in argument for mark in ' \t#"'):
        return argument
    return '"' + argument.replace("\\", "\\\\").replace('"', '\\"') + '"'
