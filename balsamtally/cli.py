"""The operators' command-line tool."""

import os
import sys
from collections.abc import Iterable
from pathlib import Path
from urllib.parse import quote, urlencode

import defopt
import msgspec

from balsamtally import __version__, porcelain
from balsamtally.errors import BalsamtallyError, LinkError, UnknownObject
from balsamtally.porcelain import StateInForce
from balsamtally.request_history import find_request_history
from balsamtally.tickets import Ticket, decode_ticket, identify_object

EXIT_OK = 0
EXIT_FAULT = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
DAEMON = os.environ.get("BALSAMTALLY_OPERATOR_ADDRESS", "127.0.0.1:8082")


def new_ticket(
    *objects: str,
    author: str,
    number: int | None = None,
    note: str = "",
    tickets: list[str] | None = None,
    daemon: str | None = None,
    output: str = "",
) -> int:
    """Write a ticket to be edited: the present state of objects, or templates of new ones.

    :param objects: each as KIND/NAME, such as customer/dunas
    :param author: who writes it
    :param number: number of the ticket; without it the one after the highest in force
    :param note: why
    :param tickets: ticket files that give the present state
    :param daemon: IP:port of a daemon's operators' listener that gives the present state
    :param output: file to write, which must not exist; without it the ticket is printed
    :return: exit code
    """
    names = []
    for text in objects:
        kind, _, name = text.partition("/")
        if not name:
            print(f"{text!r} is not KIND/NAME", file=sys.stderr)
            return EXIT_USAGE
        names.append((kind, name))
    state = _read_state(tickets, daemon) or StateInForce({}, {})
    _write_ticket(porcelain.make_ticket(names, state, number, author, note), output)
    return EXIT_OK


def check_tickets(
    *files: str, tickets: list[str] | None = None, daemon: str | None = None, json: bool = False
) -> int:
    """List every fault of ticket files; with a present state also their dangling references.

    :param files: ticket files to check
    :param tickets: ticket files that give the present state
    :param daemon: IP:port of a daemon's operators' listener that gives the present state
    :param json: print JSON
    :return: exit code: 1 if there is a fault; warnings alone give 0
    """
    if not files:
        print("no ticket file was named", file=sys.stderr)
        return EXIT_USAGE
    faults = {}
    for name in files:
        faults[name] = porcelain.find_faults(Path(name).read_bytes())
    good = [_load_ticket(name) for name in files if not faults[name]]
    state = _read_state(tickets, daemon)
    if state is None and len(files) > 1:
        state = StateInForce({}, {})
    warnings = [] if state is None else _find_warnings(state, good)
    if json:
        _print_json({"faults": faults, "warnings": warnings, "references_checked": bool(state)})
    else:
        _print_check(faults, warnings, state is not None)
    return EXIT_FAULT if any(faults.values()) else EXIT_OK


def diff_tickets(
    before: str, after: str = "", *, daemon: str | None = None, json: bool = False
) -> int:
    """Compare two ticket files, or what one ticket would change of a daemon's state.

    :param before: ticket file; the only one is compared with a daemon's state
    :param after: second ticket file
    :param daemon: IP:port of a daemon's operators' listener
    :param json: print JSON
    :return: exit code
    """
    if after:
        old = _index_objects(_load_ticket(before))
        new = _index_objects(_load_ticket(after))
    else:
        touched = _index_objects(_load_ticket(before))
        state = porcelain.fetch_state(daemon or DAEMON)
        old = {key: state.objects[key] for key in touched if key in state.objects}
        result, warnings = porcelain.apply_ticket(state, _load_ticket(before))
        new = {key: result.objects[key] for key in touched}
        for warning in warnings:
            print(f"warning: {warning}", file=sys.stderr)
    changes = porcelain.compare_objects(old, new)
    if json:
        _print_json(changes)
    elif changes:
        print(porcelain.tabulate(changes))
    else:
        print("no difference")
    return EXIT_OK


def show_ticket(file: str, *, json: bool = False) -> int:
    """Show a ticket with every field written out.

    :param file: ticket file
    :param json: print JSON
    :return: exit code
    """
    ticket = _load_ticket(file)
    if json:
        print(porcelain.format_ticket(ticket), end="")
        return EXIT_OK
    print(f"ticket {ticket.number} by {ticket.author}: {ticket.note or 'no note'}")
    for item in ticket.objects:
        kind, name = identify_object(item)
        print(f"\n{kind} {name}")
        fields = msgspec.to_builtins(item).items()
        rows = [
            {"field": key, "value": value} for key, value in fields if key not in _IDENTITY_KEYS
        ]
        print(porcelain.tabulate(rows) if rows else "  (removed)")
    return EXIT_OK


