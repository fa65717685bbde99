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


ENTRY = "tests/balsamtally/test_entry.py"
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
HELD_BYTES = "tests/balsamtally/test_held_bytes.py"
READERS = "tests/balsamtally/test_readers.py"
RECEIPTS = "tests/balsamtally/test_receipts.py"
SERVICES = "tests/balsamtally/test_services.py"
RETRIES = "tests/balsamtally/test_retries.py"
BODIES = "tests/balsamtally/test_bodies.py"
STALLS = "tests/balsamtally/test_stalls.py"
STREAMS = "tests/balsamtally/test_streams.py"
LINKS = "tests/balsamtally/test_links.py"
CONFIGURATION = "tests/balsamtally/test_configuration.py"
SETTINGS = "tests/balsamtally/platform/test_settings.py"
BUDGETS = "tests/balsamtally/test_budgets.py"
BACKENDS = "tests/balsamtally/test_backends.py"
LOSSES = "tests/balsamtally/paths/test_losses.py"
RELAYS = "tests/balsamtally/paths/test_relays.py"
BACKLOGS = "tests/balsamtally/test_backlogs.py"
CALLERS = "tests/balsamtally/test_callers.py"
CATALOG = "tests/balsamtally/test_catalog.py"
CATALOG_RESTARTS = "tests/balsamtally/test_catalog_restarts.py"
SERVER_LIMITS = "tests/balsamtally/test_server_limits.py"
PERMITS = "tests/balsamtally/test_permits.py"
RESTORED_STORE = "tests/balsamtally/platform/test_restored_store.py"
DISPATCH = "tests/balsamtally/test_dispatch.py"
CALL_LOG = "tests/balsamtally/test_call_log.py"
DOCUMENTS = "tests/balsamtally/platform/test_documents.py"
EVENTS = "tests/balsamtally/test_events.py"
FORWARDING = "tests/balsamtally/test_forwarding.py"
TAKEUPS = "tests/balsamtally/test_takeups.py"
MOVES = "tests/balsamtally/test_moves.py"
GRACE_PERIOD = "tests/balsamtally/test_grace_period.py"
GRID = "tests/standins/test_grid.py"
STOPS = "tests/standins/test_planned_stops.py"
PEERS = "tests/balsamtally/test_peers.py"
PLANS = "tests/balsamtally/test_plans.py"
RECORDS = "tests/balsamtally/test_records.py"
CRASH_EVIDENCE = "tests/balsamtally/test_crash_evidence.py"
QUARANTINE = "tests/balsamtally/test_quarantine.py"
QUARANTINE_EXCHANGE = "tests/balsamtally/test_quarantine_exchange.py"
STREAMS = "tests/balsamtally/test_streams.py"
STORE = "tests/balsamtally/platform/test_store.py"
TERMINATIONS = "tests/balsamtally/test_terminations.py"
ASKS = "tests/balsamtally/test_asks.py"
RESERVATIONS = "tests/balsamtally/test_reservations.py"
COORDINATION = "tests/balsamtally/test_coordination.py"
PACES = "tests/balsamtally/test_paces.py"
PAUSES = "tests/balsamtally/test_pauses.py"
RAW_ANSWERS = "tests/balsamtally/test_raw_answers.py"
RAW_CHATS = "tests/balsamtally/test_raw_chats.py"
STREAMS = "tests/balsamtally/test_streams.py"
WAITING = "tests/balsamtally/test_waiting.py"
WIRE = "tests/balsamtally/platform/test_wire.py"

