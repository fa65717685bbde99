"""A test deployment of the platform path on loopback: store, backend servers and real daemons.

The store and the backend servers run in this process. Each entry VM is a separate daemon process
with its own settings file and loopback address.
"""

import contextlib
import hashlib
import itertools
import json
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import gevent
import yaml

from balsamtally.callers import Caller, CallerServer, Request
from balsamtally.calls import Limits
from balsamtally.errors import BalsamtallyError
from balsamtally.sockets import listen
from standins.fleet import FleetError, draw_host
from standins.store import Store

ROOT = Path(__file__).parents[1]
COLD_BOUNDS = {"cold_overage": 1.5, "cold_slack": 5}
DOMAINS = {"rocha-a": "uy-east", "mvd-a": "uy-south", "poa-a": "br-south"}
SERVER_PORT = 8000
STORE_PORT = 8100
CALLER_PORT = 8200
READY_PORT = 8201
CONTROL_PORT = 8202
PEER_PORT = 8210
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
EVENT_S = 0.02
SERVICE_TIME_S = 0.03
PREFILL_S = 0.05
# Time from a crash caused by a prompt to the server's next start.
RESTART_S = 1.0
# Time from the first answer that says that a server is brittle until it refuses requests, and from
# its fall until its next start.
BRITTLE_S = 4.0
FALLEN_S = 3.0
# Value of SO_LINGER that makes a close reset the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
FIRST_BORN = 1_700_000_000_000
KEY = "example-key-of-buggy-cabo"
CUSTOMER = "buggy-cabo"
HOST = "model.example"
LIMITS = Limits(idle_timeout_s=60.0)
MEMORY_MB = 150
BOUNDS = {
    "grace_s": 8,
    "drain_ms": 3000,
    "config_apply_ms": 3000,
    "retry_budget_ratio": 0.2,
    "budget_extra_retries": 56,
    "budget_window_s": 10,
}
_OK = b"HTTP/1.1 200 OK\r\nECHO\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_FLOOD = b"x" * 16_384
# Larger bodies aren't sent back.
MAX_ECHO_BYTES = 100_000
# Pieces smaller than this are sent with pauses.
SLOW_BYTES = 100
SLOW_S = 0.1
# Beginning and endlessly repeated part of faulty answers; ECHO stands for the usual headers.
ENDLESS = {
    "length": (_OK + b"Content-Length: 1000000000000\r\n\r\n", _FLOOD),
    "chunks": (_CHUNKED, b"4000\r\n" + _FLOOD + b"\r\n"),
    "close": (_OK + b"\r\n", _FLOOD),
    "slow body": (_CHUNKED + b"3c000\r\n" + b"x" * 245_760 + b"\r\n", b"1\r\nx\r\n"),
    "slow header": (_OK + b"Odd: " + b"x" * 60_000, b"x"),
    "header line": (_OK + b"Odd: ", _FLOOD),
    "header lines": (_OK, b"Odd: x\r\n" * 2_000),
    "interim heads": (b"", b"HTTP/1.1 103 Early Hints\r\nOdd: x\r\n\r\n" * 400),
    "event": (_CHUNKED, b"4000\r\n" + _FLOOD + b"\r\n"),
    "chunk extension": (_CHUNKED + b"4000;odd=", _FLOOD),
    "trailers": (_CHUNKED + b"0\r\n", b"Odd: x\r\n" * 2_000),
}
ROUTES = (
    {"name": "draft", "path_prefix": "/draft/", "type": "streaming", "service": "model",
     "resumable": True, "max_attempts": 2, "priority": 2, "timeout_ms": 5000},
    {"name": "history", "path_prefix": "/history/", "type": "streaming", "service": "model",
     "resumable": False, "max_attempts": 1, "priority": 1, "timeout_ms": 5000},
    {"name": "sign", "path_prefix": "/sign/", "type": "non_idempotent", "service": "desk",
     "max_attempts": 2, "priority": 2, "timeout_ms": 3000},
    {"name": "lookup", "path_prefix": "/lookup/", "type": "idempotent", "service": "desk",
     "max_attempts": 2, "priority": 2, "timeout_ms": 3000},
)  # fmt: skip


