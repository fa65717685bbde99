"""Entry point of the daemon of an entry VM on the operators' platform.

The daemon listens for callers before it imports most of the program. Callers that connect during
the imports, such as after the loss of all VMs, wait for 0.2 s instead of being refused.
"""

import os
import signal
import sys
from dataclasses import replace

import msgspec

from balsamtally.errors import EXIT_GRACE_ENDED, EXIT_SETTINGS_INVALID, SettingsInvalid
from balsamtally.platform.settings import find_path, read_own_settings, read_settings
from balsamtally.sockets import listen


def main() -> int:
    """Run the daemon until it receives a signal to stop.

    :return: exit code
    """
    try:
        own = read_own_settings(sys.argv[1:], os.environ)
        path = find_path(os.environ)
        settings = replace(read_settings(path), metrics_port=own.metrics_port)
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    if own.check_only:
        print(msgspec.json.encode(settings).decode())
        return 0
    # The platform sends SIGHUP after a change of the settings. Without this line SIGHUP would end
    # the process until the daemon installs its handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listener = listen(settings.caller_address)
    from balsamtally.platform.daemon import run

    return EXIT_GRACE_ENDED if run(settings, path, listener) else 0


if __name__ == "__main__":
    sys.exit(main())