def show_state(*, daemon: str = DAEMON, kind: str = "", json: bool = False) -> int:
    """Show the objects that a daemon holds in force, with their tickets.

    :param daemon: IP:port of its operators' listener
    :param kind: show only objects of this kind
    :param json: print JSON with every field
    :return: exit code: 1 if the daemon refused a ticket or met conflicting ones
    """
    page = porcelain.fetch(daemon, "/state")
    page["objects"] = [held for held in page["objects"] if kind in ("", held["kind"])]
    if json:
        _print_json(page)
    else:
        columns = ("kind", "name", "number", "digest")
        _print_rows([{key: held[key] for key in columns} for held in page["objects"]])
        for ticket in page["refused"]:
            print(f"refused: {ticket['source']}: {ticket['reason']}")
        for number, digests in page["conflicts"].items():
            print(f"conflict: different tickets {number}: {', '.join(digests)}")
    return EXIT_FAULT if page["refused"] or page["conflicts"] else EXIT_OK


def show_vms(*, daemon: str = DAEMON, json: bool = False) -> int:
    """Show the entry VMs as a daemon sees them.

    :param daemon: IP:port of its operators' listener
    :param json: print JSON
    :return: exit code
    """
    return _show_page(daemon, "/vms", json)


def show_runners(*, daemon: str = DAEMON, json: bool = False) -> int:
    """Show the backend servers as a daemon sees them.

    :param daemon: IP:port of its operators' listener
    :param json: print JSON
    :return: exit code
    """
    return _show_page(daemon, "/runners", json)


def show_queues(*, daemon: str = DAEMON, json: bool = False) -> int:
    """Show the queues that a daemon coordinates.

    :param daemon: IP:port of its operators' listener
    :param json: print JSON
    :return: exit code
    """
    return _show_page(daemon, "/queues", json)


def explain(
    request: str, *, logs: list[str] | None = None, daemon: str = DAEMON, json: bool = False
) -> int:
    """Show why a request went where it went.

    :param request: id of the request
    :param logs: files with log lines of any VMs, "-" for standard input, in place of a daemon
    :param daemon: IP:port of the operators' listener of the VM that took the request
    :param json: print JSON
    :return: exit code: 1 if nothing is known of it
    """
    if logs:
        return _explain_from_logs(request, logs, json)
    try:
        page = porcelain.fetch(daemon, "/explain/" + quote(request, safe=""))
    except UnknownObject as error:
        raise UnknownObject(
            f"{daemon} holds no decision about {request!r}: ask the VM that took it, or its log"
        ) from error
    if json:
        _print_json(page)
        return EXIT_OK
    for line in page["decisions"]:
        _print_log_line(line)
    return EXIT_OK


def explain_placement(
    host: str,
    path: str,
    *,
    vm: str,
    customer: str = "",
    parts: list[str] | None = None,
    json: bool = False,
) -> int:
    """Show where a call would be placed now and why, without sending it.

    :param host: host that the caller names
    :param path: path of the call
    :param vm: IP:port of the peers' port of an entry VM
    :param customer: name of the customer
    :param parts: parts of the prompt, each as NAME:TOKENS
    :param json: print JSON
    :return: exit code: 1 if the call would be refused
    """
    query = urlencode({"host": host, "path": path, "customer": customer, "part": parts or []}, True)
    page = porcelain.fetch(vm, f"/explain?{query}")
    refused = page.get("error")
    if json:
        _print_json(page)
    elif refused:
        print(f"error {refused['code']}: {refused['message']}", file=sys.stderr)
    else:
        _print_rows(page.pop("servers"))
        for name, value in page.items():
            print(f"{name}: {value}")
    return EXIT_FAULT if refused else EXIT_OK


def _explain_from_logs(request: str, logs: list[str], json: bool) -> int:
    """Print the history of a request from the log lines of its VMs."""
    texts: list[str] = []
    for name in logs:
        text = sys.stdin.read() if name == "-" else Path(name).read_text(errors="replace")
        texts += text.splitlines()
    history = find_request_history(request, texts)
    if not history:
        print(f"no line tells of {request!r}", file=sys.stderr)
        return EXIT_FAULT
    if json:
        _print_json([line.fields for line in history])
        return EXIT_OK
    for line in history:
        _print_log_line(line.fields, line.line.vm)
    return EXIT_OK


def _print_log_line(line: dict, vm: str = "") -> None:
    rest = {key: value for key, value in line.items() if key not in _LINE_KEYS}
    details = "  ".join(f"{key}={value}" for key, value in rest.items())
    where = f"  {vm}" if vm else ""
    print(f"{line.get('timestamp', '-')}{where}  {line.get('event', '-')}  {details}")


def drain(
    backend: str,
    *,
    author: str,
    number: int | None = None,
    tickets: list[str] | None = None,
    daemon: str | None = None,
    output: str = "",
) -> int:
    """Write a ticket that takes a backend server out of service, for you to publish.

    :param backend: name of the backend server
    :param author: who writes it
    :param number: number of the ticket; without it the one after the highest in force
    :param tickets: ticket files that give the present state; without them a daemon is asked
    :param daemon: IP:port of the operators' listener of that daemon
    :param output: file to write, which must not exist; without it the ticket is printed
    :return: exit code
    """
    state = _read_state(tickets, daemon) or porcelain.fetch_state(DAEMON)
    _write_ticket(porcelain.drain_backend(state, backend, number, author), output)
    return EXIT_OK


