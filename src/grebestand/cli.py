"""The command line of `grebestand`."""

from __future__ import annotations

import argparse
import gc
import logging
import os
import sys
from typing import TYPE_CHECKING

from . import __version__
from .settings import platform, policy
from .settings.expressions import ExpressionError
from .settings.platform import Settings, SettingsError

if TYPE_CHECKING:
    from .features.hooks import Features

#: Log levels by the value of the environment variable `LOG_LEVEL`.
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _configure_logging() -> None:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(name, logging.INFO),
        format="%(levelname)s %(name)s: %(message)s",
    )
    if name not in LOG_LEVELS:
        levels = ", ".join(LOG_LEVELS)
        logging.getLogger("grebestand").error("LOG_LEVEL %r is not one of %s; info is used", name, levels)


def _load_features(files: list[str], listed: str | None, loaded: Settings) -> Features:
    from .features import registry

    return registry.load([*(registry.read_file_list(listed) if listed else []), *files], loaded)


def _serve(arguments: argparse.Namespace) -> int:
    """Run one controller and return the exit status."""
    try:
        loaded = platform.load(arguments.config)
    except SettingsError as e:
        print(f"grebestand: settings: {e}", file=sys.stderr)
        return 2
    try:
        rules = policy.load(arguments.policy)
    except ExpressionError as e:
        print(f"grebestand: policy: {e.faults[0]}", file=sys.stderr)
        return 2
    # all addresses are numeric, so the threads of gevent's default resolver would only cost memory
    os.environ.setdefault("GEVENT_RESOLVER", "block")
    try:
        features = _load_features(arguments.features, arguments.listed, loaded)
    except ExpressionError as e:
        print(f"grebestand: feature: {e.faults[0]}", file=sys.stderr)
        return 2
    from .controller.controller import Controller

    # objects created by imports live until the process ends, so full garbage collections can skip them
    gc.freeze()
    try:
        Controller(loaded, rules, features).serve()
    except KeyboardInterrupt:
        return 130
    except OSError as e:
        print(f"grebestand: {e}", file=sys.stderr)
        return 1
    return 0


def _check_policies(files: list[str]) -> int:
    """Check policy files, print every fault, and return the exit status."""
    invalid_files = 0
    for file in files:
        try:
            policy.load(file)
        except ExpressionError as e:
            for fault in e.faults:
                print(fault, file=sys.stderr)
            invalid_files += 1
        else:
            print(f"{file}: ok")
    return 1 if invalid_files else 0


def main(argv: list[str] | None = None) -> int:
    """Parse the command line, run the subcommand and return the exit status.

    Args:
        argv: Arguments without the program's name; those of the process by default.
    """
    parser = argparse.ArgumentParser(
        prog="grebestand", description="A cluster scheduler that reserves slots by a greedy template per machine."
    )
    parser.add_argument("--version", action="version", version=f"grebestand {__version__}")
    commands = parser.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="run one controller")
    serve.add_argument("--config", required=True, metavar="FILE", help="the platform's settings (TOML)")
    serve.add_argument(
        "--policy", metavar="FILE", default=os.environ.get("GREBESTAND_POLICY"),
        help="the operators' policy, also set by GREBESTAND_POLICY (default: the policy shipped with grebestand)",
    )  # fmt: skip
    serve.add_argument(
        "--with", metavar="FILE", action="append", default=[], dest="features",
        help="enable the feature that FILE names and configures; may be given several times",
    )  # fmt: skip
    serve.add_argument(
        "--with-list", metavar="FILE", dest="listed", help="enable the features of all files listed in FILE"
    )
    check = commands.add_parser("check-policy", help="check policy files and print each fault")
    check.add_argument("files", nargs="+", metavar="FILE")
    if (argv if argv is not None else sys.argv[1:])[:1] == ["serve"]:
        # a controller does not import the other subcommands, which saves start-up time and memory
        arguments = parser.parse_args(argv)
        _configure_logging()
        return _serve(arguments)
    from .commands import federation, rehearse, up

    for module in (up, rehearse, federation):
        module.add_parser(commands)
    arguments = parser.parse_args(argv)
    _configure_logging()
    if arguments.command == "check-policy":
        return _check_policies(arguments.files)
    runners = {"up": up.run, "federation": federation.run, "rehearse": rehearse.run, "check-history": rehearse.run}
    return runners[arguments.command](arguments)
