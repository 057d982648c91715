"""Client of the platform's list of VMs that run or are being stopped.

Source: Compute Engine API reference, ``instances.list`` (items, status, zone, metadata).
"""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import urlencode

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
MAX_PAGES = 100
"""Most pages of a list; a page has up to 500 VMs."""
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
    # The service leaves the field out if it has no VMs.
    items: tuple[_Instance, ...] = ()
    next_page_token: str = msgspec.field(default="", name="nextPageToken")


class VmList:
    """Reads the platform's list of VMs, which may be out of date."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._http = HttpClient(url, timeout_s)

    def read(self) -> list[VirtualMachine]:
        """Return the VMs with a peer address; raise `StoreUnavailable` or `RecordInvalid`."""
        instances: list[_Instance] = []
        page_token = ""
        for _ in range(MAX_PAGES):
            page = self._read_page(page_token)
            instances.extend(page.items)
            page_token = page.next_page_token
            if not page_token:
                vms = [_decode_instance(instance) for instance in instances]
                return [vm for vm in vms if vm.peer_address]
        raise StoreUnavailable(f"VM list has more than {MAX_PAGES} pages")

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    def _read_page(self, page_token: str) -> _InstanceList:
        query = f"?{urlencode({'pageToken': page_token})}" if page_token else ""
        try:
            response = self._http.call("GET", f"/instances{query}")
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise StoreUnavailable(str(error)) from error
        if response.status != HTTP_OK:
            raise StoreUnavailable(f"VM list returned HTTP status {response.status}")
        return _decode_list(response.body)


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
