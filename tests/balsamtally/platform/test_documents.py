"""Tests of decoding store entries: examples from the platform's documents, malformed variants."""

import json

import h11
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from balsamtally.calls import Repeat
from balsamtally.catalog import Catalog
from balsamtally.platform.documents import DECODER, read_backend, read_contracts, read_sequence
from balsamtally.records import Record

CONFIG = json.loads("""{"version":7,"routes":[{"name":"r-2yhvz3p","hostname":"ficu95.example",
"path_prefix":"/lohu930/","type":"streaming","timeout_ms":5000,"target_latency_ms":1500,
"priority":2,"traffic_split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],
"max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":600},
{"name":"r-fi6y7z5","hostname":"ficu95.example","path_prefix":"/pufi791/","type":"streaming",
"timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"huvo11a","max_attempts":1,
"public":false,"sticky":true,"resumable":false,"gap_target_ms":250}],
"services":[{"name":"huvo11a","health_check":"/health","max_connections":370,"protocol":"h1",
"tls":false,"engine":{"slots":64,"kv_capacity_tokens":325133,"kv_token_bytes":18432,
"link_mbps":88000.0,"moves":true,"models":[{"name":"m"}]}},{"name":"wuno96b",
"health_check":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2c","anf"],"priority":1}]}""")
SERVER = json.loads("""{"service":"huvo11a","address":"10.128.0.9:8080","zone":"rocha-a",
"version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"phase":"hybrid","seq":4,
"models":[{"name":"m","version":1,"adapters":[]}]}""")


# Nested more deeply than the stack of the decoder, in a field that no document has.
DEEP = [b'{"extra":' + start * 100_000 for start in (b"[", b'{"a":')]

ODD_ROUTE_FIELDS = [
    *((name, 1e30) for name in ("timeout_ms", "target_latency_ms", "gap_target_ms")),
    *((name, -1) for name in ("timeout_ms", "priority", "max_attempts")),
    *((name, 10**30) for name in ("priority", "max_attempts")),
    *(("traffic_split", [{"service": "huvo11a", "weight": weight}]) for weight in (-1, 1e30)),
]


def encode(value):
    return json.dumps(value).encode()


def test_entries_are_ordered_by_version_or_by_start_and_count():
    assert read_sequence("op/config", encode(CONFIG)) == (7,)
    assert read_sequence("servers/a", encode(SERVER)) == (0, 4)
    assert read_sequence("servers/a", encode(SERVER | {"born": 9})) == (9, 4)
    assert read_sequence("servers/a", encode(SERVER | {"seq": "x"})) == ()
    assert read_sequence("op/config", b"{") == ()


def test_example_of_the_configuration():
    contracts = read_contracts(Record("op/config", 9, encode(CONFIG)))
    first, second = contracts.routes
    assert contracts.version == 7
    assert (first.repeat, second.repeat) == (Repeat.RESUME, Repeat.NEVER)
    assert [branch.weight for branch in first.branches] == [90, 10]
    assert (first.timeout_s, first.target_s, first.gap_s, first.tier) == (5.0, 1.5, 0.6, 2)
    assert contracts.services["huvo11a"].engine.memory_tokens == 325133
    assert contracts.services["wuno96b"].engine is None
    assert contracts.accounts["anf"].name == "hule930" and contracts.accounts["anf"].tier == 1
    assert contracts.limits.head_timeout_s == 3.0


@pytest.mark.parametrize(
    ("kind", "resumable", "repeat"),
    [
        ("idempotent", False, Repeat.ALWAYS),
        ("non_idempotent", False, Repeat.NEVER),
        ("non_idempotent", True, Repeat.NEVER),
        ("streaming", False, Repeat.NEVER),
    ],
)
def test_type_of_a_route_determines_whether_calls_may_be_repeated(kind, resumable, repeat):
    route = CONFIG["routes"][0] | {"type": kind, "resumable": resumable}
    found = read_contracts(Record("op/config", 9, encode(CONFIG | {"routes": [route]})))
    assert found.routes[0].repeat is repeat


def test_configuration_without_tenants_requires_no_key():
    without = {name: value for name, value in CONFIG.items() if name != "tenants"}
    assert read_contracts(Record("op/config", 9, encode(without))).accounts is None


@pytest.mark.parametrize(
    "change",
    [
        {"version": "x"},
        {"version": -1},
        {"version": 10**30},
        {"routes": 3},
        {"services": [{}]},
        {"services": [{"name": "a", "engine": {"kv_capacity_tokens": 10**30}}]},
        {"services": [{"name": "a", "max_connections": -1}]},
        {"routes": [{"name": "a"}]},
        {"limits": {"max_body_bytes": 10**30}},
        {"limits": {"idle_timeout_ms": -1}},
        {"tenants": [{"name": "a", "priority": 10**30}]},
        *({"routes": [CONFIG["routes"][0] | {name: value}]} for name, value in ODD_ROUTE_FIELDS),
    ],
)
def test_invalid_configuration_is_refused(change):
    with pytest.raises(ValueError):
        read_contracts(Record("op/config", 9, encode(CONFIG | change)))


def test_example_of_a_backend_server():
    backend = read_backend("i-7f3a91c2", encode(SERVER | {"born": 1700000000123}))
    assert backend.key == ("i-7f3a91c2", 1700000000123)
    assert backend.address == ("10.128.0.9", 8080) and backend.domain == "rocha-a"
    assert not backend.leaving and backend.software == "v1"
    assert read_backend("i-7f3a91c2", encode(SERVER | {"state": "draining"})).leaving
    unnamed = {name: value for name, value in SERVER.items() if name != "version"}
    assert read_backend("i-7f3a91c2", encode(unnamed)).software == ""


