"""`python3 -m grebestand`, the same as the command `grebestand`."""

import sys

from .cli import main

sys.exit(main())
