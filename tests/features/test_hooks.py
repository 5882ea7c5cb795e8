"""The seam for features: a tiny one hooks in everywhere, and files that switch features on are checked."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from grebestand.api.peer_api import PeerApi
from grebestand.cli import main
from grebestand.features.hooks import Features
from grebestand.features.registry import listed, load
from grebestand.settings.expressions import ExpressionError
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController
from grebestand.wire.peers import PeerStatus
from support import tiny_feature

KNOWN = {"curfew": "support.tiny_feature"}


def switched_on(tmp_path: Path, text: str) -> Features:
    file = tmp_path / "curfew.toml"
    file.write_text(text)
    return load([str(file)], InMemoryCluster().settings, KNOWN)


def test_a_tiny_feature_hooks_into_a_job_s_whole_life(tmp_path: Path) -> None:
    features = switched_on(tmp_path, 'feature = "curfew"\nmost_tasks = "20 * teams + 1"\n')
    curfew = tiny_feature.MADE[-1]
    world = InMemoryCluster()
    worker = world.worker("n-000000")
    node = InMemoryController(world, "node-0", features)
    term = node.lead()
    # accept: refused with a time to come back; a job that is known already is recognised all the same
    answer = node.users.submit(world.job(shards=42))
    assert (answer.status, answer.retry_after) == (429, 7)
    ident = world.accept(node, shards=2)
    again = {**json.loads(world.job(shards=42)), "ref": ident}
    assert node.users.submit(json.dumps(again).encode()).status == 200
    # place: it waits, and says why
    curfew.on = True
    world.settle(term, 4)
    assert not worker.started and term.registry.jobs[ident].why_waiting == "curfew"
    curfew.on = False
    term.registry.changed = True
    world.settle(term, 4)
    assert len(worker.running()) == 2
    # close: its change is made in the transaction that closes the job
    for task in worker.running():
        worker.finish(task)
    world.settle(term, 3)
    found = world.store.data
    assert found[f"curfew-done/{ident}"][1] == found[f"over/{ident}"][1]
    # records: what it put is there for the next leader
    for step, _ in features.steps:
        step()
    term.save_features()
    world.clock.now += 13.0
    InMemoryController(world, "node-1", features).lead()
    assert curfew.found == {"on": False}
    # messages and listeners
    door = PeerApi([], world.clock, lambda: PeerStatus("node-1", 1, 0.0), features)
    assert door.answer("/curfew", b"abc") == b"cba" and door.answer("/nothing", b"") is None
    assert [x.field for x in features.listeners] == ["curfew"]


def test_two_features_may_not_claim_the_same_records() -> None:
    one = Features(["a"], messages={"/x": bytes})
    with pytest.raises(ValueError, match="message path '/x' is claimed twice"):
        one.add(Features(["b"], messages={"/x": bytes}))


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("most_tasks = 3\n", "curfew.toml: feature: column 1: must name the feature"),
        ('feature = "budget"\n', "curfew.toml: feature: column 1: unknown feature 'budget' (known: curfew)"),
        ('feature = "curfew"\nmost = 1\n', "curfew.toml: most: column 1: unknown setting (known: most_tasks)"),
        ('feature = "curfew"\nmost_tasks = "2 + machines"\n', "curfew.toml: most_tasks: column 5: unknown name"),
        ('feature = "curfew"\nmost_tasks = "5 / teams"\n', "curfew.toml: most_tasks: column 5: this division can fail"),
        ("feature = [\n", "curfew.toml: -: column 1: not TOML"),
    ],
)
def test_faults_of_a_feature_s_file_name_file_key_and_column(tmp_path: Path, text: str, fault: str) -> None:
    with pytest.raises(ExpressionError) as caught:
        switched_on(tmp_path, text)
    assert str(caught.value.faults[0]).removeprefix(f"{tmp_path}/").startswith(fault)


def test_the_command_line_says_which_features_exist(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    config, wish = tmp_path / "settings.toml", tmp_path / "wish.toml"
    config.write_text(SETTINGS)
    wish.write_text('feature = "wish"\n')
    assert main(["serve", "--config", str(config), "--with", str(wish)]) == 2
    told = capsys.readouterr().err
    assert told.startswith(f"grebestand: feature: {wish}: feature: column 1: unknown feature 'wish' (known: ")
    assert told.count("\n") == 1


def test_a_list_names_files_beside_itself(tmp_path: Path) -> None:
    file = tmp_path / "features.toml"
    file.write_text('with = ["curfew.toml"]\n')
    assert listed(str(file)) == [str(tmp_path / "curfew.toml")]
    file.write_text('with = "curfew.toml"\n')
    with pytest.raises(ExpressionError, match="with: column 1: must be a list of files"):
        listed(str(file))
