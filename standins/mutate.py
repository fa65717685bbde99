"""Mutation tests: remove one guard at a time in a scratch copy and check that its test fails.

Run ``python -m standins.mutate [MODULE...]`` from the root; without arguments, every mutation runs.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

COPIED = ("balsamtally", "standins", "tests", "pyproject.toml", "KNOWN-RED.txt")
TESTS_FAILED = 1  # exit code of pytest
TEST_TIMEOUT_S = 120.0


@dataclass(frozen=True)
class Mutation:
    """A source text to replace, and the test that must fail after the replacement.

    :ivar module: module below ``balsamtally``, as a path without the suffix
    :ivar text: text of the guard, which must occur exactly once in the module
    :ivar replacement: text that replaces the guard
    :ivar test: file and, where needed, name of the test that must fail
    """

    module: str
    text: str
    replacement: str
    test: str


DISSEMINATION = "tests/balsamtally/test_dissemination.py"
ANSWERS = "tests/balsamtally/test_answers.py"
EXCHANGE = "tests/balsamtally/test_exchange.py"
ADMISSION = "tests/balsamtally/test_admission.py"
CHATS = "tests/balsamtally/test_chats.py"
COORDINATOR = "tests/balsamtally/test_coordinator.py"
ORDERS = "tests/balsamtally/test_orders.py"
ROUTES = "tests/balsamtally/test_routes.py"
FACTS = "tests/balsamtally/test_facts.py"
LIMITS = "tests/balsamtally/test_limits.py"
DEDICATED_RUNNERS = "tests/balsamtally/test_dedicated_runners.py"
MEMBERS = "tests/balsamtally/test_members.py"
READERS = "tests/balsamtally/test_readers.py"
RECEIPTS = "tests/balsamtally/test_receipts.py"
SERVICES = "tests/balsamtally/test_services.py"
RETRIES = "tests/balsamtally/test_retries.py"
BUDGETS = "tests/balsamtally/test_budgets.py"
BACKENDS = "tests/balsamtally/test_backends.py"
BACKLOGS = "tests/balsamtally/test_backlogs.py"
CALLERS = "tests/balsamtally/test_callers.py"
CATALOG = "tests/balsamtally/test_catalog.py"
DISPATCH = "tests/balsamtally/test_dispatch.py"
FORWARDING = "tests/balsamtally/test_forwarding.py"
GRID = "tests/standins/test_grid.py"
PEERS = "tests/balsamtally/test_peers.py"
PLANS = "tests/balsamtally/test_plans.py"
RECORDS = "tests/balsamtally/test_records.py"
ASKS = "tests/balsamtally/test_asks.py"
RESERVATIONS = "tests/balsamtally/test_reservations.py"
COORDINATION = "tests/balsamtally/test_coordination.py"
PACES = "tests/balsamtally/test_paces.py"
WAITING = "tests/balsamtally/test_waiting.py"
WIRE = "tests/balsamtally/platform/test_wire.py"

MUTATIONS = (
    Mutation("admission", "if held <= tier", "if True", ADMISSION),
    Mutation("chats", "while not has_reached_limit(chat, progress):", "while True:", CHATS),
    Mutation("chats", "body[name] -= progress.tokens", "pass", CHATS),
    Mutation("chats", "if stream.cancelled:", "if False:", CHATS),
    Mutation("chats", "progress.touched = True\n        return", "return", CHATS),
    Mutation("chats", "is_free or self.take_retry", "self.take_retry", CHATS),
    Mutation("chats", "self.record_refusal(server.name)", "pass", CHATS),
    Mutation("chats", "refused = True\n", "pass\n", CHATS),
    Mutation(
        "coordinator",
        "self._ticked_at[pool] > AWAY_S:\n            self",
        "0 > 1:\n            self",
        COORDINATOR,
    ),
    Mutation("coordinator", "queue.drop_sender(sender)", "pass", COORDINATOR),
    Mutation("coordinator", "except Exception:", "except ZeroDivisionError:", COORDINATOR),
    Mutation("orders", "allowed=server.pools", "allowed=()", ORDERS),
    Mutation("placement", "report.name not in self.outstanding", "True", ORDERS),
    Mutation(
        "routes", "(self._changes, self.members.version)", "(0, self.members.version)", ROUTES
    ),
    Mutation("routes", "(self._changes, self.members.version)", "(self._changes, 0)", ROUTES),
    Mutation("receipts", "receipt.customer != customer", "False", RECEIPTS),
    Mutation("receipts", "entry.digest != digest", "False", RECEIPTS),
    Mutation("receipts", "entry.done.wait()", "pass", RECEIPTS),
    Mutation("receipts", "if entry.state is State.FINISHED:", "if False:", RECEIPTS),
    Mutation("receipts", "if entry.state is State.VOID:", "if False:", RECEIPTS),
    Mutation("receipts", "if not self.is_issuer(receipt):", "if False:", RECEIPTS),
    Mutation("receipts", "self._monotonic() - entry.issued_at", "self._clock() - 1e9", RECEIPTS),
    Mutation("receipts", "not hmac.compare_digest", "False and hmac.compare_digest", RECEIPTS),
    Mutation("receipts", ">= self._max_receipts:", ">= 1e9:", RECEIPTS),
    Mutation(
        "receipts", "error: BalsamtallyError = OutcomeUnknown()", "error = Leaving()", RECEIPTS
    ),
    Mutation("receipts", "while self._kept_bytes > ", "while False and ", RECEIPTS),
    Mutation("answers", "if chunk_id != self.attempt_id:", "if False:", ANSWERS),
    Mutation("answers", "self.finish_reason is not None and (text", "False and (text", ANSWERS),
    Mutation("answers", "completion_tokens < self.chunks", "False", ANSWERS),
    Mutation("answers", "if self.finish_reason is None:", "if False:", ANSWERS),
    Mutation("facts", "order <= (held.number, held.digest)", "False", FACTS),
    Mutation("facts", "order <= (held.number, held.digest)", "order[0] <= held.number", FACTS),
    Mutation("facts", 'self._flip((number, f"conflict {digest}"))', "pass", EXCHANGE),
    Mutation("facts", "if held.uses == 0:", "if False:", FACTS),
    Mutation("members", "self._raise_generation(state.generation)", "pass", EXCHANGE),
    Mutation("members", "if rank_state(state) <= rank_state(record.state):", "if 0:", MEMBERS),
    Mutation("heartbeats", "if self._beats % REVIVAL_BEATS == 0:", "if False:", EXCHANGE),
    Mutation("heartbeats", "if domains and self._clock()", "if False and self._clock()", EXCHANGE),
    Mutation("heartbeats", "if not domains or not self.is_gateway():", "if True:", EXCHANGE),
    Mutation("exchange", "return self.pull(name)", "pass", EXCHANGE),
    Mutation("exchange", "str(error)[:MAX_REASON_CHARS]", "str(error)", EXCHANGE),
    Mutation(
        "dissemination",
        'self.members.is_coordinator("watch", WATCHERS_PER_DOMAIN)',
        "True",
        f"{DISSEMINATION}::test_tickets_reach_all_daemons_by_few_reads",
    ),
    Mutation(
        "dissemination",
        "return bool(self.facts.entries)",
        "return True",
        f"{DISSEMINATION}::test_outage_leaves_daemons_ready_and_one_that_knows_nothing_not",
    ),
    Mutation("members", "return not self.is_resuming() and", "return", MEMBERS),
    Mutation("members", "if now - self._ticked_at > AWAY_S:", "if False:", MEMBERS),
    Mutation("members", "record.penalize(now)", "pass", MEMBERS),
    Mutation("members", "now - at > LISTED_LEAVING_S", "False", MEMBERS),
    Mutation("members", "state.leaving or listed", "state.leaving", MEMBERS),
    Mutation("members", "and not record.damped", "", MEMBERS),
    Mutation(
        "heartbeats", "            self.members.confirm_contact()", "            pass", MEMBERS
    ),
    Mutation(
        "heartbeats",
        "if self.members.wakes == wakes:\n            self.members.c",
        "if 1:\n            self.members.c",
        MEMBERS,
    ),
    Mutation(
        "heartbeats",
        "if self.members.wakes == wakes:\n                ",
        "if 1:\n                ",
        MEMBERS,
    ),
    Mutation("heartbeats", "min(PROBE_HELPERS, len(helpers))", "0", MEMBERS),
    Mutation("members", "        self._ranks.clear()\n", "", MEMBERS),
    Mutation("members", "        self._counts = None\n", "", LIMITS),
    Mutation("limits", "bucket.tokens -= granted", "pass", LIMITS),
    Mutation("limits", "room = max(1.0, rate * BUCKET_S)\n", "room = 1e9\n", LIMITS),
    Mutation("limits", "reserved += count\n", "pass\n", LIMITS),
    Mutation(
        "limits", "reserved += max(0, count - self", "reserved += min(0, count - self", LIMITS
    ),
    Mutation("limits", "demands += rates.get(key, 0.0)", "pass", LIMITS),
    Mutation("limits", "stock.tokens += max(0.0, min(room, ", "stock.tokens += (max(9.0, ", LIMITS),
    Mutation("limits", "return stock.tokens >= cost if cost", "return True if cost", LIMITS),
    Mutation("limits", "self._ask(find_shard(key), [key])", "pass", LIMITS),
    Mutation("receipts", "entry.state = State.VOID\n        else", "pass\n        else", RECEIPTS),
    Mutation(
        "services",
        "except BalsamtallyError as error:\n                raise OutcomeUnknown(str(error))",
        "except BalsamtallyError as error:\n                failed = error\n"
        "                continue\n                raise OutcomeUnknown(str(error))",
        SERVICES,
    ),
    Mutation("services", "result.number, result.digest) != expected", "0, 0) == 0", SERVICES),
    Mutation("services", "result.digest) != expected", "digest) != expected", SERVICES),
    Mutation(
        "services", 'OutcomeUnknown("the entry VM that issued', 'NoBackend("the entry VM', SERVICES
    ),
    Mutation(
        "services",
        'OutcomeUnknown(f"forwarded, and no result',
        'NoBackend(f"forwarded, and no result',
        SERVICES,
    ),
    Mutation("services", "if receipt.vm == self._receipts.vm:", "if True:", SERVICES),
    Mutation("services", "not server.leaving and not", "not", SERVICES),
    Mutation("services", "if is_refusal(answer):", "if False:", SERVICES),
    Mutation("services", "if not known.idempotent:", "if False:", SERVICES),
    Mutation("services", "raise WrongAnswer()", "pass", SERVICES),
    Mutation("services", "response.length_remaining is None", "False", SERVICES),
    Mutation("services", "receipt_text is None or", "True or", SERVICES),
    Mutation("retries", "if account.saved < 1.0:", "if False:", RETRIES),
    Mutation(
        "retries",
        "min(MAX_BURST_RETRIES, account.saved + passed_s",
        "max(0, account.saved + passed_s",
        RETRIES,
    ),
    Mutation("budgets", "if len(retries) + 1 > self.find_limit(service):", "if False:", BUDGETS),
    Mutation("budgets", "allowance / members if members", "allowance if members", BUDGETS),
    Mutation("callers", "if len(framing) > 1 or any(", "if any(", CALLERS),
    Mutation("callers", 'if names.count(b"host") != 1:', "if False:", CALLERS),
    Mutation("callers", "if self._serving is not None:", "if False:", CALLERS),
    Mutation("callers", "        self._ended = True\n", "", CALLERS),
    Mutation("catalog", "if contracts.version > before:", "if True:", CATALOG),
    Mutation("records", "record.revision > held.revision", "True", RECORDS),
    Mutation("dispatch", "held.key == key and not held.leaving", "True", DISPATCH),
    Mutation("dispatch", "or demand.tier < least:", "or False:", DISPATCH),
    Mutation("forwarding", "if verdict is not Verdict.FOREIGN:", "if True:", FORWARDING),
    Mutation(
        "forwarding",
        "if failure.outcome is not Outcome.NOT_RUN and not may_repeat(plan, progress):",
        "if False:",
        FORWARDING,
    ),
    Mutation(
        "forwarding",
        "progress.may_have_run |= failure.outcome is not Outcome.NOT_RUN",
        "pass",
        FORWARDING,
    ),
    Mutation("forwarding", "progress.last_event = ids[-1]", "pass", FORWARDING),
    Mutation("forwarding", "if reader.rest:", "if False:", FORWARDING),
    Mutation("forwarding", "if not self._hooks.is_open(backend):", "if False:", FORWARDING),
    Mutation(
        "forwarding", "if not self._has_attempts(plan, progress, failure):", "if 0:", FORWARDING
    ),
    Mutation(
        "forwarding",
        "if not self._connections.refuses_connections(progress.backend):",
        "if False:",
        FORWARDING,
    ),
    Mutation("backends", "except ConnectionRefusedError:", "except ZeroDivisionError:", FORWARDING),
    Mutation("backlogs", "self.reading[: urgency + 1]", "self.reading", BACKLOGS),
    Mutation("beats", "now - self._told_s >= SAME_BEAT_S", "True", PEERS),
    Mutation("beats", "or beat.revision != told.revision", "", PEERS),
    Mutation("plans", "tier * ROUTE_RANKS + rank", "tier", PLANS),
    Mutation("gateway", "            self._wait_for_contracts()\n", "", GRID),
    Mutation("gateway", "is not None and not self.leaving", "is not None", GRID),
    Mutation("backends", "self._yield_after(len(data))", "pass", BACKENDS),
    Mutation("backends", "range(MAX_INTERIM_ANSWERS + 1)", "iter(int, 1)", BACKENDS),
    Mutation("backends", "if len(body) > most_bytes:", "if False:", BACKENDS),
    Mutation("backends", "min(until_s, time.monotonic() + DRAIN_S)", "until_s", BACKENDS),
    Mutation("beats", "while len(self._batches) > turns:", "while self._batches:", PEERS),
    Mutation("beats", "(self._place + self._most) % len(ips)", "0", PEERS),
    Mutation("dispatch", "reading[rank] += demand.prompt_tokens // len(homes)", "pass", DISPATCH),
    Mutation("dispatch", "tokens = sum(claims.reading)", "tokens = 0", DISPATCH),
    Mutation(
        "runners",
        "                kept |= chosen\n",
        "                kept |= chosen if at_home else set()\n",
        DISPATCH,
    ),
    Mutation("runners", "if beside and is_least(", "if is_least(", DISPATCH),
    Mutation("asks", "while silent < TRIES and", "while", ASKS),
    Mutation("asks", "self._missed_s[coordinator.vm] = self._clock()", "pass", ASKS),
    Mutation("asks", "            if final is None:\n", "            if False:\n", ASKS),
    Mutation(
        "asks",
        "self._find_coordinator(plan.service, self._list_missed())",
        "self._find_coordinator(plan.service, set())",
        ASKS,
    ),
    Mutation("dispatch", "held.key == key and not held.leaving", "True", ASKS),
    Mutation(
        "reservations",
        "if number <= beat.asked and number not in",
        "if number not in",
        RESERVATIONS,
    ),
    Mutation("reservations", "and number not in beat.open_asks:", ":", RESERVATIONS),
    Mutation(
        "reservations",
        "                likes[number].shown_s = now\n",
        "                pass\n",
        RESERVATIONS,
    ),
    Mutation("reservations", "        if held is None:\n", "        if True:\n", RESERVATIONS),
    Mutation(
        "reservations", "        held.reservation.work.cancel()", "        pass", RESERVATIONS
    ),
    Mutation(
        "reservations", "        except Exception:\n", "        except KeyError:\n", RESERVATIONS
    ),
    Mutation("coordination", "if not beat.leaving", "if True", COORDINATION),
    Mutation(
        "coordination",
        "return sorted(ranked, key=lambda beat: not beat.revision)",
        "return ranked",
        COORDINATION,
    ),
    Mutation("peers", "if beat.loads is not None:", "if True:", PEERS),
    Mutation("peers", "        elif beat.sums is not None:\n", "        elif False:\n", PEERS),
    Mutation(
        "paces",
        "return min(MAX_FACTOR, max(1.0, self._find_factor(key)))",
        "return max(1.0, self._find_factor(key))",
        PACES,
    ),
    Mutation("dispatch", "if not self._pump_due and any", "if any", DISPATCH),
    Mutation(
        "dedicated_runners",
        "return 0.0 < gap_s <= least_s * LIKE_FACTOR",
        "return 0.0 < gap_s",
        DEDICATED_RUNNERS,
    ),
    Mutation(
        "dedicated_runners", "and one.running <= fewest + EVEN_STREAMS", "", DEDICATED_RUNNERS
    ),
    Mutation("dedicated_runners", "if runners < MIN_RUNNERS:", "if False:", DEDICATED_RUNNERS),
    Mutation("readers", "if behind_s > MAX_BEHIND_S:", "if False:", READERS),
    Mutation("readers", "if not readers:", "if False:", READERS),
    Mutation("readers", "if own.read_state == PlatformReadState.REFUSED:", "if False:", READERS),
    Mutation("peers", "self._random.choice(newest_peers)", "self._random.choice(alive)", PEERS),
    Mutation("peers", "if peer.beat.vm in self._new:", "if False:", PEERS),
    Mutation("platform/wire", "| CONNECTION_HEADERS | OWN_HEADERS", "| CONNECTION_HEADERS", WIRE),
    Mutation("platform/wire", "if answered_id is not None and answered_id !=", "if None !=", WIRE),
    Mutation("platform/wire", 'if b"_" in name and', "if False and", WIRE),
    Mutation("waiting", "return waiter.urgency, is_late", "return 0, is_late", WAITING),
    Mutation("waiting", "LATE_READ_AHEAD_S if late", "LATE_READ_AHEAD_S if False", WAITING),
)


def try_mutation(mutation: Mutation, root: Path) -> str:
    """Apply one mutation to a scratch copy and run its test there.

    :param mutation: mutation to apply
    :param root: root of the repository
    :return: ``failed`` if the test failed as expected, ``PASSED``, or a description of the problem
    """
    with tempfile.TemporaryDirectory(prefix="mutate-") as scratch:
        for name in COPIED:
            copy = shutil.copytree if (root / name).is_dir() else shutil.copy
            copy(root / name, Path(scratch, name))
        path = Path(scratch, "balsamtally", f"{mutation.module}.py")
        source = path.read_text()
        if source.count(mutation.text) != 1:
            return f"the guard stands {source.count(mutation.text)} times"
        path.write_text(source.replace(mutation.text, mutation.replacement))
        command = [sys.executable, "-m", "pytest", "-x", mutation.test]
        try:
            result = subprocess.run(
                command, cwd=scratch, capture_output=True, timeout=TEST_TIMEOUT_S, check=False
            )
        except subprocess.TimeoutExpired:
            return "failed (did not end)"
    if result.returncode == TESTS_FAILED:
        return "failed"
    return "PASSED" if result.returncode == 0 else f"pytest ended with {result.returncode}"


def main() -> int:
    """Try all mutations, or those of the modules named as arguments, and print a line for each.

    :return: 0 if every test failed under its mutation, else 1
    """
    root = Path(__file__).resolve().parent.parent
    missed = 0
    for mutation in MUTATIONS:
        if sys.argv[1:] and mutation.module not in sys.argv[1:]:
            continue
        result = try_mutation(mutation, root)
        missed += not result.startswith("failed")
        print(f"{result}: {mutation.module}: {mutation.text}", flush=True)
    print(f"{missed} guards without a failing test")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
