"""The grammar of one line of the operators' file; pure. `reader` derives the blocks from the lines' indentation.

Lines are parsed one by one, so that every invalid line of a file is reported.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lark import Lark, Token, UnexpectedInput

MAX_LINE_LENGTH = 4096  # characters; a longer line is reported as a problem
TAB_WIDTH = 8  # columns between tab stops, as on terminals

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
    """A line of a file; lines count from 1."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a file: its place, the directive, what was found and what is allowed."""

    place: Place
    directive: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.place}: {self.directive}: found {self.found}; allowed: {self.allowed}"


@dataclass(slots=True)
class Directive:
    """One line: a name and its arguments, with the directives indented below it."""

    name: str
    arguments: tuple[str, ...]
    place: Place
    indent: int = 0
    children: list[Directive] = field(default_factory=list)


def parse_line(text: str, place: Place) -> Directive | Problem | None:
    """Return the directive on a line, or the problem with the line; None for an empty line or a comment."""
    if len(text) > MAX_LINE_LENGTH:
        return Problem(place, "a line", f"{len(text)} characters", f"at most {MAX_LINE_LENGTH}")
    stripped = text.rstrip()
    indent = len(stripped.expandtabs(TAB_WIDTH)) - len(stripped.expandtabs(TAB_WIDTH).lstrip())
    try:
        tree = _LINE.parse(stripped)
    except UnexpectedInput as error:
        at = max(getattr(error, "column", 1) - 1, 0)
        return Problem(
            place,
            "syntax",
            f'"{stripped[at : at + 20]}" in column {at + 1}',
            'a directive name of lower-case letters, digits and hyphens, then words or "strings"; # begins a comment',
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
    """Return an argument as it is written in the operators' file, in quotes if it needs them."""
    if argument and not any(character in argument for character in ' \t#"'):
        return argument
    return '"' + argument.replace("\\", "\\\\").replace('"', '\\"') + '"'
