"""Tests of the daemon's settings."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtally.errors import EXIT_SETTINGS_INVALID, SettingsInvalid
from balsamtally.settings import list_settings, read_settings

SECRET = "5e" * 16
VALID = {
    "vm": "rocha-a-1",
    "domain": "rocha-a",
    "region": "uy-east",
    "link_key": SECRET,
    "plain_links": "yes",
}
FAULTS = {
    "vm": "a b",
    "domain": "",
    "caller_address": "localhost:8080",
    "peer_address": "10.0.0.7",
    "operator_address": "127.0.0.1:65536",
    "platform_address": "[::1]:0",
    "link_key": "5e" * 15,
    "plain_links": "maybe",
    "grace_s": "nan",
    "max_requests": "0",
    "max_body_bytes": "1e6",
    "colour": "blue",
}
NO_KEY = {"link_key": "", "plain_links": "no"}
values_by_source = st.lists(st.none() | st.integers(1, 9000), min_size=2, max_size=2)


def read_environ(values):
    return read_settings([], {f"BALSAMTALLY_{name.upper()}": text for name, text in values.items()})


@settings(max_examples=40)
@given(values_by_source)
def test_flag_precedes_variable_and_variable_precedes_default(values):
    flag, variable = values
    argv = [] if flag is None else ["--max-requests", str(flag)]
    environ = {f"BALSAMTALLY_{name.upper()}": text for name, text in VALID.items()}
    if variable is not None:
        environ["BALSAMTALLY_MAX_REQUESTS"] = str(variable)
    expected = next((value for value in (flag, variable) if value is not None), 2000)
    assert read_settings(argv, environ).max_requests == expected


@settings(max_examples=60)
@given(st.sets(st.sampled_from(sorted(FAULTS)), min_size=1))
def test_all_faults_are_reported_at_once(names):
    with pytest.raises(SettingsInvalid) as caught:
        read_environ(VALID | {name: FAULTS[name] for name in names})
    found = {line.split(":")[0] for line in str(caught.value).splitlines()}
    assert found == {"BALSAMTALLY_COLOUR" if name == "colour" else name for name in names}


@pytest.mark.parametrize(
    ("changed", "fault"),
    [
        ({"link_key": ""}, "link_key: required"),
        (dict.fromkeys(("tls_cert", "tls_key", "tls_ca"), __file__) | NO_KEY, "link_key: required"),
        ({"plain_links": "no"}, "plain_links: TLS is off"),
        ({"tls_cert": __file__, "plain_links": "no"}, "must be given together"),
        (dict.fromkeys(("tls_cert", "tls_key", "tls_ca"), __file__), "plain_links: must not"),
        ({"tls_cert": "/no/file"}, "tls_cert: no file"),
        ({"link_key": "salt" * 8}, "link_key: not hexadecimal"),
        ({"peer_address": "127.0.0.1:8080"}, "peer_address: 127.0.0.1:8080 is taken by caller"),
    ],
)
def test_links_are_authenticated_and_listeners_differ(changed, fault):
    with pytest.raises(SettingsInvalid, match=fault):
        read_environ(VALID | changed)


def test_check_prints_settings_without_the_key_and_exits(capsys):
    flags = [
        text
        for name, value in VALID.items()
        if name != "plain_links"
        for text in ("--" + name.replace("_", "-"), value)
    ]
    with pytest.raises(SystemExit) as ended:
        read_settings([*flags, "--plain-links", "--check-settings"], {})
    assert ended.value.code == 0
    printed = capsys.readouterr().out
    assert "link_key = (set)" in printed and SECRET not in printed
    assert len(printed.splitlines()) == len(list_settings())
    with pytest.raises(SystemExit) as ended:
        read_settings(["--check-settings"], {})
    assert ended.value.code == EXIT_SETTINGS_INVALID
    assert "5 faults (code 4001)" in capsys.readouterr().err
