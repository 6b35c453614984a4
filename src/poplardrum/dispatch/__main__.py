"""Allow `python -m poplardrum.dispatch ROLE`."""

import sys

from poplardrum.dispatch import start

sys.exit(start.main(sys.argv[1:]))
