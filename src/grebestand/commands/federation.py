"""`grebestand federation`: keys of the link, and the word that a cluster is lost for good."""

from __future__ import annotations

import argparse
import datetime as dt
import getpass
import sys
import time
from pathlib import Path

from ..settings import platform
from ..settings.platform import SettingsError, parse_address


def add(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the verb `federation` to the command line."""
    verb = commands.add_parser("federation", help="keys of the link to other clusters; settle what a lost cluster ran")
    verbs = verb.add_subparsers(dest="verb", required=True)
    keys = verbs.add_parser("keys", help="make, hand over, rotate and revoke keys and certificates")
    actions = keys.add_subparsers(dest="action", required=True)
    for name, text in (
        ("create", "make this cluster's first key and certificate"),
        ("rotate", "make the next ones, to be handed out before they are used"),
        ("activate", "use the newest ones from now on"),
        ("show", "list all certificates, until when they are good, and their fingerprints"),
        ("trust", "believe another cluster's certificate"),
        ("revoke", "believe a certificate no more"),
    ):
        action = actions.add_parser(name, help=text)
        action.add_argument("--dir", required=True, metavar="DIR", help="the directory of this cluster's keys")
        if name in ("create", "rotate"):
            action.add_argument("--days", type=float, default=90.0, metavar="N", help="good for so long (default 90)")
        if name == "create":
            action.add_argument("--cluster", required=True, metavar="NAME", help="this cluster's name")
        if name == "activate":
            action.add_argument("generation", nargs="?", metavar="N", help="another than the newest, such as 0001")
        if name == "trust":
            action.add_argument("files", nargs="+", metavar="FILE", help="certificates as the others handed them over")
        if name == "revoke":
            action.add_argument("fingerprint", metavar="FINGERPRINT", help="its beginning, at least 8 digits")
    settle = verbs.add_parser(
        "settle", help="declare a cluster lost for good: the gangs that it may run are home's again",
        description="Nothing can tell a cluster that is gone from one that cannot be reached. If it still runs a gang "
        "that is settled, that gang runs twice, and its results may be written twice. Make sure its machines are off.",
    )  # fmt: skip
    settle.add_argument("--config", required=True, metavar="FILE", help="the settings of a controller of this cluster")
    settle.add_argument("--cluster", required=True, metavar="NAME", help="the cluster that is lost")
    settle.add_argument("--confirm", metavar="TEXT", help="the sentence that is asked for, given beforehand")


def run(arguments: argparse.Namespace) -> int:
    """Run the verb; return its exit status."""
    if arguments.verb == "settle":
        return _settle(arguments)
    try:
        from ..federation import keys
    except ImportError as e:
        print(f"grebestand: federation: needs the extra 'federation' ({e.name} is not installed)", file=sys.stderr)
        return 1
    try:
        return _keys(arguments)
    except keys.KeyFileError as e:
        print(f"grebestand: federation: {e}", file=sys.stderr)
        return 2
    except OSError as e:
        print(f"grebestand: federation: {e.filename}: {e.strerror}", file=sys.stderr)
        return 1


def _keys(arguments: argparse.Namespace) -> int:
    from ..federation import keys

    root, now = Path(arguments.dir), dt.datetime.now(dt.UTC)
    if arguments.action in ("create", "rotate"):
        if not 0 < arguments.days <= 3650:
            raise keys.KeyFileError("--days: must be above 0 and at most 3650")
        if arguments.action == "create":
            made = keys.create(root, arguments.cluster, arguments.days, now)
        else:
            made = keys.rotate(root, arguments.days, now)
        print(f"{made}: hand this file to the other clusters' operators")
        if arguments.action == "rotate":
            print("once they believe it, 'grebestand federation keys activate' uses it")
    elif arguments.action == "activate":
        print(f"generation {keys.activate(root, arguments.generation)} is in use")
    elif arguments.action == "trust":
        for file in arguments.files:
            print(f"{keys.trust(root, Path(file))}: believed")
    elif arguments.action == "revoke":
        gone = keys.revoke(root, arguments.fingerprint)
        print(f"{gone.fingerprint[:16]} of {gone.cluster} is not believed any more")
    else:
        for s in keys.show(root, now):
            print(f"{s.state:8} {s.cluster:12} until {s.until:%Y-%m-%d %H:%M} UTC  {s.fingerprint[:32]}  {s.file}")
    return 0


def _settle(arguments: argparse.Namespace) -> int:
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
        for g in gangs:
            print(f"{g.ref}: {g.tasks} tasks, reservation {g.id}")
        wanted = f"{arguments.cluster} is lost and runs nothing"
        print(
            f"These {len(gangs)} gangs will start here again. If {arguments.cluster} still runs one of them, it runs "
            f"twice.\nTo go on, write: {wanted}"
        )
        if (arguments.confirm if arguments.confirm is not None else sys.stdin.readline().strip()) != wanted:
            print("grebestand: federation: not confirmed; nothing was changed", file=sys.stderr)
            return 1
        by, changed = getpass.getuser(), 0
        for g in gangs:
            if settle(state, g, by):
                print(f"{g.ref}: home again")
                changed += 1
            else:
                print(f"{g.ref}: has changed meanwhile, left as it is")
        return 0 if changed == len(gangs) else 1
    except StoreError as e:
        print(f"grebestand: federation: the state service does not answer: {e}", file=sys.stderr)
        return 1
