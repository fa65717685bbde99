"""A deployment of local processes: the platform stand-in, runners, services and daemons."""

import secrets
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path

import msgspec
import urllib3

from balsamtally.contracts import PlainService, Pool
from balsamtally.machines import BackendServer
from balsamtally.tickets import decode_ticket, encode_ticket
from balsamtally.zones import FailureDomain

EXAMPLES = Path(__file__).parents[1] / "examples"
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
HTTP_TIMEOUT_S = 10.0
ANY_PORT = "127.0.0.1:0"


_random = secrets.SystemRandom()


class FleetError(Exception):
    """Raised if a process of the fleet does not start, stop or answer as expected."""


def find_addresses(number: int) -> list[str]:
    """Return loopback addresses that are free to listen on.

    They share a random loopback host. No connection of another process uses that host as its
    source, so the ports stay free until a process listens on them.

    :param number: number of addresses
    :return: IP addresses and ports
    """
    host = draw_host()
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(number)]
        for each in sockets:
            each.bind((host, 0))
        return [f"{host}:{each.getsockname()[1]}" for each in sockets]


def draw_host() -> str:
    """Return a random loopback IP address, one of about 16 million."""
    return f"127.{_random.randint(1, 250)}.{_random.randint(1, 250)}.{_random.randint(1, 250)}"


class Process:
    """A process of the fleet; a context manager that stops the process on exit.

    :ivar name: name of the process
    :ivar arguments: Python module to run, and its flags
    :ivar address: address from the process's ready line, empty before that line or without one
    :ivar log_path: file of its output
    :ivar process: the operating system process, ``None`` before the first start
    """

    def __init__(self, name: str, arguments: list[str], folder: Path):
        self.name = name
        self.arguments = arguments
        self.log_path = folder / f"{name}.log"
        self.address = ""
        self.process: subprocess.Popen | None = None

    def __enter__(self) -> "Process":
        self.start()
        return self

    def __exit__(self, *_) -> None:
        self.stop()

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    def start(self) -> None:
        """Start the process, or start it again after it ended."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parents[1],
            )

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def wait_ready(self, deadline: float) -> None:
        """Wait for the ready line, and store its address.

        :param deadline: latest time by the monotonic clock, in seconds
        :raises FleetError: if the process ended or the deadline has passed
        """
        while True:
            for line in self.log_path.read_text(errors="replace").splitlines():
                if line.startswith("ready "):
                    self.address = line.split()[1]
                    return
            self.check_waiting(deadline)

    def check_waiting(self, deadline: float) -> None:
        """Sleep until the next poll of a starting process.

        :param deadline: latest time by the monotonic clock, in seconds
        :raises FleetError: if the process ended or the deadline has passed
        """
        if not self.is_running():
            raise FleetError(f"{self.name} ended:\n{self.read_log()[-2000:]}")
        if time.monotonic() > deadline:
            raise FleetError(f"{self.name} is not ready:\n{self.read_log()[-2000:]}")
        time.sleep(POLL_INTERVAL_S)

    def read_log(self) -> str:
        """Return the output of the process."""
        return self.log_path.read_text(errors="replace")

    def signal(self, number: int) -> None:
        """Send a signal if the process has not ended."""
        if self.is_running():
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP until it is resumed."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def leave(self) -> None:
        """Ask the process with SIGTERM to drain and exit."""
        self.signal(signal.SIGTERM)

    def end(self) -> None:
        """Resume the process and send SIGTERM, without waiting for its exit."""
        self.resume()
        self.leave()

    def stop(self) -> None:
        """Stop the process, with SIGKILL if it still runs ``STOP_TIMEOUT_S`` after SIGTERM."""
        self.end()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()


class Backend(Process):
    """A stand-in process with control routes for tests.

    :ivar server: the backend server that the process represents, as declared in the tickets
    """

    server: BackendServer | None = None

    def control(self, method: str, path: str, body: object = None) -> dict:
        """Send an HTTP request to the process, usually to a control route.

        :param method: HTTP method, such as ``POST``
        :param path: path, such as ``/control/fault``
        :param body: encoded as JSON unless it is bytes or ``None``
        :return: the decoded answer
        :raises FleetError: if the status of the answer is 300 or more
        """
        url = f"http://{self.address}{path}"
        data = body if body is None or isinstance(body, bytes) else msgspec.json.encode(body)
        reply = urllib3.request(method, url, body=data, timeout=HTTP_TIMEOUT_S, retries=False)
        if reply.status >= 300:
            raise FleetError(f"{self.name} answered {method} {path} with {reply.status}")
        return msgspec.json.decode(reply.data)

    def counts(self) -> dict:
        """Return the counters of the process."""
        return self.control("GET", "/control/counts")

    def set_fault(self, **fault: object) -> None:
        """Replace the injected faults; without arguments, clear them."""
        self.control("POST", "/control/fault", fault)


class Daemon(Process):
    """The daemon process of an entry VM.

    :ivar domain: failure domain of the VM
    :ivar region: region of the VM
    :ivar caller: address of its callers' listener
    :ivar peer: address of its peers' listener
    :ivar operator: address of its operators' listener
    """

    def __init__(self, name: str, domain: FailureDomain, fleet: "Fleet"):
        self.caller, self.peer, self.operator = find_addresses(3)
        self.domain, self.region = domain.name, domain.region
        flags = {
            "vm": name,
            "domain": self.domain,
            "region": self.region,
            "caller-address": self.caller,
            "peer-address": self.peer,
            "operator-address": self.operator,
            "platform-address": fleet.platform.address,
            "link-key": fleet.link_key,
            **fleet.daemon_flags,
        }
        arguments = ["balsamtally.daemon"]
        if "tls-cert" not in flags:
            arguments.append("--plain-links")
        for flag, value in flags.items():
            arguments += [f"--{flag}", value]
        super().__init__(name, arguments, fleet.folder)

    def wait_ready(self, deadline: float) -> None:
        """Wait until ``/readyz`` on the operators' listener succeeds.

        :param deadline: latest time by the monotonic clock, in seconds
        :raises FleetError: if the process ended or the deadline has passed
        """
        while self.read("/readyz") is None:
            self.check_waiting(deadline)

    def read(self, path: str) -> bytes | None:
        """Return the body that the operators' listener answers, ``None`` if the request fails."""
        url = f"http://{self.operator}{path}"
        try:
            reply = urllib3.request("GET", url, timeout=HTTP_TIMEOUT_S, retries=False)
        except urllib3.exceptions.HTTPError:
            return None
        return reply.data if reply.status < 300 else None

    def describe(self, leaving: bool = False, live: bool = True) -> dict:
        """Return this VM's entry in the platform's list of VMs.

        :param leaving: whether the VM is draining
        :param live: whether the VM's health check passes
        """
        return {
            "name": self.name,
            "address": self.peer,
            "domain": self.domain,
            "region": self.region,
            "leaving": leaving,
            "live": live,
        }


