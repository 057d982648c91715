"""Reads the sections of INI text into frozen data classes and collects all problems."""

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
    """The sections of an INI text and the problems found while reading them."""

    def __init__(self, name: str, sections: Mapping[str, Mapping[str, str]]) -> None:
        self.name = name
        self.sections = sections
        self.problems: list[str] = []

    def named_sections(self, prefix: str) -> dict[str, str]:
        """Map names to section titles, such as ``hosts`` to ``team hosts`` for prefix ``team``."""
        title_prefix = prefix + " "
        return {
            title[len(title_prefix) :].strip(): title
            for title in self.sections
            if title.startswith(title_prefix)
        }

    def read(self, title: str, section_type: type[Section], **preset_values: Any) -> Section | None:
        """Convert a section to a data class, or record its problems and return None.

        `preset_values` are field values that do not come from the section.
        """
        values = dict(self.sections.get(title, {}))
        problems_before = len(self.problems)
        converted: dict[str, Any] = dict(preset_values)
        fields = {
            f.name: f for f in dataclasses.fields(section_type) if f.name not in preset_values
        }
        field_infos = msgspec.inspect.type_info(section_type).fields
        types = {f.name: f.type for f in field_infos}
        for key in values:
            if key not in fields:
                self.add_problem(title, key, values[key], f"one of {', '.join(sorted(fields))}")
        for name, field in fields.items():
            if name in values:
                self._convert(title, name, values[name], field, types[name], converted)
            elif field.default is dataclasses.MISSING:
                self.add_problem(title, name, "nothing", _describe(types[name]))
        if len(self.problems) > problems_before:
            return None
        return section_type(**converted)

    def add_problem(self, title: str, key: str, found: str, allowed: str) -> None:
        """Record a problem with its file, section and key, the value found and what is allowed."""
        self.problems.append(f"{self.name}: [{title}] {key}: found {found!r}; allowed: {allowed}")

    def reject_unknown_sections(self, titles: set[str], prefixes: set[str]) -> None:
        """Record a problem for every section with neither a known title nor a known prefix."""
        for title in self.sections:
            first_word = title.split(" ", 1)[0]
            if title not in titles and not (" " in title and first_word in prefixes):
                allowed = sorted(titles) + [f"{prefix} NAME" for prefix in sorted(prefixes)]
                self.add_problem(title, "section", title, ", ".join(allowed))

    def raise_problems(self) -> None:
        """Raise `SettingsError` with all problems if there are any."""
        if self.problems:
            raise SettingsError(tuple(self.problems))

    def _convert(self, title, name, text, field, field_type, converted) -> None:
        hint = field.type
        raw: Any = text.strip()
        if isinstance(field_type, msgspec.inspect.VarTupleType):
            raw = tuple(part.strip() for part in raw.split(LIST_SEPARATOR) if part.strip())
        elif isinstance(field_type, msgspec.inspect.BoolType):
            raw = {"yes": True, "no": False, "true": True, "false": False}.get(raw.lower(), raw)
        try:
            converted[name] = msgspec.convert(raw, _resolve(hint, field_type), strict=False)
        except msgspec.ValidationError:
            self.add_problem(title, name, text, _describe(field_type))


def read_ini(text: str, name: str) -> IniFile:
    """Parse INI text into sections, or raise `SettingsError`."""
    parser = configparser.ConfigParser(interpolation=None, strict=True, default_section="\0")
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source=name)
    except configparser.Error as error:
        raise SettingsError(
            (f"{name}: cannot parse INI: {' '.join(str(error).split())}",)
        ) from error
    return IniFile(name, {title: dict(parser.items(title)) for title in parser.sections()})


def _resolve(hint: Any, field_type: msgspec.inspect.Type) -> Any:
    match field_type:
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


def _describe(field_type: msgspec.inspect.Type) -> str:
    match field_type:
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
