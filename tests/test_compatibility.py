"""Tests that messages, records, keys, settings, paths, texts and the command line stay compatible.

The fixtures contain what earlier versions sent, stored and accepted. Their labels describe the external purpose of each
item, so that a rename in the code does not change the fixtures. `python3 tests/test_compatibility.py` adds items
without a fixture. Existing fixtures are changed by hand only, together with an intended change of the protocol.
"""

from __future__ import annotations

import ast
import contextlib
import dataclasses
import io
import json
import os
import pkgutil
import re
import tomllib
from enum import Enum
from importlib import import_module
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import pytest
from msgspec import inspect

import grebestand
from grebestand import cli, load_test, simulation
from grebestand.controller import machine_type_catalog
from grebestand.emulators.task_execution import TaskEvent
from grebestand.emulators.worker import WorkerEmulator
from grebestand.features.hooks import Features
from grebestand.features.registry import BUILT_IN
from grebestand.federation import feature as federation
from grebestand.federation import guest, messages, settlement
from grebestand.leader import election, provisioning
from grebestand.settings import operations, platform, policy
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.state_machines import LoadState
from grebestand.storage import job_records as job_records
from grebestand.storage import leader_records as leader_records
from grebestand.wire import cloud, jobs, peers, remote_assignment, store, workers

ROOT = Path(grebestand.__file__).parent
DEPLOY = ROOT.parent.parent / "deploy"
FIXTURES = Path(__file__).parent / "fixtures"

#: Structures that are sent as JSON, or stored as JSON in the state service.
JSON: dict[str, type[msgspec.Struct]] = {
    "job submission": jobs.JobSpec,
    "job answer": jobs.JobStatusResponse,
    "worker's task status": workers.TaskStatus,
    "worker's report": workers.Heartbeat,
    "command to a worker": workers.Command,
    "answer to a report": workers.HeartbeatResponse,
    "direct request to a worker": workers.DirectCommands,
    "report elsewhere": workers.Redirect,
    "cloud: machine type": cloud.MachineType,
    "cloud: machine types": cloud.MachineTypes,
    "cloud: rent request": cloud.RentRequest,
    "cloud: rented": cloud.Rented,
    "cloud: listed machine": cloud.ListedMachine,
    "cloud: machine list": cloud.MachineList,
    "cloud: machine names": cloud.MachineNames,
    "state service: pair": store.KeyValue,
    "state service: list of pairs": store.KeyValuePage,
    "state service: revision": store.CommitResult,
    "state service: lease": store.LeaseGrant,
    "state service: new lease": store.LeaseRequest,
    "state service: condition": store.Condition,
    "state service: change": store.Change,
    "state service: transaction": store.Transaction,
    "state service: event": store.ChangeEvent,
    "state service: events": store.ChangeEvents,
    "record: job that another cluster runs": remote_assignment.RemoteAssignment,
    "record: live job": job_records.LiveJobRecord,
    "record: job that is over": job_records.CompletedJobRecord,
    "record: machine": leader_records.MachineRecord,
    "record: where tasks may be": leader_records.GrantRecord,
    "record: rental": leader_records.RentalRecord,
    "record: leader": election.LeaderValue,
    "record: settled gang": settlement.SettledGangRecord,
    "record: guest gang": guest.GuestRecord,
}
#: Structures that are sent as MessagePack between controllers of one cluster, or between clusters.
MSGPACK: dict[str, type[msgspec.Struct]] = {
    "controllers: hello": peers.PeerStatus,
    "controllers: resigned": peers.ResignationNotice,
    "controllers: relayed request": peers.ProxiedRequest,
    "controllers: relayed answer": peers.ProxiedResponse,
    "controllers: batch of reports": peers.HeartbeatBatch,
    "controllers: answers to a batch": peers.HeartbeatBatchResponse,
    "controllers: cached images": peers.CachedImages,
    "clusters: look": messages.Probe,
    "clusters: offer": messages.ReservationRequest,
    "clusters: commit": messages.Commit,
    "clusters: ask": messages.StatusQuery,
    "clusters: recall": messages.Recall,
    "clusters: forget": messages.Forget,
    "clusters: room": messages.FreeCapacity,
    "clusters: reserved": messages.Reserved,
    "clusters: refused": messages.Rejection,
    "clusters: running": messages.Running,
    "clusters: ended": messages.Ended,
    "clusters: unsure": messages.UncertainReply,
}
MESSAGES = JSON | MSGPACK
#: Settings files, whose fields have fixtures of their own.
FILES: dict[str, type[msgspec.Struct]] = {"platform": platform.Settings, "federation": federation.LocalSettings}
#: A common base class, and a structure that never leaves its process.
NOT_SENT = {messages._ReservationMessage, provisioning.PendingMachine}
#: Packages whose structures are used by simulations and load tests only.
SIMULATION = (simulation.__name__, load_test.__name__)
ENUMERATIONS: dict[str, type[Enum]] = {
    "shape of a job": jobs.Kind, "rank of a job": jobs.Priority, "state of a job": jobs.JobStatus,
    "state of a task": workers.TaskPhase, "why a task ended": workers.ExitReason, "load of a controller": LoadState,
}  # fmt: skip


