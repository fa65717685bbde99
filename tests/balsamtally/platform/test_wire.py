"""Tests of the platform's headers: examples from its documents, malformed variants."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.callers import Request
from balsamtally.calls import AnswerHead, Attempt, Notice, PromptPart, Verdict
from balsamtally.errors import BackendFailed, MalformedHeader, NoBackend, RequestError
from balsamtally.platform.wire import (
    classify,
    make_headers,
    pick_headers,
    read_born,
    read_call,
    read_notice,
    read_parts,
    read_usage,
    report,
)
from tests.balsamtally.scripted import make_backend

EXAMPLE = (
    (b"Host", b"ficu95.example"),
    (b"Attempt-Id", b"9c41d07be2a35f68"),
    (b"Last-Event-Id", b"12"),
    (b"Model", b"m"),
    (b"Token-Usage", b"1460,80"),
    (b"Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"Deadline-Ms", b"5000"),
    (b"Authorization", b"Token n2ctnfzs989anu6wsjnb"),
)


def make_request(*more, without=()):
    headers = tuple(pair for pair in EXAMPLE if pair[0].lower() not in without)
    return Request(b"POST", b"/lohu930/2f", headers + more, b"body", 7.0)


def make_attempt(*more, customer="hule930", urgency=1, last_event=12, left_s=4.9876):
    call = read_call(make_request(*more))
    return Attempt(call, make_backend("i-7f3a91c2"), customer, urgency, left_s, last_event)


def test_example_request_is_parsed():
    call = read_call(make_request())
    assert (call.id, call.host, call.key) == (
        "9c41d07be2a35f68",
        "ficu95.example",
        "n2ctnfzs989anu6wsjnb",
    )
    assert (call.deadline_s, call.arrived_s, call.last_event) == (5.0, 7.0, 12)
    assert (call.prompt_tokens, call.answer_tokens) == (1460, 80)
    assert call.parts[0] == PromptPart("5c1e07a2", 800) and len(call.parts) == 3


def test_attempt_that_a_call_resumes_is_read_and_passed_on():
    request = make_request((b"Resumes", b"7d10"))
    assert read_call(request).resumes == "7d10" and not read_call(make_request()).resumes
    assert (b"Resumes", b"7d10") in make_headers(make_attempt((b"Resumes", b"7d10")))


@pytest.mark.parametrize(
    "headers", [((b"Resumes", b""),), ((b"Resumes", b"7" * 129),), 2 * ((b"Resumes", b"7d10"),)]
)
def test_resumed_attempt_that_cannot_be_an_id_is_refused(headers):
    with pytest.raises(RequestError):
        read_call(make_request(*headers))


def test_start_of_a_server_is_read_from_its_report():
    assert read_born(b'{"phase":"hybrid","born":1700000000001,"seq":2}') == 1_700_000_000_001
    assert [read_born(body) for body in (b"{}", b'{"born":"x"}', b"[]", b"")] == [None] * 4


def test_headers_of_the_example_attempt():
    sent = dict(make_headers(make_attempt()))
    assert sent == {
        b"Host": b"ficu95.example",
        b"Attempt-Id": b"9c41d07be2a35f68",
        b"Last-Event-Id": b"12",
        b"Model": b"m",
        b"Token-Usage": b"1460,80",
        b"Prompt-Prefix": b"5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        b"Deadline-Ms": b"4987",
        b"Expect-Instance": b"i-7f3a91c2",
        b"Request-Priority": b"1",
        b"Tenant": b"hule930",
        b"Content-Length": b"4",
    }


FORGED = (b"Tenant", b"Hold", b"Pin-Ms", b"Kv-Backup", b"Kv-From", b"Kv-Fetch")
FORGED += (b"Request-Priority", b"Expect-Instance", b"Expect-Version", b"authorization")


@pytest.mark.parametrize("name", FORGED)
@pytest.mark.parametrize("change", [bytes.lower, bytes.upper, bytes.title])
def test_callers_cannot_set_headers_of_the_router(name, change):
    without = (b"authorization",) if name == b"authorization" else ()
    request = make_request((change(name), b"forged"), without=without)
    attempt = Attempt(read_call(request), make_backend("i-1"), "", 5, 1.0)
    values = [value for _, value in make_headers(attempt)]
    assert b"forged" not in values
    assert not any(b"n2ctnfzs989anu6wsjnb" in value for value in values)


@pytest.mark.parametrize("name", [b"Kv_From", b"TENANT", b"attempt_id", b"Expect_Instance"])
def test_name_that_is_equivalent_to_a_header_of_the_router_is_refused_or_dropped(name):
    request = make_request((name, b"forged"))
    if b"_" in name:
        with pytest.raises(RequestError):
            read_call(request)
    else:
        assert (name, b"forged") not in read_call(request).headers


def test_hop_by_hop_headers_are_dropped_and_others_passed_on():
    call = read_call(
        make_request(
            (b"Connection", b"X-Hop, Model"),
            (b"X-Hop", b"1"),
            (b"Keep-Alive", b"timeout=5"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Kept", b"1"),
            (b"x-kept", b"2"),
            (b"Length-Hint", b"70"),
        )
    )
    names = [name for name, _ in call.headers]
    assert names.count(b"X-Kept") == names.count(b"x-kept") == 1
    assert b"Model" in names and b"Length-Hint" in names
    assert not {b"X-Hop", b"Keep-Alive", b"Transfer-Encoding", b"Connection"} & set(names)


@pytest.mark.parametrize(
    "more",
    [
        ((b"Attempt-Id", b"other"),),
        ((b"Deadline-Ms", b"1"),),
        ((b"Authorization", b"Token other"),),
        ((b"Prompt-Prefix", b"a:1"),),
    ],
)
def test_repeated_headers_are_refused(more):
    with pytest.raises(RequestError):
        read_call(make_request(*more))


@given(st.sampled_from([name for name, _ in EXAMPLE[1:]]), st.binary(max_size=12))
def test_any_value_is_parsed_or_refused(name, value):
    request = make_request((name, value), without=(name.lower(),))
    try:
        call = read_call(request)
    except RequestError:
        return
    assert 0 <= call.deadline_s < 1e6 and call.prompt_tokens >= 0 and call.id


ID = (b"attempt-ID", b"9c41d07be2a35f68")
SIGNED = (b"Response-Signature", b"3e1b")
NOT_RUN = (b"Not-Executed", b"1")


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, (ID, SIGNED), Verdict.ANSWER),
        (500, (ID, SIGNED), Verdict.ANSWER),
        (504, (ID,), Verdict.ANSWER),
        (503, (NOT_RUN,), Verdict.INVALID),
        (503, (ID, NOT_RUN), Verdict.NOT_RUN),
        (429, (ID, NOT_RUN), Verdict.NOT_RUN),
        (421, (ID, (b"Instance-Id", b"i-02d9e6b4")), Verdict.NOT_THERE),
        (421, ((b"Instance-Id", b"i-02d9e6b4"),), Verdict.INVALID),
        (200, (ID,), Verdict.INVALID),
        (200, (SIGNED,), Verdict.INVALID),
        (200, (ID, SIGNED, NOT_RUN), Verdict.ANSWER),
        (503, (ID,), Verdict.INVALID),
        (429, (ID,), Verdict.INVALID),
        (302, (ID, SIGNED), Verdict.INVALID),
        (200, (ID, SIGNED, (b"Content-Encoding", b"gzip")), Verdict.INVALID),
        (200, ((b"Attempt-Id", b"x"), SIGNED), Verdict.FOREIGN),
        (503, ((b"Attempt-Id", b"x"), NOT_RUN), Verdict.FOREIGN),
        (200, (ID, ID, SIGNED), Verdict.INVALID),
    ],
)
def test_heads_are_classified(status, headers, verdict):
    assert classify(make_attempt(), AnswerHead(status, headers)) is verdict


def test_answer_is_passed_on_with_signature_and_without_framing():
    head = AnswerHead(200, (ID, SIGNED, (b"Content-Length", b"3"), (b"Connection", b"close")))
    assert pick_headers(head) == (ID, SIGNED)


def test_errors_have_no_signature_and_refusals_have_retry_after():
    headers, body = report("9c41", NoBackend())
    assert dict(headers)[b"Retry-After"] == b"1.00" and b"2005" in body
    assert all(name.lower() != b"response-signature" for name, _ in headers)
    assert b"Retry-After" not in dict(report("", BackendFailed())[0])


@pytest.mark.parametrize("spelling", [b"1f", b"1F", b"001f", b"0001F"])
def test_spellings_of_one_prompt_part_are_one_part(spelling):
    assert [part.name for part in read_parts(spelling + b":20,zz:1,ZZ:2,00:3")] == [
        "1f",
        "zz",
        "ZZ",
        "0",
    ]


@pytest.mark.parametrize("digits", [16, 5000])
@pytest.mark.parametrize("name", ["Prompt-Prefix", "Token-Usage", "Last-Event-Id", "Length-Hint"])
def test_numbers_of_many_digits_are_malformed(name, digits):
    number = b"9" * digits
    value = b"1f:" + number if name == "Prompt-Prefix" else number
    request = make_request((name.encode(), value), without=(name.lower().encode(),))
    with pytest.raises(MalformedHeader):
        read_call(request)


@pytest.mark.parametrize("value", [b"1_0,5", b"+1,5", b"-1,5", b"1,-5", b"1,5,6", b"x"])
def test_usage_must_be_plain_whole_numbers(value):
    with pytest.raises(MalformedHeader):
        read_usage(value)


@pytest.mark.parametrize(
    "status, name, value, notice",
    [
        (200, b"Server-Leaving", b"1", Notice(leaving=True)),
        (503, b"server-leaving", b" 1 ", Notice(leaving=True)),
        (200, b"Server-Leaving", b"0", Notice()),
        (200, b"Server-Leaving", b"yes", Notice()),
        (503, b"Retry-After", b"2.5", Notice(pause_s=2.5)),
        (503, b"Retry-After", b"1000000000", Notice(pause_s=1e9)),
        (503, b"Retry-After", b"0", Notice()),
        (429, b"Retry-After", b"2", Notice()),
        (503, b"Retry-After", b"-2", Notice()),
        (503, b"Retry-After", b"soon", Notice()),
        (503, b"Retry-After", b"9" * 5000, Notice()),
        (503, b"Retry-After", "\u0663".encode(), Notice()),
        (503, b"Retry-After", b"nan", Notice()),
        (200, b"Server-Limit", b"2.5", Notice(limit_per_s=2.5)),
        (503, b"server-limit", b" 0 ", Notice(limit_per_s=0.0)),
        (500, b"Server-Limit", b"9" * 15, Notice(limit_per_s=1e9)),
        (200, b"Server-Limit", b"-1", Notice(states_limit=False)),
        (200, b"Server-Limit", b"nan", Notice(states_limit=False)),
        (200, b"Server-Limit", b"inf", Notice(states_limit=False)),
        (200, b"Server-Limit", b"1e999", Notice(states_limit=False)),
        (200, b"Server-Limit", b"9" * 5000, Notice(states_limit=False)),
        (200, b"Server-Limit", b"two", Notice(states_limit=False)),
        (200, b"Server-Limit", b"", Notice(states_limit=False)),
        (200, b"Server-Brittle", b"3", Notice(brittle=3)),
        (503, b"server-brittle", b" 0 ", Notice(brittle=0)),
        (200, b"Server-Brittle", b"9" * 15, Notice(brittle=1_000_000)),
        (200, b"Server-Brittle", b"2.5", Notice()),
        (200, b"Server-Brittle", b"-1", Notice()),
        (200, b"Server-Brittle", b"9" * 5000, Notice()),
        (200, b"Server-Brittle", b"", Notice()),
    ],
)
def test_notices_are_read_and_odd_values_have_no_effect(status, name, value, notice):
    assert read_notice(AnswerHead(status, ((name, value),))) == notice


def test_two_limits_in_one_head_are_invalid():
    head = AnswerHead(200, ((b"Server-Limit", b"1"), (b"Server-Limit", b"1")))
    assert read_notice(head) == Notice(states_limit=False)


def test_odd_brittle_notice_leaves_the_limit_beside_it_in_force():
    head = AnswerHead(200, ((b"Server-Limit", b"2"), (b"Server-Brittle", b"x")))
    assert read_notice(head) == Notice(limit_per_s=2.0)
    twice = AnswerHead(200, ((b"Server-Brittle", b"1"), (b"Server-Brittle", b"1")))
    assert read_notice(twice) == Notice()


def test_departure_of_a_backend_server_is_not_passed_on_to_callers():
    head = AnswerHead(200, ((b"Server-Leaving", b"1"), (b"A", b"b")))
    assert pick_headers(head) == ((b"A", b"b"),)
