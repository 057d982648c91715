"""Whole numbers in headers of callers and replicas, who may send any text."""

from __future__ import annotations

import re

NUMBER = re.compile(r"\s*([0-9]{1,15})\s*", re.ASCII)
MAX_NUMBER = 10**15 - 1


def read_number(text: str, largest: int = MAX_NUMBER) -> int | None:
    """Return a number from 0 to `largest`, None if a text holds no such number."""
    match = NUMBER.fullmatch(text)
    number = int(match[1]) if match else largest + 1
    return number if number <= largest else None


def read_numbers(text: str, count: int, largest: int) -> tuple[int, ...] | None:
    """Return `count` numbers that are separated by commas, None if a text holds anything else."""
    numbers = [read_number(part, largest) for part in text.split(",")]
    known = tuple(number for number in numbers if number is not None)
    return known if len(known) == len(numbers) == count else None
