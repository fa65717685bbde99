"""Tests of the platform's settings file and of the daemon's own settings."""

import pytest
import yaml

from balsamtally.errors import SettingsInvalid
from balsamtally.gateway_settings import DEFAULT_CHANGE_BOUND_S, DEFAULT_HEARTBEAT_S
from balsamtally.platform.settings import (
    OwnSettings,
    find_path,
    find_stamp,
    read_own_settings,
    read_settings,
)

EXAMPLE = """
node_name: "edge-rocha-a-1"
role: "my-edge"
serves: ["edge", "control_plane"]
ip: "10.1.0.40"
zone: "rocha-a"
region: "uy-east"
zones: {rocha-a: "uy-east", mvd-a: "uy-south", poa-a: "br-south"}
listen: {http: "10.1.0.40:8227", readiness: "10.1.0.40:8220", control_plane: "10.1.0.40:8229"}
internal_port_range: [7340, 7355]
seeds: ["10.1.0.40:8229", "10.2.0.29:8229"]
heartbeat_ms: 1200
bounds: {grace_s: 8, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra_retries: 56}
platform: {address: "10.200.1.7:8223", form: "read", reads_per_s: 2000}
something_new: {a: 1}
"""

BOUNDS = yaml.safe_load(EXAMPLE)["bounds"]
ODD_AMOUNTS = [float("nan"), float("inf"), -1, 10**400]


def write(tmp_path, change=None):
    fields = yaml.safe_load(EXAMPLE)
    for name, value in (change or {}).items():
        if value is None:
            del fields[name]
        else:
            fields[name] = value
    path = tmp_path / "node.yaml"
    path.write_text(yaml.safe_dump(fields))
    return str(path)


def test_example_is_read(tmp_path):
    settings = read_settings(write(tmp_path))
    assert settings.caller_address == ("10.1.0.40", 8227)
    assert settings.peer_address == ("10.1.0.40", 7340)
    assert settings.seeds == ("10.1.0.40", "10.2.0.29")
    assert settings.regions["mvd-a"] == "uy-south" and settings.grace_s == 8.0
    assert settings.budget.allowance == 56.0
    assert read_settings(write(tmp_path, {"seeds": []})).seeds == ()
    assert settings.change_bound_s == DEFAULT_CHANGE_BOUND_S
    assert settings.heartbeat_s == 1.2
    unnamed = read_settings(write(tmp_path, {"heartbeat_ms": None}))
    assert unnamed.heartbeat_s == DEFAULT_HEARTBEAT_S
    assert (settings.cold_overage, settings.cold_slack) == (1.0, 0.0)


def test_shortest_bound_for_changes_is_read(tmp_path):
    bounds = BOUNDS | {"drain_ms": 5000, "config_apply_ms": 4000, "evacuate_ms": 4500}
    assert read_settings(write(tmp_path, {"bounds": bounds})).change_bound_s == 4.0
    bounds["evacuate_ms"] = 3000
    assert read_settings(write(tmp_path, {"bounds": bounds})).change_bound_s == 3.0
    with pytest.raises(SettingsInvalid):
        read_settings(write(tmp_path, {"bounds": bounds | {"revoke_ms": -1}}))


@pytest.mark.parametrize(
    "change",
    [
        {"ip": None},
        {"listen": {"http": "nowhere"}},
        {"zones": 3},
        {"internal_port_range": []},
        {"bounds": {"grace_s": "long"}},
        {"heartbeat_ms": "often"},
        {"platform": None},
        {"internal_port_range": [10**30]},
        {"internal_port_range": [float("inf")]},
        {"ip": "\u0661.1.0.40"},
        *({"bounds": BOUNDS | {name: value}} for name in BOUNDS for value in ODD_AMOUNTS),
    ],
)
def test_invalid_file_is_refused(tmp_path, change):
    with pytest.raises(SettingsInvalid):
        read_settings(write(tmp_path, change))


def test_missing_or_unparsable_file_is_refused(tmp_path):
    with pytest.raises(SettingsInvalid):
        read_settings(str(tmp_path / "none"))
    broken = tmp_path / "broken"
    for data in (b"a: [", b"a: \xff", b"a: " + b"[" * 10_000, b"a: \x00"):
        broken.write_bytes(data)
        with pytest.raises(SettingsInvalid):
            read_settings(str(broken))
    with pytest.raises(SettingsInvalid):
        find_path({})
    assert find_stamp(str(tmp_path / "none")) == (0, 0) != find_stamp(str(broken))


def test_flag_overrides_variable_and_variable_overrides_default():
    variables = {"BALSAMTALLY_METRICS_PORT": "9000"}
    assert read_own_settings([], {}) == OwnSettings(0, False)
    assert read_own_settings([], variables).metrics_port == 9000
    assert read_own_settings(["--metrics-port", "9464"], variables).metrics_port == 9464
    assert read_own_settings(["--metrics-port=1", "--check-settings"], {}) == OwnSettings(1, True)


@pytest.mark.parametrize(
    "argv", [["--metrics-port"], ["--metrics-port", "x"], ["--metrics-port", "70000"], ["--other"]]
)
def test_invalid_flags_are_refused(argv):
    with pytest.raises(SettingsInvalid):
        read_own_settings(argv, {})


def test_bounds_of_cold_servers(tmp_path):
    """Guards against cold servers that get more requests than they tolerate."""
    bounds = BOUNDS | {"cold_overage": 1.5, "cold_slack": 5}
    settings = read_settings(write(tmp_path, {"bounds": bounds}))
    assert (settings.cold_overage, settings.cold_slack) == (1.5, 5.0)
    with pytest.raises(SettingsInvalid):
        read_settings(write(tmp_path, {"bounds": bounds | {"cold_slack": -1}}))