class ValueGenerator:
    """Generates values for fields of any type, each different from the others as far as its type allows."""

    def __init__(self) -> None:
        self.count = 0

    def value_of(self, kind: inspect.Type, full: bool) -> Any:  # noqa: C901 - one case for each kind of type
        """Return a value of a type.

        Args:
            kind: The type.
            full: Whether optional fields of structures are set.
        """
        self.count += 1
        match kind:
            case inspect.Metadata(type=inner):
                return self.value_of(inner, full)
            case inspect.IntType():
                return self.count
            case inspect.FloatType():
                return self.count + 0.5
            case inspect.StrType(pattern=pattern):
                return f"text {self.count}" if pattern is None else f"j-{self.count}"
            case inspect.BoolType():
                return True
            case inspect.BytesType():
                return bytes((0, 255, self.count))
            case inspect.AnyType():
                return {"any": [self.count]}
            case inspect.EnumType(cls=cls):
                return list(cls)[self.count % len(cls)]
            case inspect.UnionType(types=options):
                return self.value_of(
                    next(option for option in options if not isinstance(option, inspect.NoneType)), full
                )
            case inspect.ListType(item_type=item):
                return [self.value_of(item, full)]
            case inspect.TupleType(item_types=items):
                return tuple(self.value_of(item, full) for item in items)
            case inspect.DictType(key_type=key, value_type=value):
                return {self.value_of(key, full): self.value_of(value, full)}
            case inspect.StructType(cls=struct):
                return self.instance(struct, full)
        raise NotImplementedError(kind)

    def instance(self, struct: type, full: bool) -> Any:
        """Return an instance of a structure with its required fields, and with all fields if `full` is set."""
        return struct(
            **{field.name: self.value_of(field.type, full) for field in fields_of(struct) if full or field.required}
        )


def fields_of(struct: type) -> tuple[inspect.Field, ...]:
    info = inspect.type_info(struct)
    assert isinstance(info, inspect.StructType)
    return info.fields


def encode(label: str, message: Any) -> str:
    return msgspec.json.encode(message).decode() if label in JSON else msgspec.msgpack.encode(message).hex()


def decode(label: str, text: str, kind: Any) -> Any:
    if label in JSON:
        return msgspec.json.decode(text, type=kind)
    return msgspec.msgpack.decode(bytes.fromhex(text), type=kind)


def current_messages() -> dict[str, Any]:
    variants = {"defaults": False, "all set": True}
    return {
        label: {variant: encode(label, ValueGenerator().instance(struct, full)) for variant, full in variants.items()}
        for label, struct in MESSAGES.items()
    }


