"""Settings of the daemon, read from flags and environment variables."""

import inspect
import ipaddress
import os
import re
import sys
from collections.abc import Mapping, Sequence
from dataclasses import MISSING, dataclass, field, fields

import defopt
import msgspec

from balsamtally import __version__
from balsamtally.errors import EXIT_SETTINGS_INVALID, SettingsInvalid

PREFIX = "BALSAMTALLY_"
MIN_LINK_KEY_BYTES = 16
LISTENERS = ("caller_address", "peer_address", "operator_address")
TLS_FILES = ("tls_cert", "tls_key", "tls_ca")
RANGES = {
    "grace_s": (0.0, 3600.0),
    "leave_notice_s": (0.0, 600.0),
    "max_requests": (1, 100_000),
    "max_body_bytes": (1_000, 64_000_000),
    "max_bodies_bytes": (1_000_000, 1_000_000_000),
}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_TRUE = {"1", "true", "yes", "on"}
_FALSE = {"0", "false", "no", "off"}


def _setting(unit: str, meaning: str, default: object = MISSING) -> object:
    """Return a field of Settings with its unit and meaning as metadata."""
    return field(default=default, metadata={"unit": unit, "meaning": meaning})


@dataclass(frozen=True)
class Settings:
    """Settings of an entry VM; docs/SETTINGS.md lists the metadata of the fields."""

    vm: str = _setting("name", "name of the VM")
    domain: str = _setting("name", "failure domain of the VM")
    region: str = _setting("name", "region of the failure domain")
    caller_address: str = _setting("IP:port", "listener for callers", "127.0.0.1:8080")
    peer_address: str = _setting("IP:port", "listener for other daemons", "127.0.0.1:8081")
    operator_address: str = _setting("IP:port", "listener for operators", "127.0.0.1:8082")
    platform_address: str = _setting(
        "IP:port", "the platform's configuration service", "127.0.0.1:8500"
    )
    link_key: str = _setting(
        "hexadecimal", "shared key of the fleet, for peer links and receipts; required", ""
    )
    tls_cert: str = _setting("path", "certificate for the peer links; empty: TLS is off", "")
    tls_key: str = _setting("path", "private key of the certificate", "")
    tls_ca: str = _setting("path", "CA certificates that verify the peers' certificates", "")
    plain_links: bool = _setting("true/false", "allow peer links without TLS", False)
    grace_s: float = _setting(
        "seconds", "longest time that a leaving VM waits for its requests", 30.0
    )
    leave_notice_s: float = _setting(
        "seconds", "time for which a leaving VM, reported as not ready, still accepts requests", 2.0
    )
    place_models: bool = _setting(
        "true/false", "whether placement decides which models the model runners load", False
    )
    max_requests: int = _setting(
        "requests", "most requests held at a time, counted over a tier and all higher tiers", 2000
    )
    max_body_bytes: int = _setting("bytes", "largest body of a request", 1_000_000)
    max_bodies_bytes: int = _setting("bytes", "most bytes of bodies held at a time", 64_000_000)


class SettingRow(msgspec.Struct, frozen=True):
    """One row of the table of settings.

    :ivar name: name of the field
    :ivar flag: command-line flag
    :ivar variable: environment variable
    :ivar unit: unit or format of the value
    :ivar default: default as text, ``None`` where the setting is required
    :ivar meaning: description of the setting
    """

    name: str
    flag: str
    variable: str
    unit: str
    default: str | None
    meaning: str


def list_settings() -> list[SettingRow]:
    """Return the table of settings.

    :return: a row for each field of :class:`Settings`
    """
    return [
        SettingRow(
            name=item.name,
            flag="--" + item.name.replace("_", "-"),
            variable=PREFIX + item.name.upper(),
            unit=item.metadata.get("unit", ""),
            default=None if item.default is MISSING else _format_value(item.default),
            meaning=item.metadata.get("meaning", ""),
        )
        for item in fields(Settings)
    ]


def read_settings(argv: Sequence[str], environ: Mapping[str, str]) -> Settings:
    """Read and validate the settings.

    A flag takes precedence over the environment variable, and the variable over the default.
    With ``--check-settings``, prints the settings or their faults and exits.

    :param argv: command-line arguments without the program's name
    :param environ: environment variables
    :return: the validated settings
    :raises SettingsInvalid: if a setting is invalid; the message has a line for each fault
    :raises SystemExit: after ``--check-settings``, ``--help``, ``--version`` or an unknown flag
    """
    flags = _parse_flags(argv)
    check_only = flags.pop("check_settings")
    texts, faults = _collect_texts(flags, environ)
    values = _parse_values(texts, faults)
    faults += check_values(values)
    if check_only:
        _print_check_and_exit(values, faults)
    if faults:
        raise SettingsInvalid("\n".join(faults))
    return Settings(**values)


