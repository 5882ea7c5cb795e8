"""Thin program on top of the library: `run.py --config FILE` serves one controller."""

import os
import sys

_ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(_ROOT, "src"), os.path.join(_ROOT, "target", "deps")]
# Where nothing may be written beside the sources, every start compiled them again, at half its processor time. The
# build compiles all that a controller imports into this directory; Python checks each file against its source.
_COMPILED = os.path.join(_ROOT, "target", "compiled")
if os.path.isdir(_COMPILED):
    sys.pycache_prefix = _COMPILED

from grebestand.cli import main  # noqa: E402

if __name__ == "__main__":
    arguments = sys.argv[1:]
    if arguments and arguments[0] == "--config":
        # what the platform's own deployment switches on, beside what the command line names
        arguments = ["serve", "--with-list", os.path.join(_ROOT, "deploy", "features.toml"), *arguments]
    sys.exit(main(arguments))
