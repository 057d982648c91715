"""Client of the platform's list of live and leaving VMs.

Source: Compute Engine API reference, ``instances.list`` (items, status, zone, metadata).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from hibiscustray.exceptions import StoreUnavailable, UpstreamConnectionLost, UpstreamUnreachable
from hibiscustray.web import HttpClient

RUNNING = "RUNNING"
PEER_KEY = "hibiscustray-peer"
"""Metadata key under which a VM's slot publishes its peer address, as ``IP:port``."""


@dataclass(frozen=True)
class VirtualMachine:
    """One VM of the list, with the peer address of its slot."""

    name: str
    is_running: bool
    availability_zone: str
    peer_address: str


class MachineList:
    """Reads the list, which lags behind the truth."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._http = HttpClient(url, timeout_s)

    def read(self) -> list[VirtualMachine]:
        """Return the VMs that have a slot; raise `StoreUnavailable`."""
        try:
            reply = self._http.call("GET", "/instances")
            items = msgspec.json.decode(reply.body).get("items", [])
        except (UpstreamUnreachable, UpstreamConnectionLost, msgspec.DecodeError) as error:
            raise StoreUnavailable(str(error)) from error
        machines = [_decode_machine(item) for item in items]
        return [machine for machine in machines if machine.peer_address]

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()


def _decode_machine(item: dict[str, Any]) -> VirtualMachine:
    entries = item.get("metadata", {}).get("items", [])
    metadata = {entry["key"]: entry["value"] for entry in entries}
    return VirtualMachine(
        name=item["name"],
        is_running=item.get("status") == RUNNING,
        availability_zone=item.get("zone", ""),
        peer_address=metadata.get(PEER_KEY, ""),
    )
