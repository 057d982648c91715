"""Signatures of revisions: an HMAC with the operator's key over the revision's digest."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from pathlib import Path
from typing import Protocol

from hibiscustray.exceptions import SettingsError
from hibiscustray.settings import read_ini, read_text


class SignedChange(Protocol):
    """A change with its operator, digest and signature."""

    operator: str
    signature: str

    @property
    def digest(self) -> str:
        """Return the digest that was signed."""


class OperatorKeys:
    """The keys of all operators, for processes that verify signatures."""

    def __init__(self, keys: Mapping[str, str]) -> None:
        self._keys = {name: key.encode() for name, key in keys.items()}

    def is_signed_by_operator(self, change: SignedChange) -> bool:
        """Return whether a change has a valid signature of the operator that it names."""
        key = self._keys.get(change.operator)
        if key is None:
            return False
        expected = sign_change(key, change.operator, change.digest)
        return hmac.compare_digest(expected.encode(), change.signature.encode())


def sign_change(key: bytes, operator: str, digest: str) -> str:
    """Return the hex signature of a change."""
    return hmac.new(key, f"{operator}\n{digest}".encode(), hashlib.sha256).hexdigest()


def load_operator_keys(path: str) -> OperatorKeys | None:
    """Read ``name = key`` lines from the ``[operators]`` section; return None without a path."""
    if not path:
        return None
    ini = read_ini(read_text(Path(path)), path)
    ini.reject_unknown_sections({"operators"}, set())
    keys = ini.sections.get("operators", {})
    for name, key in keys.items():
        if not key:
            ini.add_problem("operators", name, key, "a key")
    if not keys:
        raise SettingsError((f"{path}: [operators] section: found nothing; allowed: name = key",))
    ini.raise_problems()
    return OperatorKeys(keys)
