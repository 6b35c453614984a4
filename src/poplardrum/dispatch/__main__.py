"""Entry point of `python -m poplardrum.dispatch ROLE`."""

import sys

from poplardrum.platform import listeners


def main() -> int:
    """Open the listening sockets, then import the rest and run the role.

    Connections are accepted by the kernel while the imports go on.
    """
    opened = listeners.open_all(listeners.settings_path())
    from poplardrum.dispatch import start

    return start.main(sys.argv[1:], opened)


sys.exit(main())
