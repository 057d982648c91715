"""Client of the platform's list of VMs that run or are being stopped.

Source: Compute Engine API reference, ``instances.list`` (items, status, zone, metadata).
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from hibiscustray.decoding import DECODE_ERRORS
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
"""Metadata key under which the process on a VM publishes its peer address, as ``IP:port``."""


@dataclass(frozen=True)
class VirtualMachine:
    """A VM of the list, with the peer address of its process."""

    name: str
    is_running: bool
    availability_zone: str
    peer_address: str


class _MetadataItem(msgspec.Struct, frozen=True):
    key: str
    value: str = ""


class _Metadata(msgspec.Struct, frozen=True):
    items: tuple[_MetadataItem, ...] = ()


class _Instance(msgspec.Struct, frozen=True):
    name: str
    status: str = ""
    zone: str = ""
    metadata: _Metadata = _Metadata()


class _InstanceList(msgspec.Struct, frozen=True):
    items: tuple[_Instance, ...] = ()


class VmList:
    """Reads the platform's list of VMs, which may be out of date."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._http = HttpClient(url, timeout_s)

    def read(self) -> list[VirtualMachine]:
        """Return the VMs with a peer address; raise `StoreUnavailable` or `RecordInvalid`."""
        try:
            response = self._http.call("GET", "/instances")
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise StoreUnavailable(str(error)) from error
        if response.status != HTTP_OK:
            raise StoreUnavailable(f"VM list returned HTTP status {response.status}")
        vms = [_decode_instance(item) for item in _decode_list(response.body).items]
        return [vm for vm in vms if vm.peer_address]

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()


def _decode_list(body: bytes) -> _InstanceList:
    try:
        return msgspec.json.decode(body, type=_InstanceList)
    except DECODE_ERRORS as error:
        raise RecordInvalid(f"cannot decode VM list: {error}") from error


def _decode_instance(instance: _Instance) -> VirtualMachine:
    metadata = {item.key: item.value for item in instance.metadata.items}
    return VirtualMachine(
        name=instance.name,
        is_running=instance.status == RUNNING,
        availability_zone=instance.zone,
        peer_address=metadata.get(PEER_KEY, ""),
    )