@pytest.mark.parametrize(
    "change",
    [
        {"state": "gone"},
        {"state": 1},
        {"slots": "64"},
        {"slots": -1},
        {"slots": 65_536},
        {"slots": 10**30},
        {"address": "10.128.0.9"},
        {"address": "host:80"},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:65536"},
        {"address": "10.128.0.9:" + "1" * 5000},
        {"address": "1" * 500 + ":80"},
        {"address": "10.128.0.9:\u0668\u0660"},
        {"address": "10.128.0.9:8\u00b2"},
        {"address": 5},
        {"service": "s" * 201},
        {"zone": "z" * 201},
        {"version": "v" * 201},
        {"version": 1},
        {"version": None},
        {"seq": 10**30},
        {"service": None},
        {"service": ""},
        {"zone": []},
        {"born": 1.5},
        {"born": -1},
        {"born": 10**30},
        {"born": "1700000000123"},
    ],
)
def test_malformed_entry_is_refused(change):
    with pytest.raises(ValueError) as refusal:
        read_backend("i-1", encode(SERVER | change))
    assert len(str(refusal.value)) < 200


@pytest.mark.parametrize("value", DEEP)
def test_deeply_nested_entry_is_refused_and_costs_no_other_entry(value):
    catalog = Catalog(DECODER)
    keys = {"servers/a": value, "op/config": value, "servers/b": encode(SERVER)}
    catalog.merge([Record(key, 1, data) for key, data in keys.items()], "test")
    catalog.merge([Record("op/config", 2, encode(CONFIG))], "test")
    assert list(catalog.backends) == ["b"] and catalog.contracts.version == 7
    with pytest.raises(ValueError):
        read_backend("i-1", value)


@pytest.mark.parametrize("name", SERVER)
def test_entry_without_a_required_field_is_refused(name):
    entry = {key: value for key, value in SERVER.items() if key != name}
    if name in ("service", "address", "zone", "state", "slots"):
        with pytest.raises(ValueError):
            read_backend("i-1", encode(entry))
    else:
        assert read_backend("i-1", encode(entry)).name == "i-1"


@given(name=st.text(max_size=8) | st.text("az\r\n\t\0 :\x7f\x80\xff", max_size=4))
@example(name="\u0416")
@example(name="a\r\nTenant: b")
@example(name="a" * 201)
def test_name_that_no_header_can_carry_is_refused_where_it_enters(name):
    tenant = {"name": name, "api_keys": ["k"]}
    reads = (
        lambda: read_backend(name, encode(SERVER)).name,
        lambda: read_contracts(Record("op/config", 1, encode(CONFIG | {"tenants": [tenant]})))
        .accounts["k"]
        .name,
    )
    for read in reads:
        try:
            accepted = read()
        except ValueError:
            continue
        headers = [(b"Host", b"h"), (b"Expect-Instance", accepted.encode("latin-1"))]
        request = h11.Request(method=b"GET", target=b"/", headers=headers)
        assert dict(request.headers)[b"expect-instance"] == name.encode("latin-1")


@given(st.lists(st.binary(max_size=30) | st.just(encode(SERVER)[:-9]), max_size=5))
def test_malformed_entries_do_not_affect_others(values):
    catalog = Catalog(DECODER)
    records = [Record(f"servers/x{index}", index + 1, v) for index, v in enumerate(values)]
    records.append(Record("servers/good", 50, encode(SERVER)))
    records.append(Record("op/config", 51, encode(CONFIG)))
    records.append(Record("servers/", 52, encode(SERVER)))
    records.append(Record("other/key", 53, b"\xff"))
    catalog.merge(records, "test")
    assert [backend.name for backend in catalog.list_open("huvo11a")] == ["good"]
    assert catalog.contracts.version == 7


def read_config(**changes):
    return read_contracts(Record("op/config", 9, encode(CONFIG | changes)))


def test_regions_of_a_route_and_a_customer():
    """Guards against a regional limit that is dropped, or an empty list that excludes all."""
    routes = [
        CONFIG["routes"][0] | {"allowed_regions": ["east", "west"]},
        CONFIG["routes"][1] | {"allowed_regions": []},
    ]
    tenants = [{"name": "a", "api_keys": ["k"], "allowed_regions": ["west"]}]
    contracts = read_config(routes=routes, tenants=tenants)
    assert contracts.routes[0].allowed_regions == {"east", "west"}
    assert contracts.routes[1].allowed_regions is None
    assert contracts.accounts["k"].allowed_regions == {"west"}
    assert read_config().accounts["n2c"].allowed_regions is None


def test_cold_servers():
    """Guards against a cold server that is taken for a warm one."""
    services = [CONFIG["services"][0] | {"cold_per_s": 9.4, "cold_start_s": 3.0}]
    contracts = read_config(services=services)
    assert contracts.services["huvo11a"].cold_rate_per_s == 9.4
    assert read_config().services["huvo11a"].cold_rate_per_s == 0
    assert read_backend("a", encode(SERVER | {"cold_remaining_ms": 1500})).cold_s == 1.5
    assert read_backend("a", encode(SERVER | {"cold_remaining_ms": -1})).cold_s == 0
