"""Team credentials: SHA-256 digests of bearer keys, loaded from a file."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from pathlib import Path

from hibiscustray.exceptions import CredentialRejected, SettingsError
from hibiscustray.settings import read_ini

SCHEME = "Bearer "


class TeamCredentials:
    """Identifies teams by the digest of their key."""

    def __init__(self, digests: Mapping[str, str]) -> None:
        self._teams = {digest: team for team, digest in digests.items()}

    def identify(self, authorization: str) -> str:
        """Return the team of a bearer key; raise `CredentialRejected`."""
        if not authorization.startswith(SCHEME):
            raise CredentialRejected("the Authorization header has no bearer key")
        digest = hash_key(authorization[len(SCHEME) :].strip())
        for known, team in self._teams.items():
            if hmac.compare_digest(known, digest):
                return team
        raise CredentialRejected("the bearer key is unknown")


def hash_key(key: str) -> str:
    """Return the hexadecimal SHA-256 digest that is stored for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def load_teams(path: str) -> TeamCredentials:
    """Read ``[teams]`` with one ``team = digest`` line per team; raise `SettingsError`."""
    try:
        ini = read_ini(Path(path).read_text(), path)
    except OSError as error:
        raise SettingsError(
            (f"[security] teams: found {path!r}; allowed: a file: {error}",)
        ) from error
    return TeamCredentials(ini.sections.get("teams", {}))
