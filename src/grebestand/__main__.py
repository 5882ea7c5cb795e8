"""Entry point of `python3 -m grebestand`, equivalent to the command `grebestand`."""

import sys

from .cli import main

sys.exit(main())
