"""A stand-in for the platform: the read routes of the Consul HTTP API, and control routes.

The Consul routes are read-only. Tests and operators set the state through the control routes.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import base64
import time
from collections import Counter
from pathlib import Path

import bottle
import defopt
import gevent
import msgspec
from bottle import request
from gevent.event import Event

from standins.serving import answer, read_body, serve

SERVICE = "balsamtally"
TICKET_PREFIX = "balsamtally/tickets/"
MAX_WAIT_S = 600.0
DEFAULT_WAIT_S = 300.0
UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0}


class Vm(msgspec.Struct, frozen=True):
    """An entry in the list of VMs.

    :ivar name: name of the VM
    :ivar address: IP address and port of its peer listener
    :ivar domain: failure domain of the VM
    :ivar region: region of the VM
    :ivar incarnation: identity of the daemon process, empty if unknown
    :ivar leaving: whether the VM is draining
    :ivar live: whether the health check of the VM passes
    """

    name: str
    address: str
    domain: str
    region: str
    incarnation: str = ""
    leaving: bool = False
    live: bool = True


class Mode(msgspec.Struct, frozen=True):
    """Faults injected into the platform.

    :ivar down: whether every call of the Consul routes fails
    :ivar delay_s: delay of each answer, in seconds
    :ivar stale_index: index of the key version to answer with, ``None`` for the current version
    :ivar list_lag_s: age of the list of VMs in answers, in seconds
    """

    down: bool = False
    delay_s: float = 0.0
    stale_index: int | None = None
    list_lag_s: float = 0.0


class Versioned:
    """A value with all its versions, whose changes callers can wait for.

    :ivar history: index, monotonic time and value of each version, oldest first
    :ivar changed: set, and replaced by a new event, at each change
    """

    def __init__(self, value: object):
        self.history = [(1, time.monotonic(), value)]
        self.changed = Event()

    @property
    def index(self) -> int:
        """Index of the current version."""
        return self.history[-1][0]

    def set(self, value: object) -> None:
        """Add a version with this value, and wake all waiting callers."""
        self.history.append((self.index + 1, time.monotonic(), value))
        self.wake()

    def wake(self) -> None:
        """Wake all waiting callers, so that they read the value again."""
        self.changed.set()
        self.changed = Event()

    def read(self, index: int | None = None, age_s: float = 0.0) -> tuple[int, object]:
        """Return the newest version within the limits, or the oldest version if there is none.

        :param index: highest index to return, ``None`` for no limit
        :param age_s: minimum age of the version, in seconds
        :return: index and value of the version
        """
        until = time.monotonic() - age_s
        found = self.history[0]
        for version in self.history:
            if (index is None or version[0] <= index) and version[1] <= until:
                found = version
        return found[0], found[2]


class Platform:
    """The state of the platform.

    :ivar keys: value and modify index of each key
    :ivar vms: list of VMs
    :ivar mode: injected faults
    :ivar counts: number of calls by kind
    """

    def __init__(self):
        self.keys = Versioned({})
        self.vms = Versioned(())
        self.mode = Mode()
        self.counts = Counter()

    def put_key(self, key: str, value: bytes | None) -> None:
        """Set a key, or remove it if the value is ``None``."""
        keys = dict(self.keys.history[-1][2])
        if value is None:
            keys.pop(key, None)
        else:
            keys[key] = (value, self.keys.index + 1)
        self.keys.set(keys)

    def set_mode(self, mode: Mode) -> None:
        """Replace the injected faults, and wake all blocking queries."""
        self.mode = mode
        self.keys.wake()
        self.vms.wake()

    def check_available(self) -> None:
        """Apply the configured delay, and fail the current call while the platform is down.

        :raises HTTPResponse: with status 503 while the platform is down
        """
        gevent.sleep(self.mode.delay_s)
        if self.mode.down:
            self.counts["failed"] += 1
            raise answer({"error": "platform is down"}, 503)

    def read_keys(self) -> tuple[int, dict]:
        """Return the index and the keys as callers see them, under the stale index if set."""
        return self.keys.read(index=self.mode.stale_index)

    def read_vms(self) -> tuple[int, tuple[Vm, ...]]:
        """Return the index and the list of VMs as callers see them, under the list lag if set."""
        return self.vms.read(age_s=self.mode.list_lag_s)

    def watch(self, versioned: Versioned, read, kind: str) -> tuple[int, object]:
        """Return the result of the current request's query, blocking if it asks for that.

        :param versioned: value to wait for
        :param read: function that returns the index and the value as callers see them
        :param kind: name under which the call is counted
        :return: index and value, once the index exceeds that of the query or its wait is over
        :raises HTTPResponse: with status 503 while the platform is down
        """
        self.counts[kind] += 1
        self.check_available()
        known_index = request.query.get("index", type=int, default=0)
        if known_index <= 0:
            return read()
        self.counts["watch"] += 1
        deadline = time.monotonic() + parse_wait(request.query.get("wait", ""))
        while read()[0] <= known_index and (left_s := deadline - time.monotonic()) > 0:
            lag_s = self.mode.list_lag_s
            versioned.changed.wait(min(left_s, lag_s / 4) if lag_s > 0 else left_s)
            self.check_available()
        return read()


def parse_wait(text: str) -> float:
    """Parse the wait time of a blocking query.

    :param text: duration such as ``30s``, ``500ms`` or ``5m``
    :return: seconds, at most ``MAX_WAIT_S``; ``DEFAULT_WAIT_S`` if the text is no duration
    """
    for unit, unit_s in UNITS_S.items():
        number = text.removesuffix(unit)
        if number != text and number.replace(".", "", 1).isdigit():
            return min(float(number) * unit_s, MAX_WAIT_S)
    return DEFAULT_WAIT_S


def encode_vm(vm: Vm) -> dict:
    """Return a VM in the format of Consul's health API."""
    host, _, port = vm.address.rpartition(":")
    meta = {"domain": vm.domain, "region": vm.region}
    if vm.incarnation:
        meta["incarnation"] = vm.incarnation
    if vm.leaving:
        meta["leaving"] = "true"
    return {
        "Node": {"Node": vm.name, "Address": host},
        "Service": {"ID": vm.name, "Address": host, "Port": int(port), "Meta": meta},
        "Checks": [{"Status": "passing" if vm.live else "critical"}],
    }