def current_enumerations() -> dict[str, Any]:
    values: dict[str, Any] = {label: [member.value for member in cls] for label, cls in ENUMERATIONS.items()}
    return values | {"ranks from the highest on": list(jobs.PRIORITIES)}


def current_keys() -> dict[str, Any]:
    """Return keys of the state service, most of them as written by a leader, and the commands it sent to workers."""
    commands: set[str] = set()
    apply_response = WorkerEmulator.apply_response

    def record_commands(self: WorkerEmulator, response: workers.HeartbeatResponse) -> None:
        commands.update(command.op for command in response.commands)
        apply_response(self, response)

    with mock.patch.object(WorkerEmulator, "apply_response", record_commands):
        cluster = InMemoryCluster()
        worker, controller = cluster.add_worker("n-000000"), InMemoryController(cluster, "node-0")
        term = controller.lead()
        cluster.run_rounds(term, 3)
        ended, cancelled, _ = [cluster.submit_job(controller) for _ in range(3)]
        cluster.run_rounds(term)
        worker.finish_task(f"{ended}/0")
        controller.job_api.cancel(cancelled)
        cluster.run_rounds(term)
    return {
        "machine types": machine_type_catalog.TYPES_KEY,
        "guest gang": guest.guest_key("id"),
        "settled gangs": settlement.SETTLED_KEY_PREFIX,
        "written by a leader": sorted(cluster.store.data),
        "commands to workers": sorted(commands),
    }


def paths_of(struct: type, prefix: str = "") -> list[str]:
    """Return the paths of all fields of a settings file, including the fields of its tables."""
    paths = []
    for field in fields_of(struct):
        kind, path = field.type, prefix + field.encode_name
        if isinstance(kind, inspect.ListType):
            kind, path = kind.item_type, f"{path}[]"
        paths += paths_of(kind.cls, f"{path}.") if isinstance(kind, inspect.StructType) else [path]
    return sorted(paths)


def current_settings() -> dict[str, Any]:
    shipped = Path(policy.__file__).with_name("default_policy.toml")
    files = {path.name: sorted(tomllib.loads(path.read_text("utf-8"))) for path in [shipped, *DEPLOY.glob("*.toml")]}
    ranges = [(policy.VARIABLES, policy.KEYS), (federation.NAMES, federation.KEYS)]
    return {
        **{f"fields of the {name} file": paths_of(struct) for name, struct in FILES.items()},
        **{f"keys of {name}": keys for name, keys in sorted(files.items())},
        "policy and federation: names": [
            {name: list(bounds) for name, bounds in sorted(names.items())} for names, _ in ranges
        ],
        "policy and federation: keys": [
            {key: dataclasses.astuple(valid) for key, valid in sorted(keys.items())} for _, keys in ranges
        ],
        "functions of expressions": sorted(operations.FUNCTIONS),
        "federation: defaults": federation.DEFAULTS,
        "federation: plain keys": sorted(federation.PLAIN),
        "features": sorted(BUILT_IN),
        "hooks": sorted(field.name for field in dataclasses.fields(Features)),
        "columns of a history": sorted(field.name for field in dataclasses.fields(TaskEvent)),
    }


def current_command_line(*subcommands: str) -> dict[str, Any]:
    """Return the options and choices of each subcommand, as printed by its help."""
    output, wide_terminal = io.StringIO(), mock.patch.dict(os.environ, {"COLUMNS": "10000"})
    with wide_terminal, contextlib.redirect_stdout(output), contextlib.suppress(SystemExit):
        cli.main([*subcommands, "--help"])
    usage = output.getvalue().partition("\n\n")[0]
    options: dict[str, Any] = {" ".join(subcommands): sorted(set(re.findall(r"--[a-z][a-z-]*|\{.*?\}", usage)))}
    nested = re.search(r"\{([a-z,-]+)\} \.\.\.", usage)
    for subcommand in nested[1].split(",") if nested else ():
        options |= current_command_line(*subcommands, subcommand)
    return options