def new_key(*, json: bool = False) -> int:
    """Make an API key for a customer; the ticket gets only its hash.

    :param json: print JSON
    :return: exit code
    """
    key, key_hash = porcelain.make_api_key()
    if json:
        _print_json({"key": key, "hash": key_hash})
    else:
        print(f"key (give it to the customer, it is kept nowhere):  {key}")
        print(f"hash (for key_hashes in the customer's ticket):     {key_hash}")
    return EXIT_OK


def new_link_key(*, json: bool = False) -> int:
    """Make a shared key for the links between daemons.

    :param json: print JSON
    :return: exit code
    """
    key = porcelain.make_link_key()
    _print_json({"link_key": key}) if json else print(key)
    return EXIT_OK


COMMANDS = {
    "ticket": {
        "new": new_ticket,
        "check": check_tickets,
        "diff": diff_tickets,
        "show": show_ticket,
    },
    "state": show_state,
    "vms": show_vms,
    "runners": show_runners,
    "queues": show_queues,
    "explain": explain,
    "explain-placement": explain_placement,
    "drain": drain,
    "key": {"new": new_key, "link": new_link_key},
}
_IDENTITY_KEYS = {"kind", "name", "of"}
_LINE_KEYS = {"timestamp", "event", "level", "request"}


def run(argv: list[str]) -> int:
    """Run one command.

    :param argv: arguments without the program's name
    :return: exit code: 0 success, 1 a fault was found, 2 wrong usage, 3 a daemon is unreachable
    """
    options = {"prog": "balsamtally", "allow_abbrev": False}
    try:
        return defopt.run(
            COMMANDS,
            argv=argv,
            short={},
            no_negated_flags=True,
            version=__version__,
            argparse_kwargs=options,
        )
    except BalsamtallyError as error:
        _print_error(error, "--json" in argv)
        return EXIT_UNREACHABLE if isinstance(error, LinkError) else EXIT_FAULT
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_USAGE


def main() -> None:
    """Run the command given on the command line and exit with its exit code."""
    sys.exit(run(sys.argv[1:]))


def _load_ticket(name: str) -> Ticket:
    """Read a ticket file; the message of any error starts with the file's name."""
    try:
        return decode_ticket(Path(name).read_bytes())
    except BalsamtallyError as error:
        raise type(error)(f"{name}: {error}") from error


def _read_state(tickets: list[str] | None, daemon: str | None) -> StateInForce | None:
    """Return the current state from ticket files or a daemon, ``None`` if neither is given."""
    if tickets:
        return porcelain.merge_tickets(_load_ticket(name) for name in tickets)
    if daemon:
        return porcelain.fetch_state(daemon)
    return None


def _find_warnings(state: StateInForce, tickets: Iterable[Ticket]) -> list[str]:
    """Return warnings about unchanged objects and about dangling references that tickets add."""
    existing = set(porcelain.find_dangling_references(state.objects.values()))
    warnings = []
    for ticket in tickets:
        state, unchanged = porcelain.apply_ticket(state, ticket)
        warnings += unchanged
    found = porcelain.find_dangling_references(state.objects.values())
    return warnings + [text for text in found if text not in existing]


def _index_objects(ticket: Ticket) -> dict:
    return {identify_object(item): item for item in ticket.objects}


def _write_ticket(ticket: Ticket, output: str) -> None:
    text = porcelain.format_ticket(ticket)
    if not output:
        print(text, end="")
        return
    with open(output, "x", encoding="utf-8") as file:
        file.write(text)
    print(f"wrote ticket {ticket.number} to {output}: check it, then publish it", file=sys.stderr)


def _print_check(faults: dict[str, list[str]], warnings: list[str], compared: bool) -> None:
    for name, texts in faults.items():
        for text in texts:
            print(f"{name}: {text}")
        if not texts:
            print(f"{name}: good")
    for text in warnings:
        print(f"warning: {text}")
    if not compared:
        print("references were not checked: give --tickets or --daemon")


def _show_page(daemon: str, path: str, json: bool) -> int:
    page = porcelain.fetch(daemon, path)
    if json:
        _print_json(page)
    else:
        _print_rows(page)
    return EXIT_OK


def _print_rows(rows: list[dict]) -> None:
    print(porcelain.tabulate(rows) if rows else "none")


def _print_json(value: object) -> None:
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def _print_error(error: BalsamtallyError, json: bool) -> None:
    if json:
        _print_json({"error": error.report()})
    else:
        print(f"error {error.code}: {error}", file=sys.stderr)
