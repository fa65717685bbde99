"""Read-only client of the platform's configuration service."""

import base64
import json
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from balsamtally.errors import PlatformUnavailable
from balsamtally.machines import EntryVm
from balsamtally.settings import Settings

TICKETS_PATH = "/v1/kv/balsamtally/tickets"
VMS_PATH = "/v1/health/service/balsamtally"
CONNECT_TIMEOUT_S = 2.0
ANSWER_MARGIN_S = 5.0
MAX_ANSWER_BYTES = 64_000_000


class Configuration:
    """A client that reads the platform's configuration service and waits for changes.

    :param settings: settings of this entry VM
    """

    def __init__(self, settings: Settings):
        self.base = f"http://{settings.platform_address}"
        self.reads = 0
        self._pool = urllib3.PoolManager(maxsize=3, retries=False)

    def __enter__(self) -> "Configuration":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._pool.clear()

    def read_tickets(self, index: int = 0, wait_s: float = 0.0) -> tuple[list, int]:
        """Read all published change tickets.

        :param index: index of the last answer, to wait for a later change; 0 for no wait
        :param wait_s: maximum wait in seconds
        :return: the keys with their values, and the index of the answer, which may decrease
        :raises PlatformUnavailable: if no valid answer was received
        """
        rows, index = self._read(f"{TICKETS_PATH}?recurse=true", index, wait_s, missing_ok=True)
        try:
            return [_read_value(row) for row in rows], index
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailable(f"unexpected answer: {error!r}") from error

    def read_vms(self, index: int = 0, wait_s: float = 0.0) -> tuple[list[EntryVm], int]:
        """Read the platform's list of live entry VMs, which may be out of date.

        :param index: index of the last answer, to wait for a later change; 0 for no wait
        :param wait_s: maximum wait in seconds
        :return: the entry VMs that pass their health checks, and the index of the answer
        :raises PlatformUnavailable: if no valid answer was received
        """
        rows, index = self._read(f"{VMS_PATH}?", index, wait_s)
        try:
            return [_read_vm(row) for row in rows if _is_passing(row)], index
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformUnavailable(f"unexpected answer: {error!r}") from error

    def _read(self, path: str, index: int, wait_s: float, missing_ok: bool = False):
        self.reads += 1
        url = f"{self.base}{path}&index={index}&wait={wait_s:.0f}s"
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=wait_s + ANSWER_MARGIN_S)
        try:
            answer = self._pool.request("GET", url, timeout=timeout, preload_content=False)
            body = answer.read(MAX_ANSWER_BYTES + 1)
            answer.drain_conn()
            answer.release_conn()
        except (HTTPError, OSError) as error:
            raise PlatformUnavailable(f"no answer: {error!r}") from error
        if answer.status == 404 and missing_ok:
            return [], _read_index(answer.headers)
        if answer.status != 200 or len(body) > MAX_ANSWER_BYTES:
            raise PlatformUnavailable(
                f"unexpected status {answer.status} or size {len(body)} bytes"
            )
        try:
            rows = json.loads(body)
        except ValueError as error:
            raise PlatformUnavailable(f"answer is not JSON: {error}") from error
        if not isinstance(rows, list):
            raise PlatformUnavailable("answer is not a list")
        return rows, _read_index(answer.headers)


def _read_index(headers: Any) -> int:
    try:
        return max(0, int(headers.get("X-Consul-Index", "0")))
    except ValueError:
        return 0


def _read_value(row: dict) -> tuple[str, bytes]:
    return row["Key"], base64.b64decode(row["Value"] or "", validate=True)


def _is_passing(row: dict) -> bool:
    return all(check["Status"] != "critical" for check in row.get("Checks") or ())


def _read_vm(row: dict) -> EntryVm:
    service = row["Service"]
    host = service.get("Address") or row["Node"]["Address"]
    meta = service.get("Meta") or {}
    return EntryVm(
        name=service["ID"],
        address=f"[{host}]:{service['Port']}" if ":" in host else f"{host}:{service['Port']}",
        domain=meta["domain"],
        region=meta["region"],
        leaving=meta.get("leaving", "").lower() in ("true", "1", "yes"),
    )
