"""INI text read section by section into frozen data classes, collecting every problem."""

from __future__ import annotations

import configparser
import dataclasses
from collections.abc import Mapping
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from hibiscustray.exceptions import SettingsError

Section = TypeVar("Section")

LIST_SEPARATOR = ","


class IniFile:
    """The sections of one INI text and the problems found while reading them."""

    def __init__(self, name: str, sections: Mapping[str, Mapping[str, str]]) -> None:
        self.name = name
        self.sections = sections
        self.problems: list[str] = []

    def named_sections(self, prefix: str) -> dict[str, str]:
        """Map the names after a prefix to whole section titles, as in ``[team hosts]``."""
        start = prefix + " "
        return {
            title[len(start) :].strip(): title for title in self.sections if title.startswith(start)
        }

    def read(self, title: str, kind: type[Section], **given: Any) -> Section | None:
        """Convert one section, or note the problems and return None."""
        values = dict(self.sections.get(title, {}))
        before = len(self.problems)
        converted: dict[str, Any] = dict(given)
        fields = {f.name: f for f in dataclasses.fields(kind) if f.name not in given}
        hints = msgspec.inspect.type_info(kind).fields
        types = {f.name: f.type for f in hints}
        for key in values:
            if key not in fields:
                self.add_problem(title, key, values[key], f"one of {', '.join(sorted(fields))}")
        for name, field in fields.items():
            if name in values:
                self._convert(title, name, values[name], field, types[name], converted)
            elif field.default is dataclasses.MISSING:
                self.add_problem(title, name, "nothing", _describe(types[name]))
        if len(self.problems) > before:
            return None
        return kind(**converted)

    def add_problem(self, title: str, key: str, found: str, allowed: str) -> None:
        """Note a problem as file, section, key, what was found and what is allowed."""
        self.problems.append(f"{self.name}: [{title}] {key}: found {found!r}; allowed: {allowed}")

    def reject_unknown_sections(self, plain: set[str], prefixes: set[str]) -> None:
        """Note every section that is neither a plain one nor has a known prefix."""
        for title in self.sections:
            head = title.split(" ", 1)[0]
            if title not in plain and not (" " in title and head in prefixes):
                allowed = sorted(plain) + [f"{prefix} NAME" for prefix in sorted(prefixes)]
                self.add_problem(title, "section", title, ", ".join(allowed))

    def raise_problems(self) -> None:
        """Raise one error that carries all problems, if there are any."""
        if self.problems:
            raise SettingsError(tuple(self.problems))

    def _convert(self, title, name, text, field, kind, converted) -> None:
        hint = field.type
        raw: Any = text.strip()
        if isinstance(kind, msgspec.inspect.VarTupleType):
            raw = tuple(part.strip() for part in raw.split(LIST_SEPARATOR) if part.strip())
        elif isinstance(kind, msgspec.inspect.BoolType):
            raw = {"yes": True, "no": False, "true": True, "false": False}.get(raw.lower(), raw)
        try:
            converted[name] = msgspec.convert(raw, _resolve(hint, kind), strict=False)
        except msgspec.ValidationError:
            self.add_problem(title, name, text, _describe(kind))


def read_ini(text: str, name: str) -> IniFile:
    """Split INI text into sections, or raise `SettingsError`."""
    parser = configparser.ConfigParser(interpolation=None, strict=True, default_section="\0")
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source=name)
    except configparser.Error as error:
        raise SettingsError((f"{name}: not INI: {' '.join(str(error).split())}",)) from error
    return IniFile(name, {title: dict(parser.items(title)) for title in parser.sections()})


def _resolve(hint: Any, kind: msgspec.inspect.Type) -> Any:
    match kind:
        case msgspec.inspect.VarTupleType():
            return tuple[str, ...]
        case msgspec.inspect.BoolType():
            return bool
        case msgspec.inspect.IntType(ge=ge, le=le):
            return Annotated[int, msgspec.Meta(ge=ge, le=le)]
        case msgspec.inspect.FloatType(ge=ge, le=le):
            return Annotated[float, msgspec.Meta(ge=ge, le=le)]
        case msgspec.inspect.LiteralType(values=values):
            return Literal[tuple(values)]
    return str


def _describe(kind: msgspec.inspect.Type) -> str:
    match kind:
        case msgspec.inspect.VarTupleType():
            return "a list separated by commas"
        case msgspec.inspect.BoolType():
            return "yes or no"
        case msgspec.inspect.IntType(ge=ge, le=le):
            return "a whole number" + _describe_range(ge, le)
        case msgspec.inspect.FloatType(ge=ge, le=le):
            return "a number" + _describe_range(ge, le)
        case msgspec.inspect.LiteralType(values=values):
            return " or ".join(str(value) for value in values)
    return "text"


def _describe_range(ge: float | None, le: float | None) -> str:
    if ge is None and le is None:
        return ""
    return f" from {ge} to {le}" if le is not None else f" of at least {ge}"
