"""Generates new keys, certificates and weights for an example in its run folder."""

from __future__ import annotations

import hashlib
import runpy
import secrets
import sys
from pathlib import Path

import trustme

MIB = 1024 * 1024
WEIGHTS_MIB = 16
KEY_B = 24
ADDRESS = "127.0.0.1"


def make_secrets(example: Path) -> None:
    """Write all files to which the example's settings refer into its run folder."""
    run = example / "run"
    run.mkdir(exist_ok=True, mode=0o700)
    teams = runpy.run_path(str(example / "deployment.py"))["TEAMS"]
    keys = {team.name: secrets.token_urlsafe(KEY_B) for team in teams}
    digests = {team: hashlib.sha256(key.encode()).hexdigest() for team, key in keys.items()}
    write_pairs(run / "keys.ini", "keys", keys)
    write_pairs(run / "teams.ini", "teams", digests)
    operator_key = secrets.token_urlsafe(KEY_B)
    (run / "operator.key").write_text(operator_key + "\n")
    write_pairs(run / "operators.ini", "operators", {"example": operator_key})
    make_certificates(run)
    for number in (1, 2):
        make_weights(run / f"model-{number}.bin", number)


def make_certificates(run: Path) -> None:
    """Write a certificate authority and one certificate, which all processes use."""
    authority = trustme.CA()
    certificate = authority.issue_cert(ADDRESS)
    authority.cert_pem.write_to_path(run / "authority.pem")
    certificate.private_key_pem.write_to_path(run / "process.key")
    chain = b"".join(part.bytes() for part in certificate.cert_chain_pems)
    (run / "process.pem").write_bytes(chain)


def make_weights(path: Path, number: int) -> None:
    """Write a weights file whose bytes depend on its number."""
    with path.open("wb") as out:
        for index in range(WEIGHTS_MIB):
            out.write(hashlib.shake_128(f"{number}/{index}".encode()).digest(MIB))


def write_pairs(path: Path, section: str, pairs: dict[str, str]) -> None:
    """Write one INI section."""
    lines = [f"[{section}]", *(f"{name} = {value}" for name, value in pairs.items())]
    path.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    make_secrets(Path(sys.argv[1]))
