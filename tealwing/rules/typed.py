"""Convert plain data to typed records; errors name the key, what was found, and what is allowed; pure.

msgspec checks each value; its own messages omit the keys of tables, so the traversal is done here.
"""

from __future__ import annotations

from math import isfinite
from types import UnionType
from typing import Annotated, Any, TypeVar, Union, get_args, get_origin

import msgspec
from msgspec import inspect

from tealwing.rules.errors import InvalidValueError, TooLargeError, UnknownKeyError

Record = TypeVar("Record", bound=msgspec.Struct)
MAX_SHOWN_CHARACTERS = 60


def read(kind: type[Record], data: Any, where: str = "") -> Record:
    """Convert a table to a record. Raises UnknownKeyError, InvalidValueError or TooLargeError for the first fault."""
    known = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    found = {}
    for key, value in _require_table(data, where).items():
        if key not in known:
            raise UnknownKeyError(_child_path(where, key), f"no such key; allowed: {', '.join(known)}")
        found[known[key].name] = _convert(known[key].type, value, _child_path(where, key))
    for key, field in known.items():
        if field.required and field.name not in found:
            raise UnknownKeyError(_child_path(where, key), "missing")
    return kind(**found)


def _convert(kind: Any, data: Any, where: str) -> Any:
    if get_origin(kind) in (Union, UnionType):  # an optional key: its type without None
        kind = get_args(kind)[0]
    bare, max_length = kind, None
    if get_origin(kind) is Annotated:
        bare, meta = get_args(kind)
        max_length = meta.max_length
    if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
        return read(bare, data, where)
    if get_origin(bare) is dict:
        names, values = get_args(bare)
        _check_length(_require_table(data, where), max_length, where)
        return {
            _convert_scalar(names, key, where): _convert(values, value, _child_path(where, key))
            for key, value in data.items()
        }
    if get_origin(bare) is tuple:
        if not isinstance(data, list):
            raise InvalidValueError(where, f"{_format_value(data)}; allowed: a list")
        _check_length(data, max_length, where)
        try:
            return msgspec.convert(data, kind)  # a list can be long: it is traversed only to locate a fault
        except msgspec.ValidationError:
            pass
        return tuple(_convert(get_args(bare)[0], value, f"{where}[{position}]") for position, value in enumerate(data))
    return _convert_scalar(kind, data, where)


def _convert_scalar(kind: Any, data: Any, where: str) -> Any:
    try:
        found = msgspec.convert(data, kind)
        if not isinstance(found, float) or isfinite(found):
            return found
    except msgspec.ValidationError:
        pass
    raise InvalidValueError(where, f"{_format_value(data)}; allowed: {_describe_allowed(inspect.type_info(kind))}")


def _require_table(data: Any, where: str) -> dict[str, Any]:
    if not isinstance(data, dict):
        raise InvalidValueError(where, f"{_format_value(data)}; allowed: a table")
    return data


def _check_length(found: Any, max_length: int | None, where: str) -> None:
    if max_length is not None and len(found) > max_length:
        raise TooLargeError(where, f"{len(found)} entries; allowed: {max_length}")


def _describe_allowed(kind: inspect.Type) -> str:
    """Describe the allowed values for an error message."""
    match kind:
        case inspect.IntType():
            return f"{kind.ge} to {kind.le}"
        case inspect.FloatType():
            return f"{kind.ge:g} to {kind.le:g}"
        case inspect.LiteralType():
            return " or ".join(map(str, kind.values))
        case inspect.StrType():
            return f"text of {kind.min_length or 0} to {kind.max_length} characters"
    return "a value of another type"


def _child_path(where: str, key: str) -> str:
    return f"{where}.{_format_value(key)}" if where else _format_value(key)


def _format_value(data: Any) -> str:
    if isinstance(data, (dict, list)):
        return "a table" if isinstance(data, dict) else "a list"
    text = data if isinstance(data, str) else repr(data)
    text = "".join(character if character.isprintable() else "?" for character in text[: MAX_SHOWN_CHARACTERS + 1])
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."
