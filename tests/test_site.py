"""Test of the demo over loopback: deployment, requests and the rollout of a second version."""

from __future__ import annotations

import msgspec
from click.testing import CliRunner

from hibiscustray.__main__ import cli


def test_demo_counts_no_faults(tmp_path):
    weights = tmp_path / "weights.bin"
    weights.write_bytes(bytes(range(256)) * 16384)
    result = CliRunner().invoke(cli, ["demo", "--json", "--seed", "7", "--weights", str(weights)])
    report = msgspec.json.decode(result.stdout)
    assert result.exit_code == 0, result.output
    assert report["replicas_serving"] == 6
    assert (report["cut"], report["mixed"], report["run_twice"]) == (0, 0, 0)
    assert report["answered"] > 0