def sign(server: str, attempt_id: str) -> str:
    """Return the signature that a backend server puts on its answer to an attempt."""
    return hashlib.sha256(f"{server}/{attempt_id}".encode()).hexdigest()[:16]


def make_config(version: int = 1, routes: tuple = ROUTES, keys: tuple[str, ...] = (KEY,)) -> dict:
    """Return a configuration document in the form that the operator publishes."""
    common = {"hostname": HOST, "target_latency_ms": 1000, "gap_target_ms": 500, "public": False}
    return {
        "version": version,
        "routes": [common | route for route in routes],
        "services": [
            {"name": "model", "health_check": "/health", "max_connections": 100,
             "engine": {"slots": 8, "kv_capacity_tokens": 100_000}},
            {"name": "desk", "health_check": "/health", "max_connections": 100},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_000_000,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": CUSTOMER, "api_keys": list(keys)}],
    }  # fmt: skip


class Server:
    """A backend server that records every request it receives and executes; a context manager.

    A request header ``Script`` names the answer to each attempt at the call, separated by commas,
    the last one for all further attempts: a status, ``stall`` (a stream that sends nothing after
    its first event), ``cut`` or ``reset`` (its connection is closed or reset then), or ``whole``.

    :param store: store in which the server registers
    :param name: id of the server
    :param service: name of its service
    :param domain: failure domain of the server
    :param attempts: number of requests by attempt id, shared by the servers of a deployment
    :param software: version of its software, in its registration and its events
    :param born: Unix time of its start, in milliseconds
    :ivar runs: attempt id, headers and time of each executed request, in order
    :ivar run_software: version of the software that executed each of these requests
    :ivar arrivals: attempt id and time of each received request, also of refused requests
    :ivar fault: ``""``, ``"full"`` (503, not executed), ``"reset"`` (closes the connection before
        the answer), ``"cut"`` (closes it within a stream) or ``"error"`` (status 500)
    :ivar leaving: whether its answers say that it is leaving
    :ivar retry_after: value of ``Retry-After`` in its refusals, empty for none
    :ivar limits: values of ``Server-Limit`` in its answers, one header each
    :ivar running: number of requests in progress
    :ivar deadly_part: the server crashes as it begins to answer a prompt with this part, and starts
        again after ``RESTART_S``; empty for none
    :ivar crashes: times of these crashes
    :ivar endless: part of an answer that is sent without end, one of ``ENDLESS``, empty for none
    :ivar silent: whether it sends nothing, and goes on with its answers once this is false again
    :ivar brittle: value of ``Server-Brittle`` in its answers, 0 for none; from ``BRITTLE_S`` after
        the first one the server runs no more than ``slots`` requests, and it falls over if it
        refuses more than this number within a second
    :ivar falls: times at which it fell over
    :ivar slots: number of slots in the registration
    :ivar cold_s: time for which the registration says that the server stays cold, in seconds
    """

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        domain: str,
        attempts: Counter[str],
        software: str = "v1",
        born: int = FIRST_BORN,
    ):
        self.name = name
        self.service = service
        self.software = software
        self.runs: list[tuple[str, dict[str, str], float]] = []
        self.run_software: list[str] = []
        self.arrivals: list[tuple[str, float]] = []
        self.fault = ""
        self.leaving = False
        self.retry_after = ""
        self.limits: tuple[str, ...] = ()
        self.running = 0
        self.deadly_part = ""
        self.crashes: list[float] = []
        self.endless = ""
        self.silent = False
        self.brittle = 0
        self.falls: list[float] = []
        self.slots = 8
        self.cold_s = 0.0
        self._store = store
        self._domain = domain
        self._attempts = attempts
        self._host = draw_host()
        self._born = born
        self._numbers = itertools.count(1)
        self._server: CallerServer | None = None
        self._brittle_since_s: float | None = None
        self._refusals: list[float] = []

    def __enter__(self) -> "Server":
        self._start()
        return self

    def _start(self) -> None:
        address = (self._host, SERVER_PORT)
        self._server = CallerServer(
            listen(address), lambda: LIMITS, self._serve, self._refuse, time.monotonic
        )
        self._server.__enter__()
        self.register("ready")

    def __exit__(self, *exc_info) -> None:
        self._server.__exit__(*exc_info)

    @property
    def address(self) -> str:
        """The address at which the server listens, as ``IP:port``."""
        return f"{self._host}:{SERVER_PORT}"

    def register(self, state: str) -> None:
        """Write the server's registration with this state to the store."""
        self._store.put(f"servers/{self.name}", self.make_entry(state))

    def make_entry(self, state: str) -> dict:
        """Return the content of the server's registration with this state."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self._domain,
            "version": self.software,
            "slots": self.slots,
            "state": state,
            "born": self._born,
            "seq": next(self._numbers),
            "cold_remaining_ms": 1000 * self.cold_s,
        }

    def crash(self) -> None:
        """Stop listening at once and leave the registration in the store."""
        self._server.__exit__(None, None, None)

    def restart(self) -> None:
        """End the process and start a new incarnation at the same address, born now."""
        self.crash()
        self._born = max(self._born + 1, round(time.time() * 1000))
        gevent.sleep(POLL_S)
        self._start()

    def _crash_by_prompt(self) -> None:
        self.crashes.append(time.monotonic())
        self._born += 1
        gevent.spawn_later(RESTART_S, self._start)
        self.crash()

    def _has_no_room(self) -> bool:
        """Return whether the server is brittle and runs as many requests as it has slots."""
        if not self.brittle:
            self._brittle_since_s = None
            return False
        now = time.monotonic()
        if self._brittle_since_s is None:
            self._brittle_since_s = now
        return now - self._brittle_since_s >= BRITTLE_S and self.running >= self.slots

    def _count_refusal(self) -> None:
        """Count a request refused for want of room; fall over if there were too many."""
        now = time.monotonic()
        self._refusals = [at_s for at_s in self._refusals if now - at_s < 1.0] + [now]
        # Requests that are being read as the server falls over are refused too.
        has_fallen = self.falls and now - self.falls[-1] < FALLEN_S
        if len(self._refusals) > self.brittle and not has_fallen:
            self.fall()

    def fall(self) -> None:
        """Crash, and start as a new incarnation after ``FALLEN_S``."""
        self._refusals.clear()
        self.falls.append(time.monotonic())
        self._born = max(self._born + 1, round(time.time() * 1000))
        self.crash()
        gevent.spawn_later(FALLEN_S, self._start)

    def _refuse(self, caller: Caller, error: BalsamtallyError) -> None:
        caller.answer(error.status, (), b"")

    def _serve(self, caller: Caller, request: Request) -> None:
        if request.target == b"/report":
            caller.answer(200, (), json.dumps({"born": self._born}).encode())
            return
        headers = {name.decode().lower(): value.decode() for name, value in request.headers}
        attempt_id = headers.get("attempt-id", "")
        echo = [(b"Attempt-Id", attempt_id.encode())]
        if self.leaving:
            echo.append((b"Server-Leaving", b"1"))
        echo += [(b"Server-Limit", value.encode()) for value in self.limits]
        if self.brittle:
            echo.append((b"Server-Brittle", b"%d" % self.brittle))
        self.arrivals.append((attempt_id, time.monotonic()))
        if headers.get("expect-instance", self.name) != self.name:
            caller.answer(421, [*echo, (b"Instance-Id", self.name.encode())], b"")
            return
        if self.fault == "full":
            pause = [(b"Retry-After", self.retry_after.encode())] if self.retry_after else []
            caller.answer(503, [*echo, *pause, (b"Not-Executed", b"1")], b"")
            return
        if self._has_no_room():
            caller.answer(503, [*echo, (b"Not-Executed", b"1")], b"")
            self._count_refusal()
            return
        self.runs.append((attempt_id, headers, time.monotonic()))
        self.run_software.append(self.software)
        script = headers.get("script", "whole").split(",")
        step = script[min(self._attempts[attempt_id], len(script) - 1)]
        self._attempts[attempt_id] += 1
        if self.fault == "reset":
            return
        echo.append((b"Response-Signature", sign(self.name, attempt_id).encode()))
        self.running += 1
        try:
            if self.endless:
                self._flood(caller, echo)
            elif step.isdigit():
                caller.answer(int(step), echo, b"error")
            else:
                self._answer(caller, request, headers, echo, step)
        finally:
            self.running -= 1

    def _flood(self, caller: Caller, echo: list) -> None:
        """Send one part of an answer until the caller closes the connection."""
        beginning, piece = ENDLESS[self.endless]
        head = b"".join(b"%s: %s\r\n" % header for header in echo)
        with contextlib.suppress(OSError):
            caller._sock.sendall(beginning.replace(b"ECHO\r\n", head))
            while True:
                caller._sock.sendall(piece)
                gevent.sleep(SLOW_S if len(piece) < SLOW_BYTES else 0)

    def _answer(
        self, caller: Caller, request: Request, headers: dict, echo: list, step: str
    ) -> None:
        if not self.service.startswith("model"):
            self._answer_whole(caller, request, headers, echo)
            return
        gevent.sleep(PREFILL_S)
        if self.deadly_part and f"{self.deadly_part}:" in headers.get("prompt-prefix", ""):
            self._crash_by_prompt()
            return
        first = int(headers.get("last-event-id", "0")) + 1
        last = int(headers.get("token-usage", "0,10").split(",")[1])
        software = self.software.encode()
        caller.begin(200, [*echo, (b"Content-Type", b"text/event-stream")])
        for number in range(first, last + 1):
            gevent.sleep(float(headers.get("event-s", EVENT_S)))
            self._wait_while_silent()
            if self.fault == "cut" and number == first + 2:
                caller.send(b"id: %d\nda" % number)
                return
            caller.send(b"id: %d\ndata: t%d by %s\n\n" % (number, number, software))
            if step == "stall":
                gevent.sleep(STOP_TIMEOUT_S)
            if step == "reset":
                caller._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            if step != "whole":
                return
        caller.end()

    def _wait_while_silent(self) -> None:
        while self.silent:
            gevent.sleep(EVENT_S)

    def _answer_whole(self, caller: Caller, request: Request, headers: dict, echo: list) -> None:
        """Answer after the time that the request asks for, or with 504 at its deadline."""
        work_s = float(headers.get("work-s", SERVICE_TIME_S))
        deadline_s = float(headers["deadline-ms"]) / 1000
        gevent.sleep(min(work_s, deadline_s))
        self._wait_while_silent()
        if work_s > deadline_s:
            caller.answer(504, echo, b"")
            return
        is_echoed = 0 < len(request.body) <= MAX_ECHO_BYTES
        body = request.body if is_echoed else b"found"
        caller.answer(500 if self.fault == "error" else 200, echo, body)


class Vm:
    """An entry VM: a daemon process with its settings file.

    :param name: name of the VM
    :param domain: failure domain of the VM
    :param folder: directory of the settings file and the log file
    :ivar host: IP address of the VM
    :ivar limits: ``limits`` of the settings file
    :ivar is_cuttable: whether the daemon's links to backend servers can be cut
    """

    def __init__(self, name: str, domain: str, folder: Path):
        self.name = name
        self.limits = {"memory_mb": MEMORY_MB}
        self.domain = domain
        self.host = draw_host()
        self.log_path = folder / f"{name}.log"
        self.is_cuttable = False
        self._settings_path = folder / f"{name}.yaml"
        self._cuts_path = folder / f"{name}.cuts.json"
        self._process: subprocess.Popen | None = None

    def write_settings(self, seeds: list[str], store: str) -> None:
        """Write the settings file.

        :param seeds: IP addresses of the VMs that the daemon contacts first
        :param store: address of the store, as ``host:port``
        """
        settings = {
            "node_name": self.name,
            "ip": self.host,
            "zone": self.domain,
            "zones": DOMAINS,
            "listen": {
                "http": f"{self.host}:{CALLER_PORT}",
                "readiness": f"{self.host}:{READY_PORT}",
                "control_plane": f"{self.host}:{CONTROL_PORT}",
            },
            "internal_port_range": [PEER_PORT, PEER_PORT + 5],
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
            "bounds": BOUNDS | COLD_BOUNDS,
            "limits": self.limits,
            "platform": {"address": store},
        }
        self._settings_path.write_text(yaml.safe_dump(settings))

    def write_cuts(self, ways: dict[str, str]) -> None:
        """Cut links to backend servers, also of a process that runs, and no others.

        :param ways: ways in which links are cut, by address, see :mod:`standins.cut_daemon`
        """
        written_path = self._cuts_path.with_suffix(".new")
        written_path.write_text(json.dumps(ways))
        written_path.replace(self._cuts_path)

    def start(self) -> None:
        """Start the daemon process; its output is appended to the log file."""
        module = ["balsamtally.platform"]
        if self.is_cuttable:
            module = ["standins.cut_daemon", str(self._cuts_path)]
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *module],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={"BALSAMTALLY_NODE_FILE": str(self._settings_path), "PATH": "/usr/bin"},
            )

    def read_peak_mb(self) -> float:
        """Return the most resident memory that the daemon process has taken, in MB."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        [peak] = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(peak.split()[1]) * 1024 / 1e6

    def signal(self, number: int) -> None:
        """Send a signal to the daemon process."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the daemon process with SIGKILL and wait for its exit."""
        self._process.kill()
        self._process.wait()

    def wait(self) -> int:
        """Wait for the daemon process to exit and return its exit code.

        :raises FleetError: if it still runs after ``STOP_TIMEOUT_S``
        """
        until = time.monotonic() + STOP_TIMEOUT_S
        while self._process.poll() is None:
            if time.monotonic() > until:
                raise FleetError(f"{self.name} did not exit within {STOP_TIMEOUT_S} s")
            gevent.sleep(POLL_S)
        return self._process.returncode

    def count_descriptors(self) -> int:
        """Return the number of descriptors that the daemon process has open."""
        return len(list(Path(f"/proc/{self._process.pid}/fd").iterdir()))

    def is_running(self) -> bool:
        """Return whether the daemon process is running."""
        return self._process is not None and self._process.poll() is None

    def read_log(self) -> str:
        """Return the daemon's output so far."""
        return self.log_path.read_text(errors="replace")

    def list_lines(self) -> list[dict]:
        """Return the daemon's decoded log lines, without a last line that is still incomplete."""
        complete_lines = self.read_log().rpartition("\n")[0]
        return [json.loads(line) for line in complete_lines.splitlines() if line.startswith("{")]

    def count_events(self, event: str, **fields: object) -> int:
        """Return the number of log lines with this event and these fields."""
        return sum(
            line["event"] == event and fields.items() <= line.items() for line in self.list_lines()
        )


