"""Test callers of a :class:`Grid`, and checks of the answers that they receive."""

import contextlib
import itertools
import secrets
import time
from dataclasses import dataclass, field

import gevent

from balsamtally.backends import BackendConnection
from balsamtally.errors import BalsamtallyError
from balsamtally.sockets import connect
from standins.grid import CALLER_PORT, CUSTOMER, HOST, KEY, Grid, Vm, list_ids, sign

TIMEOUT_S = 10.0
# Pause between two requests of a caller of steady traffic.
CALL_INTERVAL_S = 0.1
STREAM_EVENTS = 8
# Statuses that guarantee that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
_attempt_numbers = itertools.count(1)


@dataclass
class Answer:
    """An answer as the caller received it.

    :ivar id: attempt id of the request
    :ivar status: HTTP status, 0 if no answer was received
    :ivar headers: headers with names in lower case
    :ivar body: the part of the body that was received
    :ivar whole: whether the body was received to its regular end
    :ivar sent_s: monotonic time at which the request was sent, in seconds
    """

    id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    sent_s: float = 0.0

    @property
    def good(self) -> bool:
        """Whether the status is 200 and the body is complete."""
        return self.status == 200 and self.whole


class GridCaller:
    """A caller that sends one request at a time to an entry VM; a context manager.

    :param vm: the entry VM
    :param key: API key of the caller
    """

    def __init__(self, vm: Vm, key: str = KEY):
        self._vm = vm
        self._key = key
        self._connection: BackendConnection | None = None

    def __enter__(self) -> "GridCaller":
        return self

    def __exit__(self, *exc_info) -> None:
        if self._connection is not None:
            self._connection.close()

    def ask(
        self, kind: str, body: bytes = b"", timeout_s: float = TIMEOUT_S, **extra_headers
    ) -> Answer:
        """Send a request and return the answer, which is incomplete if the call fails.

        :param kind: name of the route
        :param body: body of the request
        :param timeout_s: time limit for the whole answer, in seconds
        :param extra_headers: further headers, with ``_`` for ``-`` in their names
        """
        answer = Answer(
            f"a{next(_attempt_numbers)}-{secrets.token_hex(4)}", sent_s=time.monotonic()
        )
        until_s = time.monotonic() + timeout_s
        headers = {
            "Host": HOST,
            "Attempt-Id": answer.id,
            "Authorization": f"Token {self._key}",
            "Deadline-Ms": "5000",
            "Content-Length": str(len(body)),
        }
        if kind in ("draft", "history"):
            headers |= {
                "Model": "m",
                "Token-Usage": f"30,{STREAM_EVENTS}",
                "Prompt-Prefix": "a1:20,b2:10",
            }
        headers |= {name.replace("_", "-"): value for name, value in extra_headers.items()}
        raw = tuple((name.encode(), value.encode()) for name, value in headers.items())
        try:
            if self._connection is None:
                self._connection = BackendConnection(connect((self._vm.host, CALLER_PORT), 2.0))
            self._connection.send(b"POST", f"/{kind}/x?y=1".encode(), raw, body, until_s)
            head = self._connection.read_head(until_s)
            answer.status = head.status
            answer.headers = {n.decode().lower(): v.decode() for n, v in head.headers}
            for piece in self._connection.read_body(lambda: until_s):
                answer.body += piece
            answer.whole = True
        except (BalsamtallyError, OSError):
            pass
        if not answer.whole or not self._connection.reset(time.monotonic()):
            self._close_connection()
        return answer

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class Traffic:
    """Steady requests to entry VMs over kept connections; a context manager that ends them.

    :param vms: the entry VMs
    :param key: API key of the callers
    :ivar answers: the answers, in order
    :ivar senders: names of the entry VMs by the ids of the answered requests
    """

    def __init__(self, vms: list[Vm], key: str = KEY):
        self.answers: list[Answer] = []
        self.senders: dict[str, str] = {}
        self._vms = vms
        self._key = key

    def __enter__(self) -> "Traffic":
        self._tasks = [gevent.spawn(self._send_to, vm) for vm in self._vms]
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(self._tasks)

    def _send_to(self, vm: Vm) -> None:
        with GridCaller(vm, self._key) as caller:
            while True:
                answer = caller.ask("lookup", b"body")
                self.answers.append(answer)
                self.senders[answer.id] = vm.name
                gevent.sleep(CALL_INTERVAL_S)


def find_faults(grid: Grid, kind: str, answer: Answer) -> list[str]:
    """Check an answer against the requests that the backend servers executed.

    :param grid: the test deployment
    :param kind: name of the route
    :param answer: the answer
    :return: descriptions of the faults found, empty if there are none
    """
    executions = [
        (server, run) for server in grid.servers for run in server.runs if run[0] == answer.id
    ]
    faults = []
    if kind in ("sign", "history") and len(executions) > 1:
        faults.append("ran twice")
    if answer.status in NOT_EXECUTED_STATUSES and executions:
        faults.append("told as not run, and ran")
    for _, (_, headers, _) in executions:
        if headers.get("tenant") != CUSTOMER or "authorization" in headers:
            faults.append("ran for another customer or with the key")
    if answer.good:
        signatures = {sign(server.name, answer.id) for server, _ in executions}
        if answer.headers.get("response-signature") not in signatures:
            faults.append("not signed by one that ran it")
        if kind in ("draft", "history") and list(list_ids(answer.body)) != [
            *range(1, STREAM_EVENTS + 1)
        ]:
            faults.append("events are missing or doubled")
    return faults


@contextlib.contextmanager
def open_callers(vms: list[Vm]):
    """Yield a list with one caller for each entry VM."""
    with contextlib.ExitStack() as stack:
        yield [stack.enter_context(GridCaller(vm)) for vm in vms]
