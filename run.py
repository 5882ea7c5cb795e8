"""Runs grebestand from a source checkout; `run.py --config FILE` serves one controller."""

import os
import sys

_ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(_ROOT, "src"), os.path.join(_ROOT, "target", "deps")]
# If the source directory is read-only, Python cannot cache bytecode in it and compiles all modules at every start,
# which takes half of the start's processor time. The build therefore compiles all modules that a controller imports
# into this directory. Python still checks each compiled file against its source.
_COMPILED = os.path.join(_ROOT, "target", "compiled")
if os.path.isdir(_COMPILED):
    sys.pycache_prefix = _COMPILED

from grebestand.cli import main  # noqa: E402

if __name__ == "__main__":
    arguments = sys.argv[1:]
    if arguments and arguments[0] == "--config":
        # the platform's deployment starts `run.py --config FILE`; deploy/features.toml lists the features to enable
        # there, in addition to those of the command line
        arguments = ["serve", "--with-list", os.path.join(_ROOT, "deploy", "features.toml"), *arguments]
    sys.exit(main(arguments))
