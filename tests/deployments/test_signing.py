"""Processes with operator keys adopt only revisions signed with the operator's own key."""

from __future__ import annotations

import msgspec
import pytest

from hibiscustray.deployments import Configuration, OperatorKeys, Revision, sign_change
from hibiscustray.deployments.signing import load_operator_keys
from hibiscustray.exceptions import SettingsError

KEYS = OperatorKeys({"alice": "key-a", "bob": "key-b"})
UNSIGNED = Revision(1, "[deployment]\nname = a\n", "alice", "change-1", 0.0)


def sign(revision: Revision, key: bytes) -> Revision:
    signature = sign_change(key, revision.operator, revision.digest)
    return msgspec.structs.replace(revision, signature=signature)


def test_signed_revision_is_adopted():
    assert Configuration(KEYS).adopt(sign(UNSIGNED, b"key-a"))


@pytest.mark.parametrize(
    "revision",
    [
        UNSIGNED,
        sign(UNSIGNED, b"key-b"),
        msgspec.structs.replace(sign(UNSIGNED, b"key-a"), text="[deployment]\nname = b\n"),
        msgspec.structs.replace(sign(UNSIGNED, b"key-a"), operator="bob"),
        msgspec.structs.replace(sign(UNSIGNED, b"key-a"), number=2),
        sign(msgspec.structs.replace(UNSIGNED, operator="mallory"), b""),
    ],
)
def test_revision_without_valid_signature_is_rejected(revision):
    configuration = Configuration(KEYS)
    assert not configuration.adopt(revision)
    assert configuration.number == 0


def test_empty_operator_key_raises_settings_error(tmp_path):
    file = tmp_path / "operators.ini"
    file.write_text("[operators]\nalice =\n")
    with pytest.raises(SettingsError):
        load_operator_keys(str(file))
