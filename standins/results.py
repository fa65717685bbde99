"""Results of the load tool: what became of each request, counted by class."""

import enum
from collections import Counter
from dataclasses import dataclass, field

from balsamtally.errors import ReceiptVoid


class Outcome(enum.Enum):
    """What became of a request, as its caller sees it."""

    WHOLE = "whole"
    REFUSED = "refused"
    CUT = "cut"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    FAILED = "failed"


@dataclass(frozen=True)
class Report:
    """What became of one request.

    :ivar name: request class, or the operation of a plain service
    :ivar outcome: what became of it
    :ivar code: numbered result code, 0 where there was none
    :ivar run: whether it was run, as the error tells
    :ivar tokens: tokens received
    :ivar first_token_s: time to the first token in seconds, negative if none came
    :ivar between_tokens_s: mean time between two tokens, in seconds
    :ivar met_target: whether it was whole and met its target
    :ivar call: what identifies a service call, empty for chats
    :ivar text: what went wrong
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
    """Counts of one class.

    :ivar sent: requests sent
    :ivar outcomes: requests by outcome
    :ivar met_target: whole requests that met their target
    :ivar goodput_tokens: tokens of whole answers
    :ivar codes: errors by numbered code
    :ivar first_tokens_s: times to the first token, in seconds
    :ivar between_tokens_s: mean times between two tokens, in seconds
    """

    sent: int = 0
    outcomes: Counter[Outcome] = field(default_factory=Counter)
    met_target: int = 0
    goodput_tokens: int = 0
    codes: Counter[int] = field(default_factory=Counter)
    first_tokens_s: list[float] = field(default_factory=list)
    between_tokens_s: list[float] = field(default_factory=list)

    def add(self, report: Report) -> None:
        """Count a request."""
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
        """Return the counts as they go into a JSON line."""
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
    """Return a percentile of times.

    :param times_s: times in seconds
    :param share: such as 0.95
    :return: the percentile in milliseconds, ``None`` without times
    """
    if not times_s:
        return None
    ordered = sorted(times_s)
    return round(1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1)


def count_reports(reports: list[Report]) -> dict[str, ClassResult]:
    """Return the counts of each class.

    :param reports: what became of each request
    :return: counts by class, in the order of their names
    """
    results: dict[str, ClassResult] = {}
    for report in reports:
        results.setdefault(report.name, ClassResult()).add(report)
    return dict(sorted(results.items()))


def find_broken_calls(reports: list[Report], executions: Counter[str]) -> list[str]:
    """Return the service calls that broke what their callers were told.

    :param reports: what became of each call, in which one call may stand several times
    :param executions: runs by what identifies a call, summed over the service's runners
        that are alive
    :return: a text for each call that ran twice, that ran though it was told as not run, or
        that was answered without a run
    """
    calls: dict[str, list[Report]] = {}
    for report in reports:
        if report.call:
            calls.setdefault(report.call, []).append(report)
    broken = [f"{call}: ran {runs} times" for call, runs in executions.items() if runs > 1]
    for call, told in calls.items():
        runs = executions[call]
        void = any(report.code == ReceiptVoid.code for report in told)
        if runs and (void or all(report.run == "not_run" for report in told)):
            broken.append(f"{call}: told as not run, ran {runs} times")
        if not runs and any(report.outcome is Outcome.WHOLE for report in told):
            broken.append(f"{call}: answered, never ran")
    return broken
