"""Settings: the file that the platform writes, and the daemon's own flags and variables."""

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import yaml

from balsamtally.budgets import BudgetRule
from balsamtally.decoding import DECODING_ERRORS
from balsamtally.errors import SettingsInvalid
from balsamtally.gateway_settings import (
    DEFAULT_CHANGE_BOUND_S,
    DEFAULT_COLD_OVERAGE,
    DEFAULT_COLD_SLACK,
    DEFAULT_HEARTBEAT_S,
    DEFAULT_MEMORY_MB,
    GatewaySettings,
)
from balsamtally.sockets import parse_address

VARIABLE = "BALSAMTALLY_NODE_FILE"
METRICS_FLAG = "--metrics-port"
METRICS_VARIABLE = "BALSAMTALLY_METRICS_PORT"
CHECK_FLAG = "--check-settings"
MAX_AMOUNT = 1e9
# Bounds for the effect of what is published: leaving servers, contracts, withdrawn keys,
# evacuated failure domains.
CHANGE_BOUNDS = ("drain_ms", "config_apply_ms", "revoke_ms", "evacuate_ms")


@dataclass(frozen=True)
class OwnSettings:
    """The daemon's own settings.

    :ivar metrics_port: additional port that serves metrics, 0 to serve them on the peer port only
    :ivar check_only: whether to check and print the settings and exit
    """

    metrics_port: int = 0
    check_only: bool = False


def read_own_settings(argv: Sequence[str], environ: Mapping[str, str]) -> OwnSettings:
    """Return the daemon's own settings.

    A flag takes precedence over its environment variable, and the variable over the default.

    :param argv: command-line arguments without the name of the program
    :param environ: environment variables
    :raises SettingsInvalid: if a flag is unknown or a value is invalid
    """
    texts = {METRICS_FLAG: environ.get(METRICS_VARIABLE, "0")}
    check_only = False
    words = list(argv)
    while words:
        flag, _, text = words.pop(0).partition("=")
        if flag == CHECK_FLAG and not text:
            check_only = True
        elif flag not in texts:
            raise SettingsInvalid(f"{flag} is not a flag of this program")
        else:
            texts[flag] = text or (words.pop(0) if words else "")
    port = texts[METRICS_FLAG]
    if not port.isdecimal() or int(port) > 65_535:
        raise SettingsInvalid(f"{METRICS_FLAG}: {port!r} is not a port")
    return OwnSettings(int(port), check_only)


def find_path(environ: Mapping[str, str]) -> str:
    """Return the path of the settings file.

    :param environ: environment variables
    :raises SettingsInvalid: if the environment variable isn't set
    """
    path = environ.get(VARIABLE, "")
    if not path:
        raise SettingsInvalid(f"{VARIABLE} is not set")
    return path


def read_settings(path: str) -> GatewaySettings:
    """Read the settings file; unknown fields are ignored.

    :param path: path of the file
    :raises SettingsInvalid: if the file can't be read, or a field is missing or invalid
    """
    try:
        with open(path, encoding="utf-8") as file:
            fields = yaml.safe_load(file)
        return make_settings(fields)
    except (OSError, ValueError, RecursionError, yaml.YAMLError) as error:
        raise SettingsInvalid(f"{path}: {error}") from error


def make_settings(fields: Mapping) -> GatewaySettings:
    """Build the settings from the fields of the file.

    :param fields: the fields
    :raises SettingsInvalid: if a field is missing or invalid
    """
    try:
        bounds = fields["bounds"]
        listen = fields["listen"]
        ip = str(fields["ip"])
        first_port = int(fields["internal_port_range"][0])
        limits = fields.get("limits") or {}
        return GatewaySettings(
            vm=str(fields["node_name"]),
            domain=str(fields["zone"]),
            regions={str(zone): str(region) for zone, region in fields["zones"].items()},
            caller_address=parse_address(listen["http"]),
            ready_address=parse_address(listen["readiness"]),
            peer_address=parse_address(f"{ip}:{first_port}"),
            relay_address=parse_address(f"{ip}:{first_port + 1}"),
            seeds=tuple(parse_address(seed)[0] for seed in fields.get("seeds") or ()),
            platform_address=parse_address(fields["platform"]["address"]),
            grace_s=read_amount(bounds["grace_s"]),
            budget=BudgetRule(
                ratio=read_amount(bounds["retry_budget_ratio"]),
                allowance=read_amount(bounds["budget_extra_retries"]),
                window_s=read_amount(bounds["budget_window_s"]),
            ),
            change_bound_s=read_change_bound_s(bounds),
            heartbeat_s=read_amount(fields.get("heartbeat_ms", 1000 * DEFAULT_HEARTBEAT_S)) / 1000,
            cold_overage=read_amount(bounds.get("cold_overage", DEFAULT_COLD_OVERAGE)),
            cold_slack=read_amount(bounds.get("cold_slack", DEFAULT_COLD_SLACK)),
            memory_mb=read_amount(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
            max_fds=read_amount(limits.get("max_fds", 0)),
        )
    except DECODING_ERRORS as error:
        raise SettingsInvalid(f"settings file: {type(error).__name__}: {error}") from error


def read_change_bound_s(bounds: Mapping) -> float:
    """Return the shortest bound for the effect of a published change, in seconds.

    :param bounds: the bounds in the settings file
    :raises ValueError: if one of them is no valid number
    """
    given_ms = [read_amount(bounds[name]) for name in CHANGE_BOUNDS if name in bounds]
    return min(given_ms, default=1000 * DEFAULT_CHANGE_BOUND_S) / 1000


def read_amount(value: object) -> float:
    """Return a number of a setting.

    :param value: the value in the file
    :raises ValueError: if it is no number, negative or larger than ``MAX_AMOUNT``
    """
    amount = float(value)
    if not 0 <= amount <= MAX_AMOUNT:
        raise ValueError(f"{amount} is not between 0 and {MAX_AMOUNT:g}")
    return amount


def find_stamp(path: str) -> tuple[int, int]:
    """Return modification time and inode, which change when a file is rewritten or replaced.

    :param path: path of the file
    :return: time in nanoseconds and inode, zeros if the file doesn't exist
    """
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_ino)