class Grid:
    """A test deployment of store, backend servers and entry VMs; a context manager.

    :param vms: entry VMs in each failure domain
    :param servers: backend servers of each service in each failure domain
    :param domains: number of failure domains
    :param limits: ``limits`` of the settings files
    :param is_cuttable: whether links of VMs to backend servers can be cut
    :ivar store: the store, once the context is entered
    :ivar vms: all entry VMs
    :ivar servers: all backend servers
    """

    def __init__(
        self,
        vms: int = 1,
        servers: int = 1,
        domains: int = 2,
        limits: dict | None = None,
        is_cuttable: bool = False,
    ):
        self._limits = limits
        self._is_cuttable = is_cuttable
        self._domains = list(DOMAINS)[:domains]
        self._vms_per_domain = vms
        self._servers_per_domain = servers
        self._stack = contextlib.ExitStack()
        self.vms: list[Vm] = []
        self.servers: list[Server] = []
        self._attempts: Counter[str] = Counter()
        self._store_hosts: dict[str, str] = {}

    def __enter__(self) -> "Grid":
        enter = self._stack.enter_context
        self._folder = Path(enter(tempfile.TemporaryDirectory()))
        self.store = enter(Store((draw_host(), STORE_PORT)))
        self.store.put("op/config", make_config())
        for domain in self._domains:
            for number in range(self._servers_per_domain):
                for service in ("model", "desk"):
                    self.add_server(f"i-{service}-{domain}-{number}", service, domain)
            for number in range(self._vms_per_domain):
                self._add_vm(f"vm-{domain}-{number}", domain)
        self._stack.callback(self._kill_all)
        for vm in self.vms:
            self.start(vm)
        self.wait_ready(self.vms)
        self._wait_for_peers()
        return self

    def __exit__(self, *exc_info) -> None:
        self._stack.close()

    def add_server(self, name: str, service: str, domain: str, *details) -> Server:
        """Start and return one more backend server, with the further details of a server."""
        server = Server(self.store, name, service, domain, self._attempts, *details)
        self.servers.append(self._stack.enter_context(server))
        return server

    def _add_vm(self, name: str, domain: str) -> Vm:
        vm = Vm(name, domain, self._folder)
        vm.limits = self._limits or vm.limits
        vm.is_cuttable = self._is_cuttable
        self.vms.append(vm)
        return vm

    def start_vm(self, name: str, domain: str) -> None:
        """Start one more entry VM, and wait until it is ready and sees all others."""
        self.start(vm := self._add_vm(name, domain))
        self.wait_ready([vm])
        self._wait_for_peers()

    def _wait_for_peers(self) -> None:
        """Wait until each entry VM sees all others; retry budgets depend on the membership."""
        until = time.monotonic() + START_TIMEOUT_S
        for vm in self.vms:
            while vm.count_events("peer_seen") < len(self.vms) - 1:
                if time.monotonic() > until:
                    raise FleetError(
                        f"{vm.name} did not see all its peers within {START_TIMEOUT_S} s"
                    )
                gevent.sleep(POLL_S)

    def start(self, vm: Vm) -> None:
        """Write the settings of an entry VM and start its daemon."""
        self.write_settings(vm)
        vm.start()

    def write_settings(self, vm: Vm) -> None:
        """Write the settings of an entry VM."""
        vm.write_settings([other.host for other in self.vms[:3]], self._find_store_address(vm))

    def _find_store_address(self, vm: Vm) -> str:
        """Return the address of the entry VM's own listener of the store, opened if needed."""
        if vm.name not in self._store_hosts:
            self._store_hosts[vm.name] = draw_host()
            self.store.open_listener(vm.name, (self._store_hosts[vm.name], STORE_PORT))
        return f"{self._store_hosts[vm.name]}:{STORE_PORT}"

    def _kill_all(self) -> None:
        for vm in self.vms:
            if vm.is_running():
                vm.kill()

    def wait_ready(self, vms: list[Vm]) -> None:
        """Wait until the readiness endpoint of each of these entry VMs answers 200.

        :raises FleetError: after ``START_TIMEOUT_S``, or if a daemon exits
        """
        until = time.monotonic() + START_TIMEOUT_S
        for vm in vms:
            while ask_ready(vm) != 200:
                if time.monotonic() > until or not vm.is_running():
                    raise FleetError(f"{vm.name} is not ready:\n{vm.read_log()[-3000:]}")
                gevent.sleep(POLL_S)

    def cut(self, vm: Vm, way: str, servers: Iterable[Server] | None = None) -> None:
        """Cut an entry VM off from backend servers; replaces its cut before.

        :param vm: the entry VM
        :param way: ``hang``, ``reset`` or ``refuse``, see :mod:`standins.cut_daemon`
        :param servers: the backend servers, ``None`` for all
        """
        addresses = ["*"] if servers is None else [server.address for server in servers]
        vm.write_cuts(dict.fromkeys(addresses, way))

    def heal(self, vm: Vm) -> None:
        """End all cuts of an entry VM."""
        vm.write_cuts({})

    def list_servers(self, service: str) -> list[Server]:
        """Return the backend servers of a service."""
        return [server for server in self.servers if server.service == service]

    def list_watching(self) -> list[Vm]:
        """Return the entry VMs whose watch of the store waits."""
        return [vm for vm in self.vms if self.store.watching[vm.name]]

    def stop(self, vm: Vm) -> int:
        """Stop an entry VM with SIGTERM, as the platform does, and return its exit code."""
        vm.signal(signal.SIGTERM)
        return vm.wait()


def ask_ready(vm: Vm) -> int:
    """Return the HTTP status of an entry VM's readiness endpoint, 0 if it does not answer."""
    from balsamtally.backends import fetch

    try:
        return fetch((vm.host, READY_PORT), b"/ready", 2.0)[0]
    except BalsamtallyError:
        return 0


def list_ids(body: bytes) -> Iterator[int]:
    """Yield the event ids of a server-sent event stream."""
    for line in body.split(b"\n"):
        if line.startswith(b"id: "):
            yield int(line[4:])
