"""Writes the settings files of all processes of both examples; run it after every change here."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

ADDRESS = "127.0.0.1"
ENTRIES = 3
ORIGIN_MBIT_S = 400
VM_MBIT_S = 200
FOLDER = Path(__file__).parent


@dataclass(frozen=True)
class Example:
    """One deployment: zones, services with their numbers of replicas, and the first port."""

    name: str
    zones: tuple[str, ...]
    model_service: tuple[str, int]
    plain_services: tuple[tuple[str, int], ...]
    large_teams: tuple[str, ...]
    first_port: int
    is_secure: bool

    @property
    def services(self) -> tuple[tuple[str, int], ...]:
        """Return all services with their numbers of replicas."""
        return (self.model_service, *self.plain_services)

    @property
    def scheme(self) -> str:
        """Return the scheme of the entries' URLs."""
        return "https" if self.is_secure else "http"


TRUST = Example(
    name="trust",
    zones=("akl-a", "wlg-a", "chc-a"),
    model_service=("guide-llm", 5),
    plain_services=(("booking", 3), ("roster", 1)),
    large_teams=("station-hosts", "members"),
    first_port=21000,
    is_secure=False,
)
CAIRNBEAM = Example(
    name="cairnbeam",
    zones=("highland-a", "central-a", "borders-a"),
    model_service=("kit-llm", 6),
    plain_services=(("yard-desk", 3), ("partner-ledger", 1)),
    large_teams=("self-builders", "architects"),
    first_port=22000,
    is_secure=True,
)

Sections = dict[str, dict[str, object]]


def write_example(example: Example) -> None:
    """Write all settings files of one example."""
    folder = FOLDER / example.name / "settings"
    folder.mkdir(parents=True, exist_ok=True)
    vms: dict[str, tuple[str, str]] = {}
    engines, services = [], []
    for index, (service, name) in enumerate(list_replicas(example)):
        zone = example.zones[index % len(example.zones)]
        upstream_port = example.first_port + 300 + index
        is_model = service == example.model_service[0]
        (engines if is_model else services).append(f"http://{ADDRESS}:{upstream_port}")
        write_sections(
            folder / f"{'engine' if is_model else 'service'}-{name}.ini",
            make_upstream(example, upstream_port, is_model),
        )
        write_sections(
            folder / f"agent-{name}.ini", make_agent(example, index, zone, service, name)
        )
        vms[name] = (zone, f"{ADDRESS}:{example.first_port + 200 + index}")
    for index in range(ENTRIES):
        zone = example.zones[index % len(example.zones)]
        write_sections(folder / f"entry-{index}.ini", make_entry(example, index, zone))
        vms[f"entry-{index}"] = (zone, f"{ADDRESS}:{example.first_port + 20 + index}")
    write_sections(folder / "platform.ini", make_platform(example, vms))
    write_sections(folder / "operator.ini", make_operator(example))
    write_sections(folder / "callers.ini", make_callers(example, engines, services))


def list_replicas(example: Example) -> list[tuple[str, str]]:
    """Return the service and the name of every replica."""
    return [
        (service, f"{service}-{index}")
        for service, count in example.services
        for index in range(count)
    ]


def make_process(
    example: Example, name: str, zone: str, http_port: int, peer_port: int
) -> Sections:
    """Return the sections that entries and agents share."""
    url = f"http://{ADDRESS}:{example.first_port}"
    origin = f"http://{ADDRESS}:{example.first_port + 1}"
    return {
        "process": {
            "id": name,
            "availability_zone": zone,
            "region": zone.removesuffix("-a"),
            "address": ADDRESS,
            "http_port": http_port,
            "peer_port": peer_port,
        },
        "platform": {
            "table_url": url,
            "object_url": url,
            "machines_url": url,
            "origin_url": origin,
        },
        "security": {"operators": "../run/operators.ini"} | make_security(example),
    }


def make_security(example: Example) -> dict[str, object]:
    """Return the files for HTTPS and for mutual TLS between processes, if the example uses them."""
    if not example.is_secure:
        return {}
    return {
        "peer_certificate": "../run/process.pem",
        "peer_key": "../run/process.key",
        "peer_authority": "../run/authority.pem",
        "http_certificate": "../run/process.pem",
        "http_key": "../run/process.key",
    }


def make_agent(example: Example, index: int, zone: str, service: str, name: str) -> Sections:
    """Return an agent's settings."""
    first = example.first_port
    sections = make_process(example, name, zone, first + 100 + index, first + 200 + index)
    sections["upstream"] = {"url": f"http://{ADDRESS}:{first + 300 + index}", "service": service}
    sections["links"] = {
        "up_mbit_s": VM_MBIT_S,
        "down_mbit_s": VM_MBIT_S,
        "cache_mib": 256,
    }
    return sections


def make_entry(example: Example, index: int, zone: str) -> Sections:
    """Return an entry's settings."""
    first = example.first_port
    sections = make_process(example, f"entry-{index}", zone, first + 10 + index, first + 20 + index)
    sections["security"] |= {"teams": "../run/teams.ini"}
    return sections


def make_upstream(example: Example, port: int, is_model: bool) -> Sections:
    """Return the settings of a stand-in engine or plain service."""
    settings: dict[str, object] = {"address": ADDRESS, "port": port}
    if is_model and example.is_secure:
        settings["http_authority"] = "../run/authority.pem"
    return {"standin": settings}


def make_platform(example: Example, vms: dict[str, tuple[str, str]]) -> Sections:
    """Return the settings of the stand-in platform with its files and VMs."""
    sections: Sections = {
        "standin": {
            "address": ADDRESS,
            "port": example.first_port,
            "origin_port": example.first_port + 1,
            "origin_mbit_s": ORIGIN_MBIT_S,
        },
        "file model/1": {"file": "../run/model-1.bin"},
        "file model/2": {"file": "../run/model-2.bin"},
    }
    for name, (zone, address) in vms.items():
        sections[f"machine {name}"] = {"availability_zone": zone, "peer_address": address}
    return sections


def make_operator(example: Example) -> Sections:
    """Return the operator's settings."""
    url = f"http://{ADDRESS}:{example.first_port}"
    security = make_security(example)
    return {
        "operator": {"name": "example", "key_file": "../run/operator.key"},
        "platform": {"table_url": url, "object_url": url, "machines_url": url},
        "security": {key: security[key] for key in security if key.startswith("peer_")},
    }


def make_callers(example: Example, engines: list[str], services: list[str]) -> Sections:
    """Return the settings of the stand-in for callers."""
    first = example.first_port + 10
    settings: dict[str, object] = {
        "entries": ", ".join(f"{example.scheme}://{ADDRESS}:{first + i}" for i in range(ENTRIES)),
        "keys": "../run/keys.ini",
        "model_service": example.model_service[0],
        "plain_services": ", ".join(name for name, _ in example.plain_services),
        "engines": ", ".join(engines),
        "services": ", ".join(services),
        "platform": f"http://{ADDRESS}:{example.first_port}",
        "large_teams": ", ".join(example.large_teams),
    }
    if example.is_secure:
        settings["http_authority"] = "../run/authority.pem"
    return {"standin": settings}


def write_sections(path: Path, sections: Sections) -> None:
    """Write one INI file."""
    blocks = [
        "\n".join([f"[{title}]", *(f"{key} = {value}" for key, value in values.items())])
        for title, values in sections.items()
        if values
    ]
    path.write_text("\n\n".join(blocks) + "\n")


if __name__ == "__main__":
    write_example(TRUST)
    write_example(CAIRNBEAM)
