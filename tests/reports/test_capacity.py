"""Tests of the capacity page."""

from __future__ import annotations

import msgspec
import pytest

from hibiscustray.exceptions import MeasurementMissing
from hibiscustray.reports.capacity import (
    Target,
    fit_distribution,
    read_measurements,
    render_capacity,
)

ROLE_USAGE = {"rss_mib": 40.0, "cpu_percent": 0.5, "cpu_us_per_token": 200.0}
NODE_USAGE = {"bytes_per_second": 900.0, "cpu_percent": 0.4, "rss_mib": 1.0}
STORE_RATES = {"store_reads_per_second": 3.0, "store_writes_per_second": 0.1}


def write_measurements(folder) -> None:
    roles = {
        f"{role}_{key}": value for role in ("entry", "agent") for key, value in ROLE_USAGE.items()
    }
    stream = {"streams": 4, "tokens_per_second": 9.0, "gap_p95_ms": 1.0, "first_token_p95_ms": 2.0}
    sizes = [{"nodes": n} | NODE_USAGE | STORE_RATES for n in (50, 100, 200)]
    configuration = {"nodes": 200, "sizes": sizes, "worked_out_at_target": sizes[-1]}
    configuration |= {f"{name}_seconds_in_force": 1.0 for name in ("p50", "p99", "max")}
    write(folder, "idle", roles)
    write(folder, "stream", roles | stream)
    write(folder, "configuration-200-none-1", configuration)
    for replicas, share in ((16, 0.54), (64, 0.56)):
        run = {"replicas": replicas, "regions": 1, "ratio_to_window": share, "origin_copies": 1.0}
        run |= {"agent_cpu_seconds_per_gib": 3.0, "messages_per_vm_per_second": 5.0}
        write(folder, f"weights-time-{replicas}", run | {"window_seconds": 60.0})


def write(folder, name: str, value) -> None:
    (folder / f"{name}.json").write_bytes(msgspec.json.encode(value))


def test_distribution_time_is_fitted_over_doublings():
    fit = fit_distribution([(16, 0.54), (64, 0.56)])
    assert fit.per_doubling == pytest.approx(0.01)
    assert fit.predict(256) == pytest.approx(0.58)


def test_the_page_is_rendered_for_the_target(tmp_path, snapshot):
    write_measurements(tmp_path)
    assert render_capacity(read_measurements(tmp_path), Target()) == snapshot


@pytest.mark.parametrize("name", ["idle", "stream", "configuration-200-none-1"])
def test_the_error_for_a_missing_measurement_names_the_command(tmp_path, name):
    write_measurements(tmp_path)
    (tmp_path / f"{name}.json").unlink()
    with pytest.raises(MeasurementMissing, match="run `"):
        read_measurements(tmp_path)
