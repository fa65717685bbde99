"""Entry point of the daemon that runs on an entry VM."""

import os
import sys

from gevent import monkey


def main() -> None:
    """Run the daemon until a signal stops it."""
    monkey.patch_all()
    # Other modules are imported only after gevent has patched the standard library.
    from balsamtally.errors import EXIT_SETTINGS_INVALID, SettingsInvalid
    from balsamtally.node import run_node
    from balsamtally.settings import read_settings

    try:
        settings = read_settings(sys.argv[1:], os.environ)
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS_INVALID)
    sys.exit(run_node(settings))


if __name__ == "__main__":
    main()
