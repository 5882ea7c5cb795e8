"""The command line."""

from __future__ import annotations

import argparse
import gc
import logging
import os
import sys

from . import __version__, policy, settings

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _configure_logging() -> None:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(name, logging.INFO),
        format="%(levelname)s %(name)s: %(message)s",
    )
    if name not in LEVELS:
        logging.getLogger("grebestand").error("LOG_LEVEL %r is not one of %s; info is used", name, ", ".join(LEVELS))


def _serve(config: str, policy_file: str | None) -> int:
    try:
        loaded = settings.load(config)
    except settings.SettingsError as e:
        print(f"grebestand: settings: {e}", file=sys.stderr)
        return 2
    try:
        rules = policy.load(policy_file)
    except policy.PolicyError as e:
        print(f"grebestand: policy: {e.faults[0]}", file=sys.stderr)
        return 2
    # all addresses are numbers: the resolver's threads would cost memory and serve nobody
    os.environ.setdefault("GEVENT_RESOLVER", "block")
    from .controller import Controller

    # what the imports made stays for good; full collections need not go over it each time
    gc.freeze()
    try:
        Controller(loaded, rules).serve()
    except KeyboardInterrupt:
        return 130
    except OSError as e:
        print(f"grebestand: {e}", file=sys.stderr)
        return 1
    return 0


def _check(files: list[str]) -> int:
    bad = 0
    for file in files:
        try:
            policy.load(file)
        except policy.PolicyError as e:
            for fault in e.faults:
                print(fault, file=sys.stderr)
            bad += 1
        else:
            print(f"{file}: ok")
    return 1 if bad else 0


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="grebestand", description="A cluster scheduler that reserves slots by a greedy template per machine."
    )
    parser.add_argument("--version", action="version", version=f"grebestand {__version__}")
    commands = parser.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="run one controller")
    serve.add_argument("--config", required=True, metavar="FILE", help="the platform's settings (TOML)")
    serve.add_argument(
        "--policy", metavar="FILE", default=os.environ.get("GREBESTAND_POLICY"),
        help="the operators' own settings; also GREBESTAND_POLICY (default: the shipped policy)",
    )  # fmt: skip
    check = commands.add_parser("check-policy", help="check policy files and name each fault")
    check.add_argument("files", nargs="+", metavar="FILE")
    arguments = parser.parse_args(argv)
    _configure_logging()
    if arguments.command == "serve":
        return _serve(arguments.config, arguments.policy)
    return _check(arguments.files)
