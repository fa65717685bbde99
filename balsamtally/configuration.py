"""Read-only client of the platform's configuration service."""

import base64
import json
from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from balsamtally.decoding import DECODING_ERRORS
from balsamtally.errors import PlatformUnavailable
from balsamtally.logs import log
from balsamtally.machines import EntryVm
from balsamtally.settings import Settings

TICKETS_PATH = "/v1/kv/balsamtally/tickets"
VMS_PATH = "/v1/health/service/balsamtally"
CONNECT_TIMEOUT_S = 2.0
ANSWER_MARGIN_S = 5.0
MAX_ANSWER_BYTES = 64_000_000

Item = TypeVar("Item")
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


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
        return _read_rows(rows, _read_value), index

    def read_vms(self, index: int = 0, wait_s: float = 0.0) -> tuple[list[EntryVm], int]:
        """Read the platform's list of live entry VMs, which may be out of date.

        :param index: index of the last answer, to wait for a later change; 0 for no wait
        :param wait_s: maximum wait in seconds
        :return: the entry VMs that pass their health checks, and the index of the answer
        :raises PlatformUnavailable: if no valid answer was received
        """
        rows, index = self._read(f"{VMS_PATH}?", index, wait_s)
        return _read_rows(rows, _read_vm), index

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
        except (ValueError, RecursionError) as error:
            raise PlatformUnavailable(f"answer is not JSON: {error}") from error
        if not isinstance(rows, list):
            raise PlatformUnavailable("answer is not a list")
        return rows, _read_index(answer.headers)


def _read_index(headers: Any) -> int:
    try:
        return max(0, int(headers.get("X-Consul-Index", "0")))
    except ValueError:
        return 0


def _read_rows(rows: list, read_row: Callable[[Any], Item | None]) -> list[Item]:
    """Return the items of rows; an unreadable row is left out, unless all rows are unreadable.

    :raises PlatformUnavailable: if no row can be read
    """
    items = []
    refused = 0
    for row in rows:
        try:
            items.append(read_row(row))
        except DECODING_ERRORS as error:
            refused += 1
            log.warning("row_refused", why=repr(error))
    if rows and refused == len(rows):
        raise PlatformUnavailable("unexpected answer: no row can be read")
    return [item for item in items if item is not None]


def _read_value(row: dict) -> tuple[str, bytes]:
    key = msgspec.convert(row["Key"], str)
    return key, base64.b64decode(row["Value"] or "", validate=True)


def _is_passing(row: dict) -> bool:
    return all(check["Status"] != "critical" for check in row.get("Checks") or ())


def _read_vm(row: dict) -> EntryVm | None:
    """Return the entry VM of a row, ``None`` if it doesn't pass its health checks."""
    if not _is_passing(row):
        return None
    service = row["Service"]
    host = service.get("Address") or row["Node"]["Address"]
    meta = service.get("Meta") or {}
    port = msgspec.convert(service["Port"], Port)
    fields = {
        "name": service["ID"],
        "address": f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
        "domain": meta["domain"],
        "region": meta["region"],
        "leaving": meta.get("leaving", "").lower() in ("true", "1", "yes"),
    }
    return msgspec.convert(fields, EntryVm)