#: Functions that return the current items of each fixture file, by the name of the file.
CURRENT = {
    "messages": current_messages, "enumerations": current_enumerations, "keys": current_keys,
    "settings": current_settings, "command_line": current_command_line,
}  # fmt: skip


def fixture(name: str) -> dict[str, Any]:
    """Return the content of a fixture file, or an empty dictionary if the file does not exist."""
    path = FIXTURES / f"{name}.json"
    return dict(json.loads(path.read_text("utf-8"))) if path.exists() else {}


@pytest.mark.parametrize("label", sorted(MESSAGES))
def test_fixture_is_decoded_and_encoded_to_the_same_bytes(label: str) -> None:
    kept = fixture("messages")[label]
    assert list(kept) == ["defaults", "all set"]
    assert kept == {which: encode(label, decode(label, text, MESSAGES[label])) for which, text in kept.items()}
    # The same instances are generated, so that no field was added, removed or moved.
    assert current_messages()[label] == kept


@pytest.mark.parametrize("label", sorted(MESSAGES))
def test_unknown_fields_are_ignored_and_missing_fields_have_defaults(label: str) -> None:
    """Controllers of two versions exchange messages in one cluster and read records that the other version stored."""
    kept, kind = fixture("messages")[label], MESSAGES[label]
    bare, full = (decode(label, kept[which], Any) for which in ("defaults", "all set"))
    extended = [*full, 1] if isinstance(full, list) else {**full, "unknown": [1]}
    assert decode(label, encode(label, extended), kind) == decode(label, kept["all set"], kind)
    names = [field.encode_name for field in fields_of(kind) if field.required]
    reduced = (
        bare[: len(names)]
        if isinstance(bare, list)
        else {key: value for key, value in bare.items() if key in {"type", *names}}
    )
    assert decode(label, encode(label, reduced), kind) == decode(label, kept["defaults"], kind)


@pytest.mark.parametrize("label", sorted(label for label in MSGPACK if label.startswith("clusters: ")))
def test_message_between_clusters_is_identified_by_its_tag(label: str) -> None:
    for text in fixture("messages")[label].values():
        assert type(decode(label, text, messages.Message | messages.Reply)) is MESSAGES[label]


def test_each_structure_has_a_fixture() -> None:
    found: set[type] = set()
    for info in pkgutil.walk_packages([str(ROOT)], "grebestand."):
        if not info.name.startswith(SIMULATION) and not info.name.endswith("__main__"):
            values = vars(import_module(info.name)).values()
            found |= {value for value in values if isinstance(value, type) and issubclass(value, msgspec.Struct)}
    file_modules = {struct.__module__ for struct in FILES.values()}
    in_files = {struct for struct in found if struct.__module__ in file_modules}
    assert found - {msgspec.Struct} - in_files - NOT_SENT == set(MESSAGES.values())
    assert fixture("messages").keys() == MESSAGES.keys()


@pytest.mark.parametrize("name", sorted(CURRENT.keys() - {"messages"}))
def test_external_names_and_values_are_unchanged(name: str) -> None:
    assert json.loads(json.dumps(CURRENT[name]())) == fixture(name)


def test_external_texts_are_constants_of_the_code() -> None:
    """Checks paths, responses to users, workers and clusters, HTTP headers, and environment variables."""
    constants: set[object] = set()
    for path in ROOT.rglob("*.py"):
        if f"{grebestand.__name__}.{path.relative_to(ROOT).parts[0]}" not in SIMULATION:
            tree = ast.parse(path.read_text("utf-8"))
            constants |= {node.value for node in ast.walk(tree) if isinstance(node, ast.Constant)}
    texts = {text for part in fixture("texts").values() for text in part}
    assert texts and {text for text in texts if text not in constants and text.encode() not in constants} == set()


if __name__ == "__main__":
    for name, current in CURRENT.items():
        (FIXTURES / f"{name}.json").write_text(json.dumps(current() | fixture(name), indent=1) + "\n", "utf-8")
