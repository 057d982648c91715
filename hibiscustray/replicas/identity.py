"""Ids and addresses that a replica can have, in rows that may be another writer's."""

from __future__ import annotations

import ipaddress

from hibiscustray.exceptions import RecordInvalid

MAX_PORT_DIGITS = 5
MAX_PORT = 65535


def check_id(replica_id: str) -> None:
    """Raise `RecordInvalid` for an id that cannot be sent in a header."""
    if not replica_id or not (replica_id.isascii() and replica_id.isprintable()):
        raise RecordInvalid(f"the id {replica_id[:60]!r} cannot be sent in a header")


def check_address(address: str) -> None:
    """Raise `RecordInvalid` for an address that is not IP:port of one machine."""
    host, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    try:
        ip = ipaddress.IPv4Address(host)
        is_machine = not (ip.is_unspecified or ip.is_multicast or ip.is_reserved)
    except ValueError:
        is_machine = False
    if not is_port or not is_machine or not 0 < int(port) <= MAX_PORT:
        raise RecordInvalid(f"address {address[:60]!r} does not have the form IP:port")
