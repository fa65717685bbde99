"""A stand-in for a plain service, which counts the executions of each call."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import os
from collections import Counter

import bottle
import defopt
import gevent
import msgspec
from bottle import request

from standins.answers import service_answer
from standins.serving import answer, read_body, serve

DRAIN_POLL_S = 0.05
BODY_KEY_BYTES = 200


class Fault(msgspec.Struct, frozen=True):
    """Faults injected into the service.

    :ivar late_s: delay between the execution of a call and its answer, in seconds
    :ivar die: whether the process exits after the execution of a call and before its answer
    :ivar refuse: whether calls are refused with status 503 before they are executed
    """

    late_s: float = 0.0
    die: bool = False
    refuse: bool = False


class Service:
    """The state of a plain service.

    :ivar delay_s: execution time of a call, in seconds
    :ivar fault: injected faults
    :ivar leaving: whether new calls are refused
    :ivar running: number of calls in progress
    :ivar executions: number of executions by idempotency key, or by request id without a key
    :ivar bodies: number of executions by the first ``BODY_KEY_BYTES`` of the call's body
    """

    def __init__(self, delay_s: float):
        self.delay_s = delay_s
        self.fault = Fault()
        self.leaving = False
        self.running = 0
        self.executions: Counter[str] = Counter()
        self.bodies: Counter[str] = Counter()

    def run(self, operation: str) -> bottle.HTTPResponse:
        """Execute the call of the current request and return the answer."""
        if self.leaving or self.fault.refuse:
            code = "leaving" if self.leaving else "refused"
            refusal = answer({"error": {"code": code}}, 503)
            refusal.set_header("X-Request-Id", request.get_header("X-Request-Id", ""))
            return refusal
        request_id = request.get_header("X-Request-Id", "")
        call = request.get_header("Idempotency-Key") or request_id
        content = request.body.read()
        self.running += 1
        try:
            gevent.sleep(self.delay_s)
            self.executions[call] += 1
            self.bodies[content[:BODY_KEY_BYTES].decode(errors="replace")] += 1
            if self.fault.die:
                os._exit(1)
            gevent.sleep(self.fault.late_s)
        finally:
            self.running -= 1
        body = service_answer(operation, content)
        headers = {"Content-Type": "application/json", "X-Request-Id": request_id}
        return bottle.HTTPResponse(body, 200, headers)

    def drain(self) -> None:
        """Refuse new calls and wait until the calls in progress end."""
        self.leaving = True
        while self.running:
            gevent.sleep(DRAIN_POLL_S)


def build_app(service: Service) -> bottle.Bottle:
    """Return the WSGI application of a plain service."""
    app = bottle.Bottle()

    @app.post("/control/fault")
    def post_fault():
        service.fault = read_body(Fault)
        return answer(service.fault)

    @app.get("/control/counts")
    def get_counts():
        return answer(
            {
                "executions": service.executions,
                "bodies": service.bodies,
                "running": service.running,
            }
        )

    @app.get("/load")
    def get_load():
        return answer({"running": service.running, "leaving": service.leaving})

    @app.post("/<operation>")
    def post_operation(operation: str):
        return service.run(operation)

    return app


def main(*, address: str = "127.0.0.1:9100", delay: float = 0.01) -> None:
    """Serve the stand-in of a plain service.

    :param address: IP number and port
    :param delay: time that a run takes, in seconds
    """
    service = Service(delay)
    serve(build_app(service), address, service.drain)


if __name__ == "__main__":
    defopt.run(main)
