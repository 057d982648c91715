"""Statements of replicas, as they are read from their responses."""

from __future__ import annotations

import pytest

from hibiscustray.replicas import ReplicaNotice, read_notice


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        (" 0.25 ", 0.25),
        ("0", 0.0),
        ("86400", 86400.0),
        ("9" * 400, float("inf")),
        ("9" * 60000, float("inf")),
    ],
)
def test_pushback_is_a_decimal_number_of_seconds(text, seconds):
    assert read_notice(None, text) == ReplicaNotice(pushback_s=seconds)


@pytest.mark.parametrize(
    "text",
    ["-1", "1e3", "nan", "inf", "1, 2", "1;2", "+1", "1.", "0x1", "Fri, 04 Dec 2026 16:00:00 GMT"],
)
def test_pushback_that_is_no_decimal_number_is_malformed(text):
    assert read_notice(None, text) == ReplicaNotice(malformed_pushback=text)


def test_empty_values_are_malformed_and_absent_ones_are_not():
    assert read_notice("", "") == ReplicaNotice(malformed="empty", malformed_pushback="empty")
    assert read_notice(None, None) == ReplicaNotice()