def check_values(values: Mapping[str, object]) -> list[str]:
    """Return the faults of parsed settings.

    :param values: values by name; missing names are skipped, since reported before
    :return: a message for each fault
    """
    faults = []
    for name in ("vm", "domain", "region"):
        if name in values and not _NAME.fullmatch(values[name]):
            faults.append(f"{name}: {values[name]!r} is not a name of letters, digits and . _ -")
    for name in (*LISTENERS, "platform_address"):
        if name in values:
            faults += _check_address(name, values[name])
    faults += _check_listeners_differ(values)
    faults += _check_links(values)
    for name, (low, high) in RANGES.items():
        if name in values and not low <= values[name] <= high:
            faults.append(f"{name}: {values[name]} is not between {low} and {high}")
    return faults


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    :param address: such as ``127.0.0.1:8080``
    :return: host without brackets, and port
    :raises ValueError: if the address has no port
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _parse_flags(argv: Sequence[str]) -> dict[str, str | None]:
    """Return the text of each flag, ``None`` where the flag wasn't given."""
    rows = list_settings()
    types = {row.name: str | None for row in rows}
    types["plain_links"] = bool | None

    def balsamtallyd(**given):
        return given

    parameters = [
        inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, default=None, annotation=kind)
        for name, kind in types.items()
    ]
    parameters.append(
        inspect.Parameter(
            "check_settings", inspect.Parameter.KEYWORD_ONLY, default=False, annotation=bool
        )
    )
    balsamtallyd.__signature__ = inspect.Signature(parameters)
    balsamtallyd.__annotations__ = {**types, "check_settings": bool}
    balsamtallyd.__doc__ = "Run an entry VM of balsamtally.\n\n" + "\n".join(
        [f":param {row.name}: {_describe_row(row)}" for row in rows]
        + [":param check_settings: print the settings in force or their faults, and exit"]
    )
    return defopt.run(
        balsamtallyd,
        argv=list(argv),
        short={},
        show_defaults=False,
        version=__version__,
        argparse_kwargs={"prog": "balsamtallyd", "allow_abbrev": False},
    )


def _describe_row(row: SettingRow) -> str:
    default = "required" if row.default is None else f"default: {row.default or 'empty'}"
    return f"{row.meaning} ({row.unit}; {row.variable}; {default})"


def _collect_texts(
    flags: Mapping[str, str | bool | None], environ: Mapping[str, str]
) -> tuple[dict[str, str], list[str]]:
    """Return the text of each given setting, and a message for each missing or unknown one."""
    rows = list_settings()
    texts = {}
    faults = []
    for row in rows:
        if flags[row.name] is not None:
            texts[row.name] = str(flags[row.name])
        elif row.variable in environ:
            texts[row.name] = environ[row.variable]
        elif row.default is None:
            faults.append(f"{row.name}: required; give {row.flag} or {row.variable}")
    known = {row.variable for row in rows}
    for variable in sorted(environ):
        if variable.startswith(PREFIX) and variable not in known:
            faults.append(f"{variable}: no such setting")
    return texts, faults


def _parse_values(texts: Mapping[str, str], faults: list[str]) -> dict[str, object]:
    """Return the typed values including defaults; append faults of conversion to ``faults``."""
    values = {}
    for item in fields(Settings):
        if item.name not in texts:
            if item.default is not MISSING:
                values[item.name] = item.default
            continue
        try:
            values[item.name] = _parse_value(item.type, texts[item.name])
        except ValueError:
            faults.append(f"{item.name}: {texts[item.name]!r} is not {item.type.__name__}")
    return values


def _parse_value(kind: type, text: str) -> object:
    if kind is bool:
        if text.lower() in _TRUE | _FALSE:
            return text.lower() in _TRUE
        raise ValueError(text)
    return kind(text)


def _check_address(name: str, address: str) -> list[str]:
    try:
        host, port = split_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        return [f"{name}: {address!r} is not an IP address and port such as 10.0.0.7:8080"]
    if not 1 <= port <= 65535:
        return [f"{name}: port {port} is not between 1 and 65535"]
    return []


def _check_listeners_differ(values: Mapping[str, object]) -> list[str]:
    faults = []
    seen = {}
    for name in LISTENERS:
        address = values.get(name)
        if address in seen:
            faults.append(f"{name}: {address} is taken by {seen[address]}")
        elif address is not None:
            seen[address] = name
    return faults


def _check_links(values: Mapping[str, object]) -> list[str]:
    """Check that peer links have a key, and TLS unless ``plain_links`` allows links without it."""
    faults = []
    paths = {name: values.get(name, "") for name in TLS_FILES}
    missing = [name for name, path in paths.items() if not path]
    if 0 < len(missing) < len(TLS_FILES):
        faults.append(f"{missing[0]}: {', '.join(TLS_FILES)} must be given together")
    for name, path in paths.items():
        if path and not os.path.isfile(path):
            faults.append(f"{name}: no file {path!r}")
    key = values.get("link_key", "")
    faults += _check_link_key(key)
    if len(missing) == len(TLS_FILES):
        if values.get("plain_links") is False:
            faults.append("plain_links: TLS is off; set plain_links to allow links without TLS")
    elif values.get("plain_links"):
        faults.append("plain_links: must not be set together with TLS")
    return faults


def _check_link_key(key: str) -> list[str]:
    if not key:
        return ["link_key: required, also with TLS; generate one with `balsamtally key link`"]
    try:
        size_bytes = len(bytes.fromhex(key))
    except ValueError:
        return ["link_key: not hexadecimal"]
    if size_bytes < MIN_LINK_KEY_BYTES:
        return [f"link_key: {size_bytes} bytes, fewer than {MIN_LINK_KEY_BYTES}"]
    return []


def _print_check_and_exit(values: Mapping[str, object], faults: Sequence[str]) -> None:
    """Print the settings in force or the faults, and exit the process."""
    if faults:
        for fault in faults:
            print(fault, file=sys.stderr)
        print(f"{len(faults)} faults (code {SettingsInvalid.code})", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS_INVALID)
    for name, value in values.items():
        print(f"{name} = {'(set)' if name == 'link_key' and value else _format_value(value)}")
    raise SystemExit(0)


def _format_value(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