def add_consul_routes(app: bottle.Bottle, platform: Platform) -> None:
    """Add the read-only routes of the Consul API."""

    @app.get("/v1/kv/<prefix:path>")
    def get_keys(prefix: str):
        index, keys = platform.watch(platform.keys, platform.read_keys, "kv")
        if request.query.get("recurse") is None:
            found = {prefix: keys[prefix]} if prefix in keys else {}
        else:
            found = {key: keys[key] for key in sorted(keys) if key.startswith(prefix)}
        entries = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "ModifyIndex": modified}
            for key, (value, modified) in found.items()
        ]
        return answer(entries, 200 if entries else 404, X_Consul_Index=str(index))

    @app.get("/v1/health/service/<name>")
    def get_service(name: str):
        index, vms = platform.watch(platform.vms, platform.read_vms, "health")
        entries = [encode_vm(vm) for vm in vms] if name == SERVICE else []
        return answer(entries, X_Consul_Index=str(index))


def add_control_routes(app: bottle.Bottle, platform: Platform) -> None:
    """Add the control routes by which tests and operators set the state."""

    @app.put("/control/kv/<key:path>")
    def put_key(key: str):
        platform.put_key(key, request.body.read())
        return answer({"index": platform.keys.index})

    @app.delete("/control/kv/<key:path>")
    def delete_key(key: str):
        platform.put_key(key, None)
        return answer({"index": platform.keys.index})

    @app.put("/control/vms")
    def put_vms():
        platform.vms.set(read_body(tuple[Vm, ...]))
        return answer({"index": platform.vms.index})

    @app.post("/control/mode")
    def post_mode():
        platform.set_mode(read_body(Mode))
        return answer(platform.mode)

    @app.get("/control/counts")
    def get_counts():
        return answer(platform.counts)


def main(
    *, address: str = "127.0.0.1:8500", tickets: Path | None = None, vms: Path | None = None
) -> None:
    """Serve the platform stand-in.

    :param address: IP number and port
    :param tickets: folder of change tickets to publish, one JSON file each
    :param vms: JSON file with the list of VMs
    """
    platform = Platform()
    for path in sorted(tickets.glob("*.json")) if tickets else ():
        platform.put_key(TICKET_PREFIX + path.stem, path.read_bytes())
    if vms:
        platform.vms.set(msgspec.json.decode(vms.read_bytes(), type=tuple[Vm, ...]))
    app = bottle.Bottle()
    add_consul_routes(app, platform)
    add_control_routes(app, platform)
    serve(app, address, lambda: None)


if __name__ == "__main__":
    defopt.run(main)
