"""Results of the load generator: outcome of each request, and counts by class."""

import enum
from collections import Counter
from dataclasses import dataclass, field

from balsamtally.errors import ReceiptVoid


class Outcome(enum.Enum):
    """Outcome of a request, as its caller observes it.

    ``WHOLE``: complete and correct; ``REFUSED``: an error that says that the request was not run;
    ``CUT``: an answer that ended early; ``UNKNOWN``: the caller can't tell whether the request
    was run; ``WRONG``: not the expected answer; ``FAILED``: any other failure.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    CUT = "cut"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    FAILED = "failed"


@dataclass(frozen=True)
class Report:
    """Result of one request.

    :ivar name: request class, or the operation of a plain service
    :ivar outcome: outcome that the caller observed
    :ivar code: numbered error code, 0 without an error
    :ivar run: whether the request was run, as the error response states, empty without a statement
    :ivar tokens: tokens received
    :ivar first_token_s: time to first token in seconds, negative if no token arrived
    :ivar between_tokens_s: mean inter-token latency in seconds
    :ivar met_target: whether the answer was whole and met the latency target of its class
    :ivar call: identifier of a service call, empty for chats
    :ivar text: description of the error
    """

    name: str
    outcome: Outcome
    code: int = 0
    run: str = ""
    tokens: int = 0
    first_token_s: float = -1.0
    between_tokens_s: float = 0.0
    met_target: bool = False
    call: str = ""
    text: str = ""


@dataclass
class ClassResult:
    """Counts of one request class or operation.

    :ivar sent: requests sent
    :ivar outcomes: requests by outcome
    :ivar met_target: whole answers that met their latency target
    :ivar goodput_tokens: tokens received in whole answers
    :ivar codes: errors by numbered code
    :ivar first_tokens_s: times to first token of whole answers, in seconds
    :ivar between_tokens_s: mean inter-token latencies of whole answers, in seconds
    """

    sent: int = 0
    outcomes: Counter[Outcome] = field(default_factory=Counter)
    met_target: int = 0
    goodput_tokens: int = 0
    codes: Counter[int] = field(default_factory=Counter)
    first_tokens_s: list[float] = field(default_factory=list)
    between_tokens_s: list[float] = field(default_factory=list)

    def add(self, report: Report) -> None:
        """Add the result of one request to the counts."""
        self.sent += 1
        self.outcomes[report.outcome] += 1
        self.met_target += report.met_target
        if report.code:
            self.codes[report.code] += 1
        if report.outcome is not Outcome.WHOLE:
            return
        self.goodput_tokens += report.tokens
        if report.first_token_s >= 0:
            self.first_tokens_s.append(report.first_token_s)
            self.between_tokens_s.append(report.between_tokens_s)

    def describe(self, name: str) -> dict:
        """Return the counts as the fields of a JSON line."""
        return {
            "class": name,
            "sent": self.sent,
            "met_target": self.met_target,
            **{outcome.value: self.outcomes[outcome] for outcome in Outcome},
            "goodput_tokens": self.goodput_tokens,
            "codes": {str(code): number for code, number in sorted(self.codes.items())},
            "first_token_p50_ms": find_percentile_ms(self.first_tokens_s, 0.5),
            "first_token_p95_ms": find_percentile_ms(self.first_tokens_s, 0.95),
            "between_tokens_p95_ms": find_percentile_ms(self.between_tokens_s, 0.95),
        }


def find_percentile_ms(times_s: list[float], share: float) -> float | None:
    """Return a percentile of durations (nearest rank).

    :param times_s: durations in seconds
    :param share: percentile as a share, such as 0.95
    :return: the percentile in milliseconds, ``None`` without durations
    """
    if not times_s:
        return None
    ordered = sorted(times_s)
    return round(1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1)


def count_reports(reports: list[Report]) -> dict[str, ClassResult]:
    """Return the counts of each class.

    :param reports: result of each request
    :return: counts by class, sorted by class name
    """
    results: dict[str, ClassResult] = {}
    for report in reports:
        results.setdefault(report.name, ClassResult()).add(report)
    return dict(sorted(results.items()))


def find_broken_calls(reports: list[Report], executions: Counter[str]) -> list[str]:
    """Return the service calls whose executions contradict the responses to their callers.

    :param reports: result of each attempt to send a call; a call may have several results
    :param executions: executions by call identifier, summed over the live runners of the
        service
    :return: a text for each call that ran more than once, that ran although its caller was told
        that it did not run, or that was answered without running
    """
    calls: dict[str, list[Report]] = {}
    for report in reports:
        if report.call:
            calls.setdefault(report.call, []).append(report)
    broken = [f"{call}: ran {runs} times" for call, runs in executions.items() if runs > 1]
    for call, attempts in calls.items():
        runs = executions[call]
        void = any(report.code == ReceiptVoid.code for report in attempts)
        if runs and (void or all(report.run == "not_run" for report in attempts)):
            broken.append(f"{call}: told as not run, ran {runs} times")
        if not runs and any(report.outcome is Outcome.WHOLE for report in attempts):
            broken.append(f"{call}: answered, never ran")
    return broken
