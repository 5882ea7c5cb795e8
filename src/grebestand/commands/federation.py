"""`grebestand federation`: manages the keys of links between clusters, and takes gangs back from a lost cluster."""

from __future__ import annotations

import argparse
import datetime as dt
import getpass
import sys
import time
from pathlib import Path

from ..settings import platform
from ..settings.platform import SettingsError, parse_address


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand `federation` to the command line."""
    parser = commands.add_parser(
        "federation", help="manage keys of the links to other clusters; take gangs back from a lost cluster"
    )
    subcommands = parser.add_subparsers(dest="verb", required=True)
    keys = subcommands.add_parser("keys", help="create, rotate, trust and revoke keys and certificates")
    actions = keys.add_subparsers(dest="action", required=True)
    for name, text in (
        ("create", "create this cluster's first key and certificate"),
        ("rotate", "create the next key and certificate, to be distributed before they are activated"),
        ("activate", "use the newest key and certificate from now on"),
        ("show", "list all certificates with their expiry times and fingerprints"),
        ("trust", "trust another cluster's certificate"),
        ("revoke", "stop trusting a certificate"),
    ):
        action = actions.add_parser(name, help=text)
        action.add_argument("--dir", required=True, metavar="DIR", help="the directory of this cluster's keys")
        if name in ("create", "rotate"):
            action.add_argument("--days", type=float, default=90.0, metavar="N", help="validity in days (default 90)")
        if name == "create":
            action.add_argument("--cluster", required=True, metavar="NAME", help="this cluster's name")
        if name == "activate":
            action.add_argument(
                "generation", nargs="?", metavar="N", help="the generation to use, such as 0001 (default: the newest)"
            )
        if name == "trust":
            action.add_argument("files", nargs="+", metavar="FILE", help="certificate files from the other clusters")
        if name == "revoke":
            action.add_argument(
                "fingerprint",
                metavar="FINGERPRINT",
                help="the first digits of the certificate's fingerprint, at least 8",
            )
    settle = subcommands.add_parser(
        "settle", help="declare a cluster permanently lost, and take back the gangs that it may run",
        description="A cluster that is lost looks the same from here as one that cannot be reached. If it still runs a "
        "gang that is settled, the gang runs twice, and its results may be written twice. Make sure that the machines "
        "of the lost cluster are off.",
    )  # fmt: skip
    settle.add_argument("--config", required=True, metavar="FILE", help="the settings of a controller of this cluster")
    settle.add_argument("--cluster", required=True, metavar="NAME", help="the lost cluster")
    settle.add_argument("--confirm", metavar="TEXT", help="the confirmation sentence, instead of entering it")


def run(arguments: argparse.Namespace) -> int:
    """Run the subcommand and return the exit status."""
    if arguments.verb == "settle":
        return _settle(arguments)
    try:
        from ..federation import keys
    except ImportError as e:
        print(f"grebestand: federation: needs the extra 'federation' ({e.name} is not installed)", file=sys.stderr)
        return 1
    try:
        return _manage_keys(arguments)
    except keys.KeyFileError as e:
        print(f"grebestand: federation: {e}", file=sys.stderr)
        return 2
    except OSError as e:
        print(f"grebestand: federation: {e.filename}: {e.strerror}", file=sys.stderr)
        return 1


def _manage_keys(arguments: argparse.Namespace) -> int:
    """Run `federation keys` and return the exit status."""
    from ..federation import keys

    root, now = Path(arguments.dir), dt.datetime.now(dt.UTC)
    if arguments.action in ("create", "rotate"):
        if not 0 < arguments.days <= 3650:
            raise keys.KeyFileError(f"--days: must be above 0 and at most 3650, not {arguments.days:g}")
        if arguments.action == "create":
            certificate = keys.create(root, arguments.cluster, arguments.days, now)
        else:
            certificate = keys.rotate(root, arguments.days, now)
        print(f"{certificate}: send this file to the operators of the other clusters")
        if arguments.action == "rotate":
            print("once they trust the new certificate, activate it with 'grebestand federation keys activate'")
    elif arguments.action == "activate":
        print(f"generation {keys.activate(root, arguments.generation)} is in use")
    elif arguments.action == "trust":
        for file in arguments.files:
            print(f"{keys.trust(root, Path(file))}: trusted")
    elif arguments.action == "revoke":
        revoked = keys.revoke(root, arguments.fingerprint)
        print(f"{revoked.fingerprint[:16]} of {revoked.cluster} is no longer trusted")
    else:
        for s in keys.list_certificates(root, now):
            print(f"{s.state:8} {s.cluster:12} until {s.until:%Y-%m-%d %H:%M} UTC  {s.fingerprint[:32]}  {s.file}")
    return 0


def _settle(arguments: argparse.Namespace) -> int:
    """Run `federation settle` and return the exit status."""
    from ..clients.http import HttpTransport
    from ..clients.kv_store import KeyValueStoreClient, StoreError
    from ..federation.settlement import remote_gangs, settle
    from ..flow_control.rate_limiter import RateLimiter

    try:
        settings = platform.load(arguments.config)
    except SettingsError as e:
        print(f"grebestand: settings: {e}", file=sys.stderr)
        return 2
    host, port = parse_address(settings.outside.state, "outside.state")
    budget = RateLimiter(10.0, 10.0, time.monotonic, lambda s, f: None)
    transport = HttpTransport(host, port, 1)
    state = KeyValueStoreClient(transport, transport, budget, budget)
    try:
        gangs = remote_gangs(state, arguments.cluster)
        if not gangs:
            print(f"no gang of this cluster is in {arguments.cluster}")
            return 0
        for gang in gangs:
            print(f"{gang.job_id}: {gang.tasks} tasks, reservation {gang.reservation_id}")
        sentence = f"{arguments.cluster} is lost and runs nothing"
        print(
            f"These {len(gangs)} gangs will start here again. If {arguments.cluster} still runs one of them, it "
            f"runs twice.\nTo continue, enter: {sentence}"
        )
        if (arguments.confirm if arguments.confirm is not None else sys.stdin.readline().strip()) != sentence:
            print("grebestand: federation: not confirmed; nothing was changed", file=sys.stderr)
            return 1
        user, settled_count = getpass.getuser(), 0
        for gang in gangs:
            if settle(state, gang, user):
                print(f"{gang.job_id}: home again")
                settled_count += 1
            else:
                print(f"{gang.job_id}: not settled, as its record has changed meanwhile")
        return 0 if settled_count == len(gangs) else 1
    except StoreError as e:
        print(f"grebestand: federation: the state service does not answer: {e}", file=sys.stderr)
        return 1
