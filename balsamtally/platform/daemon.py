"""The running daemon of an entry VM on the users' platform: from its start to its leaving."""

import signal
import sys

import gevent
from gevent import socket
from gevent.event import Event

from balsamtally import __version__
from balsamtally.errors import SettingsInvalid
from balsamtally.gateway import Gateway
from balsamtally.gateway_settings import GatewaySettings
from balsamtally.incarnations import make_incarnation
from balsamtally.logs import log, set_up_bounded_logs
from balsamtally.platform.documents import DECODER
from balsamtally.platform.settings import find_stamp, read_settings
from balsamtally.platform.store import Store
from balsamtally.platform.wire import WIRE

# The settings file may change without a signal.
SETTINGS_POLL_S = 1.0


def run(settings: GatewaySettings, path: str, listener: socket.socket) -> int:
    """Serve until a signal tells the process to leave.

    :param settings: its settings
    :param path: path of the settings file
    :param listener: where callers connect
    :return: how many calls were given up
    """
    lines = set_up_bounded_logs(settings.vm, sys.stdout)
    incarnation = make_incarnation()
    log.info("started", incarnation=incarnation, version=__version__, **describe(settings))
    told = Event()
    gevent.signal_handler(signal.SIGTERM, told.set)
    gevent.signal_handler(signal.SIGINT, told.set)
    gevent.signal_handler(signal.SIGHUP, log.info, "settings_signal")
    with Gateway(settings, WIRE, DECODER, incarnation, listener, lambda: lines.dropped) as gateway:
        peers = gateway.peers
        with Store(
            settings.platform_address, gateway.catalog, peers.should_read, peers.record_read_state
        ) as store:
            follower = gevent.spawn(follow_settings, path, gateway, store)
            told.wait()
            cut = gateway.drain()
            follower.kill(block=False)
    log.info("stopped", reason="told to", cut=cut)
    lines.flush()
    return cut


def describe(settings: GatewaySettings) -> dict:
    """Return what a log line tells of settings.

    :param settings: the settings
    """
    return {name: value for name, value in vars(settings).items() if name != "vm"}


def follow_settings(path: str, gateway: Gateway, store: Store) -> None:
    """Take over what may change in the settings while the daemon runs.

    :param path: path of the settings file
    :param gateway: the gateway
    :param store: the reader of the store
    """
    stamp = find_stamp(path)
    while True:
        gevent.sleep(SETTINGS_POLL_S)
        if find_stamp(path) == stamp:
            continue
        stamp = find_stamp(path)
        try:
            settings = read_settings(path)
        except SettingsInvalid as error:
            log.warning("settings_refused", why=str(error))
            continue
        gateway.change_settings(settings)
        store.address = settings.platform_address
