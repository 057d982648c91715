"""Client of the platform's list of live and leaving VMs.

Source: Compute Engine API reference, ``instances.list`` (items, status, zone, metadata).
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from hibiscustray.exceptions import (
    RecordInvalid,
    StoreUnavailable,
    UpstreamConnectionLost,
    UpstreamUnreachable,
)
from hibiscustray.web import HttpClient

RUNNING = "RUNNING"
HTTP_OK = 200
PEER_KEY = "hibiscustray-peer"
"""Metadata key under which a VM's slot publishes its peer address, as ``IP:port``."""


@dataclass(frozen=True)
class VirtualMachine:
    """One VM of the list, with the peer address of its slot."""

    name: str
    is_running: bool
    availability_zone: str
    peer_address: str


class _Entry(msgspec.Struct, frozen=True):
    key: str
    value: str = ""


class _Metadata(msgspec.Struct, frozen=True):
    items: tuple[_Entry, ...] = ()


class _Instance(msgspec.Struct, frozen=True):
    name: str
    status: str = ""
    zone: str = ""
    metadata: _Metadata = _Metadata()


class _InstanceList(msgspec.Struct, frozen=True):
    items: tuple[_Instance, ...] = ()


class VmList:
    """Reads the list, which lags behind the truth."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._http = HttpClient(url, timeout_s)

    def read(self) -> list[VirtualMachine]:
        """Return the VMs that have a slot; raise `StoreUnavailable` or `RecordInvalid`."""
        try:
            reply = self._http.call("GET", "/instances")
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise StoreUnavailable(str(error)) from error
        if reply.status != HTTP_OK:
            raise StoreUnavailable(f"VM list answered {reply.status}")
        machines = [_read_machine(item) for item in _decode_list(reply.body).items]
        return [machine for machine in machines if machine.peer_address]

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()


def _decode_list(body: bytes) -> _InstanceList:
    try:
        return msgspec.json.decode(body, type=_InstanceList)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordInvalid(f"unreadable VM list: {error}") from error


def _read_machine(instance: _Instance) -> VirtualMachine:
    metadata = {entry.key: entry.value for entry in instance.metadata.items}
    return VirtualMachine(
        name=instance.name,
        is_running=instance.status == RUNNING,
        availability_zone=instance.zone,
        peer_address=metadata.get(PEER_KEY, ""),
    )
