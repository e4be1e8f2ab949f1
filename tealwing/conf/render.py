"""Prints a checked file with its defaults, and the reference of all sections for the manual."""

from __future__ import annotations

from collections.abc import Iterator

from tealwing.conf import reader
from tealwing.conf.grammar import quoted
from tealwing.conf.reader import Conf
from tealwing.conf.schema import Block, Spec


def show(conf: Conf) -> str:
    """Return all directives of a file, with its includes expanded; defaults that it does not give are marked."""
    lines: list[str] = []
    for name, block in conf.blocks.items():
        lines += [name, *_block(reader.section(name).specs, block, 1), ""]
    return "\n".join(lines) if lines else f"# {conf.path} has no section: every optional subsystem is off\n"


def _block(specs: tuple[Spec, ...], block: Block, depth: int) -> Iterator[str]:
    for spec in specs:
        for entry in block.all(spec.name):
            text = " ".join(("    " * depth + spec.name, *map(quoted, entry.arguments)))
            yield text if entry.given else f"{text}  # by default"
            if entry.block is not None:
                yield from _block(spec.children, entry.block, depth + 1)


def manual() -> str:
    """Return the reference of every section, in Markdown."""
    parts: list[str] = []
    for name in reader.SECTIONS:
        section = reader.section(name)
        parts += [f"## Section `{name}`", "", section.help, ""]
        parts += [*_table(section.specs, name), ""]
    return "\n".join(parts).rstrip() + "\n"


def _table(specs: tuple[Spec, ...], within: str) -> Iterator[str]:
    yield "| directive | default | meaning |"
    yield "| --- | --- | --- |"
    for spec in specs:
        usage = f"`{spec.name} {spec.usage}`".replace(" `", "`").replace("|", "\\|")
        default = f"`{spec.default}`" if spec.default else ("must be given" if spec.needed else "none")
        many = " May occur several times." if spec.many else ""
        yield f"| {usage} | {default} | {spec.help}{many} |"
    for spec in specs:
        if spec.children:
            yield ""
            yield f"Indented below `{spec.name}`, in `{within}`:"
            yield ""
            yield from _table(spec.children, spec.name)
