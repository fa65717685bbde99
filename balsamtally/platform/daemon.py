"""The daemon of an entry VM on the operators' platform, from its start to its shutdown."""

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
from balsamtally.platform.past import PastSettings
from balsamtally.platform.settings import find_stamp, read_settings
from balsamtally.platform.store import Store
from balsamtally.platform.wire import WIRE

# The settings file is polled, since it may change without a signal.
SETTINGS_POLL_S = 1.0


def run(settings: GatewaySettings, path: str, listener: socket.socket) -> int:
    """Serve until SIGTERM or SIGINT arrives.

    :param settings: the settings
    :param path: path of the settings file
    :param listener: listening socket for callers
    :return: number of calls that had not ended at the end of the grace period
    """
    lines = set_up_bounded_logs(settings.vm, sys.stdout)
    incarnation = make_incarnation()
    log.info("started", incarnation=incarnation, version=__version__, **describe(settings))
    stopping = Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    gevent.signal_handler(signal.SIGHUP, log.info, "settings_signal")
    with Gateway(settings, WIRE, DECODER, incarnation, listener, lambda: lines.dropped) as gateway:
        peers = gateway.peers
        with Store(
            settings.platform_address,
            gateway.catalog,
            peers.should_read,
            peers.record_read_state,
            lambda: peers.read_times,
            past=PastSettings(
                gateway.record_past_backends,
                gateway.measure_stream_past_s,
                lambda: gateway.settings.heartbeat_s,
            ),
        ) as store:
            follower = gevent.spawn(follow_settings, path, gateway, store)
            stopping.wait()
            counts = gateway.drain()
            follower.kill(block=False)
    log.info("stopped", reason="signal", **vars(counts))
    lines.flush()
    return counts.told + counts.cut


def describe(settings: GatewaySettings) -> dict:
    """Return the settings as fields of a log line.

    :param settings: the settings
    """
    return {name: value for name, value in vars(settings).items() if name != "vm"}


def follow_settings(path: str, gateway: Gateway, store: Store) -> None:
    """Apply changes of the settings file while the daemon runs.

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