class Fleet(ExitStack):
    """All processes of a small deployment; a context manager that stops them on exit.

    :ivar platform: the platform stand-in
    :ivar runners: model runners by name
    :ivar services: backend servers of the plain service by name
    :ivar vms: daemons by name
    """

    def __init__(
        self,
        folder: Path,
        user: str = "medanos-libres",
        domains: int = 3,
        vms_per_domain: int = 1,
        runners_per_domain: int = 2,
        slots: int | None = None,
        runner_flags: tuple[str, ...] = (),
        daemon_flags: dict[str, str] | None = None,
        start_daemons: bool = True,
    ):
        """Prepare a fleet with the tickets of an example deployment.

        :param folder: directory of the log files
        :param user: name of the directory below ``examples`` that holds the tickets
        :param domains: number of failure domains
        :param vms_per_domain: daemons in each failure domain
        :param runners_per_domain: model runners in each failure domain, at most 2
        :param slots: slots of each model runner, ``None`` for the number in the tickets
        :param runner_flags: further flags of the model runners
        :param daemon_flags: further flags of the daemons, without the leading dashes
        :param start_daemons: whether to start daemons
        """
        super().__init__()
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        paths = sorted((EXAMPLES / user).glob("*.json"))
        self.tickets = [decode_ticket(path.read_bytes()) for path in paths]
        objects = [item for ticket in self.tickets for item in ticket.objects]
        self.domains = [item for item in objects if isinstance(item, FailureDomain)][:domains]
        self.pool = next(item.name for item in objects if isinstance(item, Pool))
        self.service = next(item for item in objects if isinstance(item, PlainService))
        self.vms_per_domain = vms_per_domain
        self.runners_per_domain = runners_per_domain
        self.slots = slots
        self.runner_flags = runner_flags
        self.daemon_flags = daemon_flags or {}
        self.start_daemons = start_daemons
        self.link_key = secrets.token_hex(32)
        self.platform: Backend | None = None
        self.runners: dict[str, Backend] = {}
        self.services: dict[str, Backend] = {}
        self.vms: dict[str, Daemon] = {}

    def __enter__(self) -> "Fleet":
        super().__enter__()
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exc_info) -> bool | None:
        for group in (self.vms, self.runners, self.services):
            for process in group.values():
                process.end()
        return super().__exit__(*exc_info)

    def start(self) -> None:
        """Start all processes, publish the tickets and wait until the daemons are ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        self.platform = self.add(
            Backend("platform", ["standins.platform", "--address", ANY_PORT], self.folder)
        )
        for ticket in self.tickets:
            for item in ticket.objects:
                self.add_backend(item)
        for process in (self.platform, *self.runners.values(), *self.services.values()):
            process.wait_ready(deadline)
        for ticket in self.tickets:
            self.publish(ticket)
        if self.start_daemons:
            self.start_vms(deadline)

    def start_vms(self, deadline: float) -> None:
        """Start the daemons and wait until they are ready."""
        for domain in self.domains:
            for number in range(1, self.vms_per_domain + 1):
                name = f"entry-{domain.name}-{number}"
                self.vms[name] = self.add(Daemon(name, domain, self))
        self.publish_vms()
        for vm in self.vms.values():
            vm.wait_ready(deadline)

    def add(self, process: Process) -> Process:
        """Start a process that stops together with the fleet."""
        return self.enter_context(process)

    def add_backend(self, item: object) -> None:
        """Start the stand-in of a backend server from a ticket.

        Other objects, other failure domains and surplus model runners are ignored.
        """
        domains = [domain.name for domain in self.domains]
        if not isinstance(item, BackendServer) or item.domain not in domains:
            return
        if item.role == "service":
            arguments = ["standins.service", "--address", ANY_PORT]
            self.services[item.name] = self.add(Backend(item.name, arguments, self.folder))
            self.services[item.name].server = item
            return
        in_domain = [each for each in self.runners.values() if each.server.domain == item.domain]
        if len(in_domain) >= self.runners_per_domain:
            return
        slots = str(self.slots or item.slots)
        arguments = ["standins.runner", "--address", ANY_PORT, "--slots", slots]
        arguments += ["--pools", *item.pools, *self.runner_flags]
        arguments += ["--fencing"] if item.fencing else []
        self.runners[item.name] = self.add(Backend(item.name, arguments, self.folder))
        self.runners[item.name].server = item

    def publish(self, ticket) -> None:
        """Publish a ticket, with only the backend servers of this fleet and their addresses."""
        objects = [self.place(item) for item in ticket.objects]
        ticket = msgspec.structs.replace(ticket, objects=tuple(item for item in objects if item))
        key = f"/control/kv/balsamtally/tickets/{ticket.number}"
        self.platform.control("PUT", key, encode_ticket(ticket))

    def place(self, item: object) -> object:
        """Return a ticket object as it applies to this fleet.

        :param item: object of a ticket
        :return: the object, a backend server with its address and slots in this fleet, or ``None``
            for a backend server that is not started
        """
        if not isinstance(item, BackendServer):
            return item
        process = self.runners.get(item.name) or self.services.get(item.name)
        if process is None:
            return None
        slots = self.slots if self.slots and item.role == "model" else item.slots
        return msgspec.structs.replace(item, address=process.address, slots=slots)

    def publish_vms(self, leaving: tuple[str, ...] = (), dead: tuple[str, ...] = ()) -> None:
        """Publish the list of VMs.

        :param leaving: names of the VMs that are draining
        :param dead: names of the VMs whose health check fails
        """
        entries = [vm.describe(vm.name in leaving, vm.name not in dead) for vm in self.vms.values()]
        self.platform.control("PUT", "/control/vms", entries)
