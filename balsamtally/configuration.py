"""The platform's configuration service, which is read and watched but never written."""

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
    """A client of the platform's configuration service.

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

        :param index: index of the last answer; the call waits for a change from it, 0 for no wait
        :param wait_s: longest wait in seconds
        :return: the keys with their values, and the index of the answer, which may go backwards
        :raises PlatformUnavailable: if there is no valid answer
        """
        rows, index = self._read(f"{TICKETS_PATH}?recurse=true", index, wait_s, absent_ok=True)
        try:
            return [_read_value(row) for row in rows], index
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailable(f"unexpected answer: {error!r}") from error

    def read_vms(self, index: int = 0, wait_s: float = 0.0) -> tuple[list[EntryVm], int]:
        """Read the list of live entry VMs, which lags behind.

        :param index: index of the last answer; the call waits for a change from it, 0 for no wait
        :param wait_s: longest wait in seconds
        :return: the entry VMs that pass their checks, and the index of the answer
        :raises PlatformUnavailable: if there is no valid answer
        """
        rows, index = self._read(f"{VMS_PATH}?", index, wait_s)
        try:
            return [_read_vm(row) for row in rows if _is_passing(row)], index
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformUnavailable(f"unexpected answer: {error!r}") from error

    def _read(self, path: str, index: int, wait_s: float, absent_ok: bool = False):
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
        if answer.status == 404 and absent_ok:
            return [], _read_index(answer.headers)
        if answer.status != 200 or len(body) > MAX_ANSWER_BYTES:
            raise PlatformUnavailable(f"status {answer.status}, {len(body)} bytes")
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