MUTATIONS = (
    Mutation("admission", "if counted_tier <= tier", "if True", ADMISSION),
    Mutation("chats", "if isinstance(error, GraceEnded):", "if False:", CHATS),
    Mutation("services", "if operation.timeout_s > self._find_left_s():", "if False:", SERVICES),
    Mutation("services", "if time_s <= 0:", "if False:", SERVICES),
    Mutation(
        "services", "min(operation.timeout_s, self._f", "max(operation.timeout_s, self._f", SERVICES
    ),
    Mutation("chats", "while not has_reached_limit(chat, progress):", "while True:", CHATS),
    Mutation("chats", "body[name] -= progress.tokens", "pass", CHATS),
    Mutation("chats", "if stream.cancelled:", "if False:", CHATS),
    Mutation("chats", "progress.reached_runner = True\n        return", "return", CHATS),
    Mutation("chats", "is_budget_exempt or self.take_retry", "self.take_retry", CHATS),
    Mutation("chats", "self.record_refusal(server.name)", "pass", CHATS),
    Mutation("chats", "refused = True\n", "pass\n", CHATS),
    Mutation(
        "coordinator",
        "self._ticked_at[pool] > MAX_PAUSE_S:\n            self",
        "0 > 1:\n            self",
        COORDINATOR,
    ),
    Mutation("coordinator", "queue.drop_sender(sender)", "pass", COORDINATOR),
    Mutation("coordinator", "except Exception:", "except ZeroDivisionError:", COORDINATOR),
    Mutation("orders", "allowed=server.pools", "allowed=()", ORDERS),
    Mutation("placement", "report.name not in self.outstanding", "True", ORDERS),
    Mutation(
        "routes", "(self._facts_changes, self.members.version)", "(0, self.members.version)", ROUTES
    ),
    Mutation(
        "routes", "(self._facts_changes, self.members.version)", "(self._facts_changes, 0)", ROUTES
    ),
    Mutation("chats", "and progress.failed_starts < MAX_FAILED_STARTS", "", CHATS),
    Mutation("callers", "if self.began_answer:", "if False:", CALLERS),
    Mutation("entry", "if not self.headers_sent:", "if True:", ENTRY),
    Mutation("backends", "except (AnswerCut, NoAnswer) as", "except Exception as", FORWARDING),
    Mutation("forwarding", "except BaseException as", "except BytesWarning as", CALL_LOG),
    Mutation("backends", "if connection.has_late_answer():", "if False:", CALL_LOG),
    Mutation("callers", "caller.closing = self._closing", "pass", CALLERS),
    Mutation("crash_evidence", "if at_s - last_s >=", "if True or", CRASH_EVIDENCE),
    Mutation("crash_evidence", "if crash.service != service:", "if False:", CRASH_EVIDENCE),
    Mutation("crash_evidence", "set.intersection(", "set.union(", CRASH_EVIDENCE),
    Mutation(
        "crash_evidence", "crash.sent_s.get(part, begun_s) < begun_s", "False", CRASH_EVIDENCE
    ),
    Mutation("quarantine", "if now - self._own_crash_s > DECIDING_S:", "if False:", QUARANTINE),
    Mutation("quarantine", "if waited_s >= SETTLE_S:", "if True:", QUARANTINE),
    Mutation("quarantine", "if now < entry.until_s:", "if False:", QUARANTINE),
    Mutation(
        "quarantine", "held.issuperset(group)\n            #", "True\n            #", QUARANTINE
    ),
    Mutation("quarantine", "min(known.until_s, until_s)", "until_s", QUARANTINE),
    Mutation("quarantine", "known.released or state.released", "state.released", QUARANTINE),
    Mutation(
        "quarantine_exchange", "or time.monotonic() - self._sent_s", "or 0", QUARANTINE_EXCHANGE
    ),
    Mutation("terminations", "is_old and result.ready()", "True", TERMINATIONS),
    Mutation(
        "forwarding",
        'is bounded.\n            return ""',
        'is bounded.\n            return "x" * (len(progress.avoid) > 4)',
        FORWARDING,
    ),
    Mutation(
        "forwarding",
        "and not caller.began_answer:\n                self",
        ":\n                self",
        FORWARDING,
    ),
    Mutation("forwarding", "progress.crashes >= MAX_CRASHES or", "", FORWARDING),
    Mutation(
        "forwarding",
        "except Exception:\n            log",
        "except LookupError:\n            log",
        FORWARDING,
    ),
    Mutation(
        "forwarding",
        "if connection.ends_by_close and not is_still",
        "if False and not is_still",
        FORWARDING,
    ),
    Mutation("receipts", "receipt.customer != customer", "False", RECEIPTS),
    Mutation("receipts", "record.digest != digest", "False", RECEIPTS),
    Mutation("receipts", "record.done.wait()", "pass", RECEIPTS),
    Mutation("receipts", "if record.state is State.FINISHED:", "if False:", RECEIPTS),
    Mutation("receipts", "if record.state is State.VOID:", "if False:", RECEIPTS),
    Mutation("receipts", "if not self.is_issuer(receipt):", "if False:", RECEIPTS),
    Mutation("receipts", "self._monotonic() - record.issued_at", "self._clock() - 1e9", RECEIPTS),
    Mutation("receipts", "not hmac.compare_digest", "False and hmac.compare_digest", RECEIPTS),
    Mutation("receipts", ">= self._max_receipts:", ">= 1e9:", RECEIPTS),
    Mutation(
        "receipts", "error: BalsamtallyError = OutcomeUnknown()", "error = Leaving()", RECEIPTS
    ),
    Mutation("receipts", "while self._answer_bytes > ", "while False and ", RECEIPTS),
    Mutation("answers", "if chunk_id != self.attempt_id:", "if False:", ANSWERS),
    Mutation("answers", "self.finish_reason is not None and (text", "False and (text", ANSWERS),
    Mutation("answers", "completion_tokens < self.chunks", "False", ANSWERS),
    Mutation("answers", "if self.finish_reason is None:", "if False:", ANSWERS),
    Mutation("facts", "ticket_id <= (current.number, current.digest)", "False", FACTS),
    Mutation(
        "facts",
        "ticket_id <= (current.number, current.digest)",
        "ticket_id[0] <= current.number",
        FACTS,
    ),
    Mutation("facts", 'self._toggle_in_bucket((number, f"conflict {digest}"))', "pass", EXCHANGE),
    Mutation("facts", "if len(self.refused) < MAX_REFUSED:", "if False:", EXCHANGE),
    Mutation("facts", "if len(self.refused) < MAX_REFUSED:", "if True:", FACTS),
    Mutation("facts", "if active.uses == 0:", "if False:", FACTS),
    Mutation("members", "self._raise_generation(state.generation)", "pass", EXCHANGE),
    Mutation("members", "if rank_state(state) <= rank_state(record.state):", "if 0:", MEMBERS),
    Mutation("heartbeats", "if self._beats % DEAD_PROBE_BEATS == 0:", "if False:", EXCHANGE),
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
        f"{DISSEMINATION}::test_outage_leaves_running_daemons_ready_but_not_a_fresh_one",
    ),
    Mutation("members", "return not self.is_resuming() and", "return", MEMBERS),
    Mutation("members", "if now - self._last_tick_s > PAUSE_THRESHOLD_S:", "if False:", MEMBERS),
    Mutation("members", "record.penalize(now)", "pass", MEMBERS),
    Mutation("members", "now - at > LEAVING_REPORT_TTL_S", "False", MEMBERS),
    Mutation("members", "state.leaving or listed", "state.leaving", MEMBERS),
    Mutation("members", "and not record.damped", "", MEMBERS),
    Mutation(
        "heartbeats", "            self.members.confirm_contact()", "            pass", MEMBERS
    ),
    Mutation(
        "heartbeats",
        "if self.members.resume_count == resume_count:\n            self.members.c",
        "if 1:\n            self.members.c",
        MEMBERS,
    ),
    Mutation(
        "heartbeats",
        "if self.members.resume_count == resume_count:\n                ",
        "if 1:\n                ",
        MEMBERS,
    ),
    Mutation("heartbeats", "min(MAX_PROBE_HELPERS, len(helpers))", "0", MEMBERS),
    Mutation("members", "        self._ranks.clear()\n", "", MEMBERS),
    Mutation("members", "        self._counts = None\n", "", LIMITS),
    Mutation("limits", "bucket.tokens -= granted", "pass", LIMITS),
    Mutation("limits", "capacity = max(1.0, rate * BURST_S)\n", "capacity = 1e9\n", LIMITS),
    Mutation("limits", "reserved += count\n", "pass\n", LIMITS),
    Mutation(
        "limits", "reserved += max(0, count - self", "reserved += min(0, count - self", LIMITS
    ),
    Mutation("limits", "demands += rates.get(key, 0.0)", "pass", LIMITS),
    Mutation(
        "limits",
        "allowance.tokens += max(0.0, min(headroom, ",
        "allowance.tokens += (max(9.0, ",
        LIMITS,
    ),
    Mutation("limits", "return allowance.tokens >= cost if cost", "return True if cost", LIMITS),
    Mutation("limits", "self._ask(find_shard(key), [key])", "pass", LIMITS),
    Mutation("receipts", "record.state = State.VOID\n        else", "pass\n        else", RECEIPTS),
    Mutation(
        "services",
        "except BalsamtallyError as error:\n                raise OutcomeUnknown(str(error))",
        "except BalsamtallyError as error:\n                failure = error\n"
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
    Mutation(
        "services",
        "is_later(found.incarnation, receipt.incarnation)",
        "found.incarnation != receipt.incarnation",
        SERVICES,
    ),
    Mutation("services", "if isinstance(error, PeerTimeout) and", "if False and", SERVICES),
    Mutation("services", " and self._clock() < begun_s + timeout_s", "", SERVICES),
    Mutation("services", "if receipt.vm == self._receipts.vm:", "if True:", SERVICES),
    Mutation("services", "not server.leaving and not", "not", SERVICES),
    Mutation("services", "if is_refusal(answer):", "if False:", SERVICES),
    Mutation("services", "if not known.idempotent:", "if False:", SERVICES),
    Mutation("services", "raise WrongAnswer()", "pass", SERVICES),
    Mutation("services", "response.length_remaining is None", "False", SERVICES),
    Mutation("services", "receipt_text is None or", "True or", SERVICES),
    Mutation("retries", "if bucket.retries < 1.0:", "if False:", RETRIES),
    Mutation(
        "retries",
        "min(MAX_BURST_RETRIES, bucket.retries + elapsed_s",
        "max(0, bucket.retries + elapsed_s",
        RETRIES,
    ),
    Mutation("budgets", "if len(retries) + 1 > self.find_limit(service):", "if False:", BUDGETS),
    Mutation("budgets", "allowance / members if members", "allowance if members", BUDGETS),
    Mutation("framing", "if len(framing) > 1 or any(", "if any(", CALLERS),
    Mutation("framing", 'if names.count(b"host") != 1:', "if False:", CALLERS),
    Mutation("callers", "if self._serving is not None:", "if False:", CALLERS),
    Mutation("callers", "        self._ended = True\n", "", CALLERS),
    Mutation("catalog", "if contracts.version > before:", "if True:", CATALOG),
    Mutation("records", "record.revision > held.revision", "True", RECORDS),
    Mutation("dispatch", "current.key == key and not current.leaving", "True", DISPATCH),
    Mutation("dispatch", "or demand.tier < lowest_tier:", "or False:", DISPATCH),
    Mutation("forwarding", "if verdict is not Verdict.FOREIGN:", "if True:", FORWARDING),
    Mutation(
        "forwarding",
        "if failure.outcome is not Outcome.NOT_RUN and not may_repeat(plan, begun):",
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
        "if not self._terminations.has_terminated(progress.backend):",
        "if False:",
        FORWARDING,
    ),
    Mutation("backends", "elif request_id not in connection.request_ids:", "else:", FORWARDING),
    Mutation(
        "backends", "len(self.request_ids) >= MAX_REQUESTS", "len(self.request_ids) < 0", FORWARDING
    ),
    Mutation("backends", "if len(self._head_requests) > 1:", "if False:", FORWARDING),
    Mutation("backends", "not connection.has_lost_witness(self._clock())", "True", FORWARDING),
    Mutation(
        "backends",
        "                continue\n            return",
        "            return",
        FORWARDING,
    ),
    Mutation("backends", " or now_s - self._witness_since_s >= self.idle_limit_s", "", BACKENDS),
    Mutation("sockets", 'receive_now(sock, 1, plain.MSG_PEEK) == b""', "True", FORWARDING),
    Mutation("events", "if event_id <= self._last_id:", "if False:", FORWARDING),
    Mutation("events", "if not all(_FIELD.fullmatch(line)", "if not any(True", EVENTS),
    Mutation("forwarding", "and holds_answer_head(body):", "and False:", FORWARDING),
    Mutation("backends", "if readable and sent_bytes < len(head):", "if False:", FORWARDING),
    Mutation("forwarding", "            progress.sent -= 1\n", "", FORWARDING),
    Mutation(
        "backends",
        "return self._accepts_connections(backend, attempts=1) is False",
        "return False",
        FORWARDING,
    ),
    Mutation("backlogs", "self.reading[: urgency + 1]", "self.reading", BACKLOGS),
    Mutation("beats", "now - self._last_sent_s >= REFRESH_BEAT_S", "True", PEERS),
    Mutation("beats", "or beat.revision != sent.revision", "", PEERS),
    Mutation("plans", "tier * ROUTE_RANKS + rank", "tier", PLANS),
    Mutation("grace_period", "if task in self._waiting:", "if True:", GRACE_PERIOD),
    Mutation("grace_period", "min(self._begun_s, self._clock())", "self._clock()", GRACE_PERIOD),
    Mutation("grace_period", "end_s < plan.until_s and", "", GRACE_PERIOD),
    Mutation(
        "grace_period", "math.inf if plan.route.repeat is Repeat.NEVER else", "", GRACE_PERIOD
    ),
    Mutation("grace_period", " - spent_s)", ")", GRACE_PERIOD),
    Mutation("grace_period", "if plan.route.repeat is Repeat.RESUME", "if False", GRACE_PERIOD),
    Mutation("grace_period", "if progress.first_event_s:", "if False:", GRACE_PERIOD),
    Mutation(
        "forwarding",
        "if self._hooks.find_end_s(plan) - time.monotonic() < MIN_LEFT_S:",
        "if plan.until_s - time.monotonic() < MIN_LEFT_S:",
        STOPS,
    ),
    Mutation("gateway", "not (ends_early and isinstance(failure, NoAnswer))", "True", STOPS),
    Mutation("gateway", "self._grace_period.check(plan, progress)", "pass", STOPS),
    Mutation("gateway", "self._grace_period.refuse_waiting()", "pass", STOPS),
    Mutation("gateway", "self._callers.interrupt(GraceEnded())", "pass", STOPS),
    Mutation("forwarding", "left_s = self._hooks.find_end_s(plan)", "left_s = plan.until_s", STOPS),
    Mutation("gateway", "            self._wait_for_contracts()\n", "", GRID),
    Mutation("gateway", "is not None and not self.leaving", "is not None", GRID),
    Mutation(
        "streams",
        "except _FAILURES as error:\n            text",
        "except KeyError as error:\n            text",
        STREAMS,
    ),
    Mutation("backends", 'self._method != b"HEAD" and', "", FORWARDING),
    Mutation("backends", "event.status_code not in BODILESS", "True", FORWARDING),
    Mutation("callers", "() if status in BODILESS else", "", FORWARDING),
    Mutation("callers", "if self._is_cut_without_framing():", "if False:", CALLERS),
    Mutation("calls", "if self.status in BODILESS:", "if False:", FORWARDING),
    Mutation("forwarding", ' and plan.call.method != b"HEAD"', "", FORWARDING),
    # Both guards against a second answer in a stream.
    Mutation(
        "forwarding",
        "and not caller.began_answer:\n                self",
        ":\n                caller.began_answer = False\n                self",
        RAW_ANSWERS,
    ),
    Mutation("callers", "if self._is_cut_without_framing():", "if False:", RAW_ANSWERS),
    Mutation("callers", "() if status in BODILESS else", "", RAW_ANSWERS),
    Mutation("forwarding", "if verdict is not Verdict.FOREIGN:", "if True:", RAW_ANSWERS),
    Mutation("forwarding", "if reader.rest:", "if False:", RAW_ANSWERS),
    Mutation("forwarding", "progress.last_event = ids[-1]", "pass", RAW_ANSWERS),
    Mutation(
        "responses",
        "cut = AnswerCut(str(error))",
        "return\n        cut = AnswerCut(str(error))",
        RAW_CHATS,
    ),
    Mutation("answers", "if chunk_id != self.attempt_id:", "if False:", RAW_CHATS),
    Mutation("backends", "if self._unsent:", "if False:", FORWARDING),
    Mutation("backends", "self._yield_after(len(data))", "pass", BACKENDS),
    Mutation("backends", "range(MAX_INTERIM_ANSWERS + 1)", "iter(int, 1)", BACKENDS),
    Mutation("backends", "if len(body) > most_bytes:", "if False:", BACKENDS),
    Mutation("backends", "min(until_s, time.monotonic() + DRAIN_S)", "until_s", BACKENDS),
    Mutation("beats", "while len(self._batches) > turns:", "while self._batches:", PEERS),
    Mutation("beats", "(self._next_index + self._max_targets) % len(ips)", "0", PEERS),
    Mutation(
        "dispatch", "reading[rank] += demand.prompt_tokens // len(local_names)", "pass", DISPATCH
    ),
    Mutation("dispatch", "tokens = sum(load.reading)", "tokens = 0", DISPATCH),
    Mutation(
        "runners",
        "                dedicated |= chosen\n",
        "                dedicated |= chosen if at_home else set()\n",
        DISPATCH,
    ),
    Mutation(
        "runners", "if concurrent_prompts and is_near_tightest(", "if is_near_tightest(", DISPATCH
    ),
    Mutation("asks", "while missed < MAX_ATTEMPTS and", "while", ASKS),
    Mutation("asks", "self._silent_since_s[coordinator.vm] = self._clock()", "pass", ASKS),
    Mutation("asks", "            if final is None:\n", "            if False:\n", ASKS),
    Mutation(
        "asks",
        "self._find_coordinator(plan.service, self._list_silent())",
        "self._find_coordinator(plan.service, set())",
        ASKS,
    ),
    Mutation("dispatch", "current.key == key and not current.leaving", "True", ASKS),
    Mutation(
        "reservations",
        "if number <= beat.last_ask_number and number not in",
        "if number not in",
        RESERVATIONS,
    ),
    Mutation("reservations", "and number not in beat.pending_asks:", ":", RESERVATIONS),
    Mutation(
        "reservations",
        "                by_number[number].seen_s = now\n",
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
    Mutation(
        "peers", "        elif beat.region_loads is not None:\n", "        elif False:\n", PEERS
    ),
    Mutation(
        "paces",
        "return min(MAX_FACTOR, max(1.0, self._find_factor(key)))",
        "return max(1.0, self._find_factor(key))",
        PACES,
    ),
    Mutation("reports", "(BackendRefused, ConnectionUnusable)", "BackendRefused", DISPATCH),
    Mutation("dispatch", "if not self._pass_scheduled and any", "if any", DISPATCH),
    Mutation(
        "dedicated_runners",
        "return 0.0 < gap_s <= tightest_s * TIGHTEST_BOUND_FACTOR",
        "return 0.0 < gap_s",
        DEDICATED_RUNNERS,
    ),
    Mutation(
        "dedicated_runners",
        "and candidate.running <= fewest + MAX_STREAM_IMBALANCE",
        "",
        DEDICATED_RUNNERS,
    ),
    Mutation(
        "dedicated_runners",
        "if runners < MIN_RUNNERS or not streams:",
        "if not streams:",
        DEDICATED_RUNNERS,
    ),
    Mutation(
        "dedicated_runners",
        "return 0 < event_s * speed.tokens_per_s <= reading_tokens",
        "return True",
        DISPATCH,
    ),
    Mutation(
        "dedicated_runners", "EVENT_TIME_SHARE if speed.has_learnt_beside else N", "N", DISPATCH
    ),
    Mutation("runners", "streams.is_observed(self._clock())", "False", DISPATCH),
    Mutation("runners", "and now >= health.ejected_until", "", DISPATCH),
    Mutation("stalls", "        if paused:", "        if False:", STALLS),
    Mutation(
        "runners", "return demand.allows_software(server.backend.software)", "return True", DISPATCH
    ),
    Mutation("dispatch", "if not demand.allows_software(backend.software):", "if False:", DISPATCH),
    Mutation(
        "dispatch",
        "limits = (waiting.demand.allowed_regions, waiting.demand.software)",
        "limits = NO_LIMITS",
        DISPATCH,
    ),
    Mutation("runners", "and demand.software is None", "", DISPATCH),
    Mutation("forwarding", "born != backend.born:", "False:", FORWARDING),
    Mutation("takeups", "return sole if present <= {sole} else None", "return sole", TAKEUPS),
    Mutation("takeups", "if plan.route.repeat is Repeat.RESUME:", "if True:", TAKEUPS),
    Mutation("takeups", "call.resumes if taken_up else call.id", "call.id", TAKEUPS),
    Mutation("forwarding", "if is_reachable and not self", "if not self", FORWARDING),
    Mutation("stalls", "and activity.verdict_s <= activity.heard_s", "", STALLS),
    Mutation("stalls", "or (each.streams and max(", "or (False and max(", STALLS),
    Mutation("stalls", "if each.verdict_s > each.heard_s\n            or", "if", STALLS),
    Mutation("moves", "if not self._take_retry():", "if False:", FORWARDING),
    Mutation("moves", "place.work.cancel()\n\n    def take", "pass\n\n    def take", MOVES),
    Mutation("moves", "if self._place is None:", "if False:", FORWARDING),
    Mutation("forwarding", "or self._terminations.is_reachable(backend)", "or True", FORWARDING),
    Mutation("forwarding", "self._prepare_connection(plan, place.backend)", "pass", FORWARDING),
    Mutation(
        "forwarding",
        "            self._hooks.admit(plan, attempt)\n            if",
        "            if",
        FORWARDING,
    ),
    Mutation("forwarding", "if not self._hooks.is_open(place.backend):", "if False:", FORWARDING),
    Mutation("forwarding", "if not may_repeat(plan, caller.began_answer) or", "if", FORWARDING),
    Mutation("forwarding", " | self._stalls.list_silent()", "", FORWARDING),
    Mutation("forwarding", "if not self._hooks.has_retry(plan.service):", "if False:", FORWARDING),
    Mutation("dispatch", "self._handle_own_report(report_silence(", "(lambda each: 0)((", DISPATCH),
    Mutation(
        "stalls", "if not silent or not self._is_network_up(len(silent), now):", "if False:", STALLS
    ),
    Mutation("stalls", "enough = silent >= MIN_SILENT_STREAMS and", "enough =", STALLS),
    Mutation("stalls", "and 2 * silent >= opened", "", STALLS),
    Mutation(
        "stalls", "any(each.open and each.heard_s < limit_s for each in told)", "False", STALLS
    ),
    Mutation(
        "stalls", "SILENCE_FACTOR * max(bound_s, recent_s)", "SILENCE_FACTOR * bound_s", STALLS
    ),
    Mutation("stalls", "bound_s = 0.0 if self.is_told(now_s) else min", "bound_s = min", STALLS),
    Mutation(
        "stalls",
        "self._activity.verdict_s >= self._begun_s",
        "self._activity.verdict_s > 0",
        STALLS,
    ),
    Mutation("stalls", "if self._event_s > self._activity.resumed_s:", "if self._event_s:", STALLS),
    Mutation(
        "forwarding",
        "may_run = progress.former_may_run",
        "may_run = False",
        FORWARDING,
    ),
    Mutation(
        "backends",
        "            if data is not None:\n                return data\n            self.check()",
        "            pass",
        FORWARDING,
    ),
    Mutation("backends", "receive_now(self._sock, READ_BYTES)", "None", BACKENDS),
    Mutation("backends", "if event.status_code > MAX_STATUS:", "if False:", RAW_ANSWERS),
    Mutation("held_bytes", "if self.has_room(size):", "if True:", HELD_BYTES),
    Mutation("held_bytes", "not is_largest and ", "", HELD_BYTES),
    Mutation("held_bytes", "if self._by_backend.total() + size", "if size", HELD_BYTES),
    Mutation("held_bytes", "and size > SMALL_BYTES", "", HELD_BYTES),
    Mutation("held_bytes", "if size < 0:", "if False:", HELD_BYTES),
    Mutation("request_bodies", "self._count(declared)", "pass", CALLERS),
    Mutation("request_bodies", "self._count(0)", "pass", CALLERS),
    Mutation("readers", "lag_s > MAX_LAG_S or ", "", READERS),
    Mutation("readers", "if not readers:", "if False:", READERS),
    Mutation("readers", "if own.read_state == PlatformReadState.REFUSED:", "if False:", READERS),
    Mutation("readers", " or age_s >= times.last_s", "", READERS),
    Mutation("readers", "age_s >= times.first_s + times.step_s", "False and 1.0", READERS),
    Mutation("readers", "return find_rank(own, near_readers) == 0", "return True", READERS),
    Mutation("readers", "if not near_readers and rank == 0:", "if False:", READERS),
    Mutation("peers", "elif beat.age_ms is not None:", "elif False:", PEERS),
    Mutation("peers", "self._random.choice(newest_peers)", "self._random.choice(alive)", PEERS),
    Mutation("peers", "if peer.beat.vm in self._new_peers:", "if False:", PEERS),
    Mutation(
        "decoding",
        "Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]",
        "Annotated[int, msgspec.Meta(ge=0)]",
        DOCUMENTS,
    ),
    Mutation("platform/documents", "(ge=0, le=MAX_SLOTS)", "(ge=0)", DOCUMENTS),
    Mutation("platform/documents", "(ge=0, le=MAX_MS)", "(ge=0)", DOCUMENTS),
    Mutation("platform/documents", "(ge=0, le=MAX_WEIGHT)", "(ge=0)", DOCUMENTS),
    Mutation("platform/documents", "(max_length=MAX_NAME_CHARS)", "()", DOCUMENTS),
    Mutation("platform/documents", "(max_length=MAX_ADDRESS_CHARS)", "()", DOCUMENTS),
    Mutation("platform/documents", ", pattern=HEADER_VALUE)", ")", DOCUMENTS),
    Mutation("platform/documents", "or not re.search(HEADER_VALUE, name)", "", DOCUMENTS),
    Mutation("sockets", "port.isascii() and port.isdigit()", "port.isdecimal()", DOCUMENTS),
    Mutation("decoding", "except RecursionError as error:", "except KeyError as error:", DOCUMENTS),
    Mutation(
        "catalog",
        "contracts = self._decoder.read_contracts(record)\n        except DECODING_ERRORS",
        "contracts = self._decoder.read_contracts(record)\n        except ValueError",
        CATALOG,
    ),
    Mutation(
        "catalog",
        "name, record.value)\n        except DECODING_ERRORS",
        "name, record.value)\n        except ValueError",
        CATALOG,
    ),
    Mutation("platform/store", "    key: Key\n", "    key: str\n", STORE),
    Mutation("platform/store", "    revision: Count\n", "    revision: int\n", STORE),
    Mutation("platform/store", "found[-1].key <= after", "False", STORE),
    Mutation(
        "platform/store",
        "text, validate=True)\n    except ValueError",
        "text, validate=True)\n    except KeyError",
        STORE,
    ),
    Mutation(
        "platform/store",
        "decode(_item, raw), era))\n        except ValueError",
        "decode(_item, raw), era))\n        except KeyError",
        STORE,
    ),
    Mutation("peers", "decode(_message, data)", "_message.decode(data)", PEERS),
    Mutation("peers", "decode(_update, body)", "_update.decode(body)", PEERS),
    Mutation("peers", "except Exception:", "except ZeroDivisionError:", PEERS),
    Mutation("decoding", "(ge=-MAX_INTEGER, le=MAX_INTEGER)", "()", PEERS),
    Mutation("decoding", "(ge=-MAX_SECONDS, le=MAX_SECONDS)", "()", PEERS),
    Mutation("decoding", "MAX_SECONDS = 1e18", "MAX_SECONDS = 1e9", RESERVATIONS),
    Mutation("catalog", "min(update.grace_s, RETURN_GRACE_S)", "update.grace_s", CATALOG),
    Mutation("decoding", "(pattern=rf", "(description=rf", PEERS),
    Mutation("backlogs", "min(tokens, MAX_INTEGER) for", "tokens for", BACKLOGS),
    Mutation("backlogs", "min(self.memory_tokens, MAX_INTEGER)", "self.memory_tokens", BACKLOGS),
    Mutation("bodies", "        check_levels(raw)\n", "", BODIES),
    Mutation("bodies", "    max_tokens: Integer", "    max_tokens: int", BODIES),
    Mutation("streams", "    check_levels(chunk.usage)\n", "", STREAMS),
    Mutation("streams", "decode(_decoder, data)", "_decoder.decode(data)", STREAMS),
    Mutation("streams", "and type(tokens) is not int", "and False", STREAMS),
    Mutation(
        "observers", "decode(_report, response.data)", "_report.decode(response.data)", ORDERS
    ),
    Mutation(
        "services",
        "decode(_refusal_decoder, answer.body)",
        "_refusal_decoder.decode(answer.body)",
        SERVICES,
    ),
    Mutation(
        "links",
        "        except msgspec.DecodeError as error:",
        "        except KeyError as error:",
        LINKS,
    ),
    Mutation("configuration", "except DECODING_ERRORS", "except ZeroDivisionError", CONFIGURATION),
    Mutation("configuration", "(ge=1, le=65_535)", "()", CONFIGURATION),
    Mutation(
        "configuration", "msgspec.convert(fields, EntryVm)", "EntryVm(**fields)", CONFIGURATION
    ),
    Mutation("platform/settings", "ValueError, RecursionError, yaml", "yaml", SETTINGS),
    Mutation("platform/settings", "if not 0 <= amount <= MAX_AMOUNT:", "if False:", SETTINGS),
    Mutation("platform/wire", "| CONNECTION_HEADERS | OWN_HEADERS", "| CONNECTION_HEADERS", WIRE),
    Mutation("platform/wire", "if answered_id is not None and answered_id !=", "if None !=", WIRE),
    Mutation("platform/wire", 'if b"_" in name and', "if False and", WIRE),
    Mutation(
        "waiting", "return waiter.urgency, will_miss_target", "return 0, will_miss_target", WAITING
    ),
    Mutation("streams", "if answered_id != self.attempt_id:", "if False:", STREAMS),
    Mutation("waiting", "LATE_READ_AHEAD_S if late", "LATE_READ_AHEAD_S if False", WAITING),
    Mutation(
        "pauses",
        "elif choice is None or not self._pauses.is_paused(choice.backend):",
        "elif True:",
        PAUSES,
    ),
    Mutation("pauses", "if self._clock() + wait_s >= latest_s:", "if False:", PAUSES),
    Mutation("pauses", "pause_s = min(pause_s, MAX_PAUSE_S)", "pass", PAUSES),
    Mutation("catalog", "if backend.key in self._departures:", "if False:", CATALOG),
    Mutation("server_limits", "and not is_later(statement, held)", "and False", SERVER_LIMITS),
    Mutation(
        "server_limits",
        "self._record(key, Statement(None, sent_s)",
        "self._record(key, " "Statement(None, self._clock())",
        SERVER_LIMITS,
    ),
    Mutation("server_limits", "+ (TRANSIT_S if", "+ (0.0 if", SERVER_LIMITS),
    Mutation("server_limits", "if unlimited_s is not None and", "if False and", SERVER_LIMITS),
    Mutation("server_limits", "if not self._is_known(item.key):", "if False:", SERVER_LIMITS),
    Mutation(
        "permits",
        "max(limit_per_s, MIN_RATE_PER_S) * share",
        "max(limit_per_s, " "MIN_RATE_PER_S)",
        PERMITS,
    ),
    Mutation("permits", "max(limit_per_s, MIN_RATE_PER_S)", "limit_per_s", PERMITS),
    Mutation("permits", "bucket.tokens -= count", "pass", PERMITS),
    Mutation("permits", "self.tokens = min(most, ", "self.tokens = max(0.0, ", PERMITS),
    Mutation("permits", "and bucket.serves_asks:", "and True:", PERMITS),
    Mutation("permits", "and not (bucket.serves_asks and bucket.asks)", "", PERMITS),
    Mutation("permits", "and purse.until_s > self._clock()", "", PERMITS),
    Mutation("permits", "self._buckets.pop(backend.key, None)", "pass", PERMITS),
    Mutation("records", "if record.era < self.era:", "if False:", RECORDS),
    Mutation("records", "held.era < era and self._is_lost(held)", "False", RECORDS),
    Mutation(
        "records",
        "sequence = max(record.removed_sequence, self._rank(held)[0])",
        "sequence = ()",
        RESTORED_STORE,
    ),
    Mutation("records", "elif record.era > held.era:", "elif False:", RECORDS),
    Mutation(
        "catalog",
        "            self.start_removal_grace()\n        self._apply",
        "        " "self._apply",
        RESTORED_STORE,
    ),
    Mutation("catalog", "if update.era < self.records.era:", "if False:", CATALOG),
    Mutation("catalog", "if since < records.history_start:", "if False:", CATALOG),
    Mutation(
        "catalog",
        "if update.since and (update.era, update.since) > self.records.position:",
        "if False:",
        CATALOG,
    ),
    Mutation("records", "self.history_start = at", "pass", CATALOG),
    Mutation("records", ".union(unchanged_keys)", "", CATALOG),
    Mutation("records", "r.key in self._records or r.position > position", "True", CATALOG),
    Mutation("records", "if (era, at) < self.position:", "if False:", CATALOG_RESTARTS),
    Mutation(
        "peers", "if update.since is None and since and update.era == era:", "if False:", PEERS
    ),
    Mutation("platform/store", "if era > known:", "if False:", RESTORED_STORE),
    Mutation(
        "platform/store",
        "if first_era is not None and era != first_era:",
        "if False:",
        RESTORED_STORE,
    ),
    Mutation("platform/store", "if era is not None and era < known:", "if False:", RESTORED_STORE),
    Mutation("platform/store", "if (first_era, first_at) < known:", "if False:", RESTORED_STORE),
    Mutation("readers", "beat.era >= own.era and ", "", RESTORED_STORE),
    Mutation(
        "departures",
        "if not incarnation[1] or incarnation in self._incarnations:",
        "if incarnation in self._incarnations:",
        CATALOG,
    ),
    Mutation("paths/losses", "if link.probes >= PROBES_TO_RETURN:", "if True:", LOSSES),
    Mutation("paths/losses", "if lost >= MIN_LOST:", "if True:", LOSSES),
    Mutation("paths/losses", "return unreachable >= MIN_UNREACHABLE", "return True", LOSSES),
    Mutation("paths/relays", "if not self._is_peer(ip):", "if False:", RELAYS),
    Mutation("paths/relays", "if backend is None:", "if False:", RELAYS),
    Mutation(
        "paths/relays", "status if self._reaches_only_others(backend) else 503", "status", RELAYS
    ),
    Mutation("paths/relays", "elif not end_sending(server, END_TIMEOUT_S):", "elif False:", RELAYS),
    Mutation("paths/relays", "set_up(sock, PEER_USER_TIMEOUT_MS)", "set_up(sock)", RELAYS),
    Mutation("paths/tunnels", "if http.trailing_data[0]:", "if False:", RELAYS),
    Mutation("paths/dialer", "before[relay.domain] += 1", "pass", RELAYS),
    Mutation("paths/dialer", "return path.incarnation == incarnation", "return True", RELAYS),
    Mutation(
        "paths/dialer",
        "if race.winner is None and is_lost and not list_news(race):",
        "if False:",
        RELAYS,
    ),
    Mutation("backends", "if not connection.relay and losses.hangs(backend):", "if False:", RELAYS),
    Mutation(
        "stalls", "and activity.verdict_s <= activity.heard_s\n            and not", "and", STALLS
    ),
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
