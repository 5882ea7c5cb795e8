"""Stories of the operators' bad nights: guests, late copies, deaf machines, restarts, sleepers, late machines."""

from __future__ import annotations

import json
from collections.abc import Mapping

import gevent
import msgspec
import pytest

from grebestand.api.heartbeat_api import HeartbeatApi
from grebestand.clients.cloud import CloudError
from grebestand.clients.http import UnreachableError
from grebestand.clients.kv_store import StoreError
from grebestand.clients.peer import PeerClient
from grebestand.cluster_state.machine import Machine
from grebestand.emulators.worker import WorkerEmulator
from grebestand.flow_control.rate_limiter import Urgency
from grebestand.leader.term import Term
from grebestand.scheduling.job_ordering import JobOrdering
from grebestand.simulation.single_controller_cluster import SETTINGS, TYPES, InMemoryCluster, InMemoryController
from grebestand.state_machines import LeaderState, MachineState, Reception
from grebestand.wire.peers import PeerStatus
from grebestand.wire.workers import ExitReason


class Gone:
    """A controller that cannot be reached."""

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        raise UnreachableError("gone")


def test_a_team_without_a_limit_is_a_guest_that_gets_what_is_free() -> None:
    """`cpus_max = 0` was read as "may use nothing", and every submission of a guest team answered 422."""
    guest = '[[params.teams]]\nname = "guest"\ncpus = 0.0\ncpus_max = 0.0\n\n[[params.teams]]'
    world = InMemoryCluster(SETTINGS.replace("[[params.teams]]", guest, 1))
    worker = world.worker("n-000000")
    node = InMemoryController(world, "node-0")
    term = node.lead()
    world.settle(term, 3)
    world.accept(node, crew="guest", shards=40, cpus=0.25, ramGb=0.1)
    world.settle(term, 4)
    assert len(worker.running()) == 40
    assert json.loads(node.users.submit(world.job(crew="nobody")).body) == {"error": "unknown team"}


def test_when_a_job_begins_is_told_once(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    world = InMemoryCluster()
    workers = [world.worker(f"n-{i:06d}") for i in range(2)]
    node = InMemoryController(world, "node-0")
    term = node.lead()
    world.settle(term, 3)
    gang = world.accept(node, shape="ensemble", shards=2, cpus=4.0)
    world.settle(term, 2)
    for w in workers:
        for task in w.running():
            w.finish(task)
    world.settle(term, 2)
    told = [r.getMessage() for r in caplog.records if "began after" in r.getMessage()]
    assert len(told) == 1 and told[0].startswith(gang)
    accepted = f"job_accepted job_id={gang} kind=gang tasks=2 class=train team=blue"
    assert any(r.getMessage() == accepted for r in caplog.records)


# what a report proves ---------------------------------------------------------------------------------------


def led(
    machines: int = 2, settings: str = SETTINGS, rules: str = "rent = false\n"
) -> tuple[InMemoryCluster, InMemoryController, Term]:
    """A leader and machines that may be given tasks."""
    world = InMemoryCluster(settings, rules)
    for i in range(machines):
        world.worker(f"n-{i:06d}")
    node = InMemoryController(world, "node-0")
    term = node.lead()
    world.settle(term, 3)
    return world, node, term


def test_a_late_copy_brings_no_deleted_machine_back_and_no_lapsed_one() -> None:
    """A copy of a deleted machine's report had it on record again, with its tasks, and given new ones."""
    world, node, term = led()
    gone, lapsed = world.workers.values()
    ident = world.accept(node, shards=20)
    world.settle(term, 2)
    held = set(gone.running()) | set(lapsed.running())
    copies = [gone.report(), lapsed.report()]  # sent, and held on the way
    gone.reachable = lapsed.reachable = False
    del world.workers[gone.name]
    term.deprovisioning._remove([gone.name])
    world.settle(term, 25)
    assert term.inventory.by_name[lapsed.name].state is MachineState.LEASE_EXPIRED
    for copy in copies:
        term.handle_heartbeat(copy)
    assert gone.name not in term.inventory.by_name
    assert term.inventory.by_name[lapsed.name].state is MachineState.LEASE_EXPIRED
    job = term.registry.jobs[ident]
    assert held and not job.allocations and job.startable() == 20


def test_after_a_takeover_an_old_copy_proves_neither_a_machine_nor_its_tasks() -> None:
    """A copy from an earlier term put a task on a machine where it was no more; where it really ran it was stopped."""
    world, node, term = led()
    first, second = world.workers.values()
    ident = world.accept(node, shards=1)
    world.settle(term, 2)
    holder, other = (first, second) if first.running() else (second, first)
    copy = holder.report()
    holder.finish(f"{ident}/0", ExitReason.STOPPED)
    world.settle(term, 3)
    holder, other = (first, second) if first.running() else (second, first)
    moved = copy.machine != holder.name
    world.clock.now += 13.0
    again = InMemoryController(world, "node-1")
    after = again.lead()
    late = msgspec.structs.replace(copy, machine="n-000777", addr="n-000777:1")  # gone before this term began
    for report in (copy, late):
        after.handle_heartbeat(report)
    heard = after.heartbeat_handler.first_heard
    world.settle(after, 3)
    assert not heard and "n-000777" not in world.records("machines/")
    assert holder.running() == [f"{ident}/0"] and not other.running() and (moved or holder.started)


def test_a_new_machine_is_used_with_its_second_report() -> None:
    """Recorded only after it had echoed the token, it got its first tasks with the third, a report interval later."""
    world, node, term = led(1)
    world.accept(node, shards=40)
    w = world.worker("n-000009")
    world.settle(term, 2)
    assert len(w.running()) == 16


def test_a_result_is_true_however_late_its_copy_comes() -> None:
    world, node, term = led(1)
    (w,) = world.workers.values()
    ident = world.accept(node)
    world.settle(term, 2)
    w.finish(f"{ident}/0")
    copy = w.report()
    w.reachable = False
    world.settle(term, 30)
    term.handle_heartbeat(copy)
    world.settle(term, 1)
    assert json.loads(node.users.poll(ident).body)["tide"] == "done"


def test_a_number_that_no_leader_ever_had_does_not_end_a_term() -> None:
    """Any worker that reported a higher token ended the term at once, again and again if it went on."""
    world, _node, term = led(1)
    (w,) = world.workers.values()
    w.token = 1 << 50
    assert term.handle_heartbeat(w.report()) is None and not term.writer.is_leader()
    assert term.election.renew() and term.election.state is LeaderState.PAUSED
    term.election.move(LeaderState.LEADING, "test")
    assert term.handle_heartbeat(w.report()) is None and term.writer.is_leader()


def known(m: Machine) -> tuple[Reception, MachineState]:
    return m.reception, m.state


def deafen(w: WorkerEmulator) -> None:
    """Its reports go on arriving; nothing that is sent comes through."""
    w.reachable = False


def test_a_machine_that_does_not_hear_gets_nothing_holds_nobody_back_and_is_used_once_it_hears() -> None:
    """Its reports kept it alive in the books: what was placed there waited for ever, being told again and again."""
    world, node, term = led()
    deaf, _well = world.workers.values()
    deafen(deaf)
    ident = world.accept(node, shards=32)
    for _ in range(9):
        world.settle(term, 1)
        term.handle_heartbeat(deaf.report())
    m = term.inventory.by_name[deaf.name]
    assert known(m) == (Reception.UNREACHABLE, MachineState.SUSPECT) and not term.inventory.counts(m)
    assert term.handle_heartbeat(deaf.report()) is None  # no answer that could renew its lease
    held = [p for p in term.registry.jobs[ident].allocations.values() if p.machine == m.index]
    assert held  # they count until its lease is over
    for _ in range(25):
        world.settle(term, 1)
        term.handle_heartbeat(deaf.report())
    assert known(m) == (Reception.UNREACHABLE, MachineState.LEASE_EXPIRED) and not m.allocations
    deaf.lapse()
    deaf.reachable = True
    world.settle(term, 6)
    assert known(m) == (Reception.REACHABLE, MachineState.READY) and len(deaf.running()) == 16


def test_a_machine_that_cannot_be_asked_is_used_again_once_a_session_outlives_its_lease() -> None:
    """A filter that refuses the leader's own connections would have kept a machine that hears unused for ever."""
    world, node, term = led(1)
    (w,) = world.workers.values()
    m = term.inventory.by_name[w.name]
    term.inventory.receive(m, Reception.SUSPECTED, "test", world.clock.now)
    term.inventory.receive(m, Reception.UNREACHABLE, "test", world.clock.now)
    world.accept(node)
    w.reachable = False  # for questions; its reports and their answers go on
    states = set()
    for second in range(90):
        if second == 22:
            w.lapse()  # it was not answered for a lease
        orders = term.handle_heartbeat(w.report())
        if orders is not None:
            w.obey(orders)
        world.settle(term, 1)
        states.add(known(m))
    assert (Reception.UNREACHABLE, MachineState.LEASE_EXPIRED) in states and known(m) == (
        Reception.REACHABLE,
        MachineState.READY,
    )
    assert w.running()


def test_a_cancelled_jobs_tasks_on_a_deaf_machine_are_gone_within_the_time_by_its_lease() -> None:
    world, node, term = led(1)
    (deaf,) = world.workers.values()
    ident = world.accept(node, shards=2)
    world.settle(term, 3)
    deafen(deaf)
    assert deaf.running() and node.users.cancel(ident).status == 200
    for second in range(45):
        if second == 20:
            deaf.lapse()  # it has not been answered for a lease
        world.settle(term, 1)
        if second % 3 == 0:
            term.handle_heartbeat(deaf.report())  # lost on the way back
    m = term.inventory.by_name[deaf.name]
    assert not deaf.running() and not m.allocations and ident not in term.registry.jobs
    assert term.settings.params.workers.cancel_s >= 45.0


def test_one_lost_answer_does_not_make_a_machine_deaf() -> None:
    world, node, term = led(1)
    (w,) = world.workers.values()
    world.accept(node)
    world.handle_heartbeat(term, w, lose=True)
    m = term.inventory.by_name[w.name]
    term.handle_heartbeat(w.report())
    assert m.reception is Reception.REACHABLE and not term.machine_reconciliation.to_query(world.clock.now)
    world.settle(term, 2)
    assert w.running() and m.missed_responses == 0


def test_a_deaf_machine_of_an_earlier_term_does_not_keep_jobs_waiting_for_its_proof() -> None:
    """It reported an older token for ever, which proves nothing, and each report put off the end of its lease."""
    world, node, term = led()
    deaf, _well = world.workers.values()
    ident = world.accept(node, shards=32)
    world.settle(term, 3)
    deafen(deaf)
    world.clock.now += 13.0
    again = InMemoryController(world, "node-1")
    after = again.lead()
    for second in range(40):
        world.settle(after, 1)
        if not second % 3:
            after.handle_heartbeat(deaf.report())
    assert after.machine_reconciliation.proved and not after.registry.jobs[ident].possible_holders


@pytest.mark.parametrize("anew", [True, False])
def test_a_machine_that_is_back_at_once_is_understood_within_seconds(anew: bool) -> None:
    """One that counts anew sent what looked like old copies for ever; its tasks were started after a lease."""
    world, node, term = led(1)
    (w,) = world.workers.values()
    ident = world.accept(node, shards=4)
    world.settle(term, 3)
    w.tasks.clear()
    if anew:
        w.epoch, w.sequence, w.token = 1, 0, 0
    world.settle(term, 5)
    assert sorted(w.running()) == [f"{ident}/{i}" for i in range(4)]
    assert len(w.started) == 8  # each once again, neither never nor twice


def test_a_controller_that_stood_still_does_not_take_that_for_its_workers_silence() -> None:
    world, node, term = led(1)
    world.accept(node, shards=4)
    world.settle(term, 3)
    world.clock.now += 10.0  # within its hold
    term.inventory.detect_silent_machines(world.clock.now)
    assert [m.state for m in term.inventory.machines] == [MachineState.READY]


# jobs submitted with a mistake -------------------------------------------------------------------------------


def test_jobs_with_a_mistake_cost_no_machine_its_place_and_are_tried_on_within_bounds() -> None:
    """Three of them on one machine had it drained; each held back its own retry for two minutes."""
    world, node, term = led(4)
    wrong = {world.accept(node, shards=12, cpus=0.5) for _ in range(3)}
    tried: dict[str, list[float]] = {ident: [] for ident in wrong}
    for _ in range(150):
        for w in world.workers.values():
            for task in w.running():
                if (ident := task.rpartition("/")[0]) in wrong:
                    tried[ident].append(world.clock.now)
                    w.finish(task, ExitReason.ERROR)
        world.settle(term, 1)
    assert all(m.drain is None and not m.errors for m in term.inventory.machines) and len(term.inventory.machines) == 4
    end = world.clock.now
    for times in tried.values():
        assert end - times[-1] < 40.0 and len([t for t in times if t > end - 60.0]) <= 4
    good = world.accept(node, shards=4)
    world.settle(term, 3)
    assert sum(t.startswith(good) for w in world.workers.values() for t in w.running()) == 4


def test_a_job_that_failed_for_a_while_has_all_its_tasks_again_soon_after_one_runs() -> None:
    world, node, term = led(4)
    ident = world.accept(node, shards=12)
    for _ in range(40):
        for w in world.workers.values():
            for task in w.running():
                w.finish(task, ExitReason.ERROR)
        world.settle(term, 1)
    assert term.registry.jobs[ident].doubtful
    world.settle(term, 45)
    assert sum(len(w.running()) for w in world.workers.values()) == 12


def test_a_faulty_machine_is_still_found_among_jobs_with_a_mistake() -> None:
    world, node, term = led(4)
    bad = world.workers["n-000000"]
    wrong = [world.accept(node, shards=2, cpus=4.0) for _ in range(2)]
    for second in range(60):
        if second % 4 == 0:
            world.accept(node, shards=20, cpus=4.0)
        for w in world.workers.values():
            for task in w.running():
                if w is bad or task.rpartition("/")[0] in wrong:
                    w.finish(task, ExitReason.ERROR)
                elif second % 5 == 0:
                    w.finish(task)
        world.settle(term, 1)
    assert [m.name for m in term.inventory.machines if m.drain == "faulty"] == [bad.name]


# machines that come late or never -----------------------------------------------------------------------------


def listed(name: str, held_s: float, zone: str = "a") -> dict[str, object]:
    return {"ref": name, "addr": f"{name}:1", "hull": "m4", "quay": zone, "driftwood": False, "tide": "starting",
            "heldS": held_s}  # fmt: skip


def test_a_machine_that_never_comes_is_replaced_once_elsewhere_and_given_up() -> None:
    """It counted as coming for four minutes and kept its replacement from being rented for as long."""
    world, node, term = led(1, rules="keep_empty = 0\n")
    asked: list[dict[str, object]] = []

    def rented(names: list[str], want: dict[str, object]) -> None:
        asked.append(want)
        world.cloud.listed += [listed(n, 0.0, str(want["quay"])) for n in names]

    world.cloud.rented = rented
    world.accept(node, shards=30, cpus=1.0)
    times = []
    for _ in range(170):
        world.settle(term, 1)
        for entry in world.cloud.listed:
            entry["heldS"] = float(entry["heldS"]) + 1.0
        before = len(asked)
        term.step_fleet()
        times += [world.clock.now] * (len(asked) - before)
    boot = TYPES[0].boot_s
    assert times[1] - times[0] < 2.5 * boot  # replaced, not after they were given up
    assert len({want["quay"] for want in asked[:2]}) == 2
    first = next(iter(world.cloud.requests.values()))
    assert set(first) <= set(world.cloud.deleted)  # and no longer paid
    assert len(asked) <= 6  # no herd


# alone with its workers ---------------------------------------------------------------------------------------


def test_a_controller_that_hears_neither_the_state_service_nor_others_sends_its_users_elsewhere() -> None:
    """It called itself healthy, as nobody told it that others were served, and its users waited for timeouts."""
    world = InMemoryCluster()
    node = InMemoryController(world, "node-0")
    peer = PeerClient("node-1", Gone())
    leadership_transfer = node.leadership_transfer(peer)
    node.state_link.answered()
    assert leadership_transfer.healthy()
    world.clock.now += 5.0
    assert not leadership_transfer.healthy()
    peer.last_heard_at, peer.last = world.clock.now, PeerStatus("node-1", 0, 5.0)
    assert leadership_transfer.healthy()  # an outage of all: there is nowhere better


def test_what_was_read_before_a_controller_stood_still_is_not_told_as_the_present_state() -> None:
    world, node, term = led(1)
    ident = world.accept(node)
    read = node.users._live

    def slow(job_id: str, urgency: Urgency, until: float) -> tuple[int, bool]:
        found = read(job_id, urgency, until)
        world.clock.now += 10.0
        return found

    node.users._live = slow  # type: ignore[method-assign]
    assert node.users.poll(ident).status == 503
    assert term.token


# no job is forgotten ------------------------------------------------------------------------------------------


def test_a_task_left_on_a_machine_that_is_gone_is_found_and_runs() -> None:
    world, node, term = led(2)
    ident = world.accept(node, shards=2)
    world.settle(term, 2)
    job = term.registry.jobs[ident]
    allocation = next(iter(job.allocations.values()))
    m = term.inventory.at(allocation.machine)
    assert m is not None
    del m.allocations[allocation.name]  # broken on purpose: the machine is deleted, and the place stays
    del world.workers[m.name]
    term.deprovisioning._remove([m.name])
    for _ in range(6):
        term.job_audit.step()
        world.settle(term, 2)
    assert term.job_audit.mended == 1 and len(world.workers) == 1
    assert sorted(t for w in world.workers.values() for t in w.running()) == [f"{ident}/0", f"{ident}/1"]


def test_a_record_that_was_never_read_is_found_and_its_job_runs_once_nothing_of_it_can_run_elsewhere() -> None:
    world, node, term = led(2)
    ident = world.accept(node, shards=2)
    job = term.registry.jobs.pop(ident)  # broken on purpose
    term.registry.teams[job.team].used[:] = [0, 0]
    for _ in range(20):
        world.settle(term, 1)
        term.job_audit.step()
    assert term.job_audit.mended == 1 and not any(w.running() for w in world.workers.values())
    for _ in range(20):
        world.settle(term, 1)
        term.job_audit.step()
    assert sum(len(w.running()) for w in world.workers.values()) == 2 and term.job_audit.mended == 1


def test_a_job_whose_record_is_gone_does_not_go_on() -> None:
    world, node, term = led(1)
    ident = world.accept(node, shards=2)
    world.settle(term, 2)
    world.store.data.pop(f"live/{ident}")  # removed, and the watch told nothing
    world.settle(term, 1)
    for _ in range(4):
        term.job_audit.step()
        world.settle(term, 2)
    assert ident not in term.registry.jobs and not world.workers["n-000000"].running()


def test_tasks_that_no_list_has_are_found() -> None:
    world, node, term = led(1)
    ident = world.accept(node, shards=40)
    world.settle(term, 2)
    job = term.registry.jobs[ident]
    job.fresh = 40  # broken on purpose: passed over
    w = world.workers["n-000000"]
    for _ in range(16):
        for task in w.running()[:1]:
            w.finish(task)
        world.settle(term, 1)
    before = len(w.started)
    world.clock.now += 0.0
    for _ in range(90):
        world.settle(term, 1)
        term.job_audit.step()
    assert term.job_audit.mended == 1 and len(w.started) > before


def test_healthy_jobs_are_left_alone_by_the_sweep() -> None:
    world, node, term = led(2)
    for shards in (1, 30, 200):
        world.accept(node, shards=shards, ramGb=0.1)
    world.accept(node, shape="ensemble", shards=2, cpus=15.0)
    for second in range(120):
        for w in world.workers.values():
            if second % 3 == 0:
                for task in w.running()[:2]:
                    w.finish(task)
        world.settle(term, 1)
        term.job_audit.step()
    assert not term.job_audit.mended


# the largest jobs ---------------------------------------------------------------------------------------------


def crowded(kind: str, large: Mapping[str, object], small: Mapping[str, object], dies_at: int = 0) -> float | None:
    """How long a large job waits among small ones of its priority that go on arriving; None: it does not begin."""
    world, node, term = led(4)
    ends: dict[str, float] = {}
    for second in range(300):
        if second % 4 == 0:
            world.accept(node, shape=kind, **small)
        if second == 12:
            ident = world.accept(node, shape=kind, **large)
        if second == dies_at and dies_at:
            world.clock.now += 13.0
            node = InMemoryController(world, "node-1")
            term = node.lead()
        for w in world.workers.values():
            for task in w.running():
                if world.clock.now >= ends.setdefault(task, world.clock.now + 18.0 + len(ends) % 7):
                    w.finish(task)
        world.settle(term, 1)
        if second > 12 and sum(t.startswith(ident) for w in world.workers.values() for t in w.running()):
            return world.clock.now - 1015.0
    return None


LARGE_GANG = ({"shards": 4, "cpus": 15.0}, {"shards": 1, "cpus": 15.0})


def test_the_largest_gang_begins_though_small_ones_never_cease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Least work first, and whole or not at all: one machine after the other went to the next small gang."""
    waited = crowded("ensemble", *LARGE_GANG)
    assert waited is not None and waited < 240.0
    monkeypatch.setattr(JobOrdering, "overdue", lambda *_: False)  # broken on purpose
    assert crowded("ensemble", *LARGE_GANG) is None


def test_a_large_gangs_age_goes_on_when_its_leader_dies() -> None:
    waited = crowded("ensemble", *LARGE_GANG, dies_at=80)
    assert waited is not None and waited < 240.0


def test_the_largest_array_begins_though_small_ones_never_cease() -> None:
    waited = crowded("array", {"shards": 60, "cpus": 4.0}, {"shards": 12, "cpus": 4.0})
    assert waited is not None and waited < 240.0


# users who ask many times as often ------------------------------------------------------------------------------


def test_polls_that_come_together_share_current_reads() -> None:
    """Eight users in ten would have waited: each poll was a request of its own to the state service."""
    world, node, term = led(1)
    idents = [world.accept(node) for _ in range(30)]
    count = 0
    request = world.store.request

    def counted(method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        nonlocal count
        count += 1
        gevent.sleep(0.001)
        return request(method, path, body, timeout)

    world.store.request = counted  # type: ignore[method-assign]
    asked = [gevent.spawn(node.users.poll, idents[i % 30]) for i in range(600)]
    gevent.joinall(asked)
    assert all(g.value.status == 200 for g in asked) and count <= 60
    assert term.token


def test_a_shared_read_never_tells_an_older_state() -> None:
    """The poll that comes after the commit of a cancellation must not be served by a comparison begun before it."""
    world, node, _term = led(1)
    other = InMemoryController(world, "node-1")
    idents = [world.accept(node) for _ in range(4)]
    assert other.users.cancel(idents[0]).status == 200
    views = [json.loads(node.users.poll(i).body)["tide"] for i in idents]
    assert views[0] == "cancelled" and "cancelled" not in views[1:]
    world.store.down = True
    assert node.users.poll(idents[1]).status == 503
    assert node.users.poll(idents[0]).status == 200  # a final state needs nobody


# nonsense -----------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "wrong", [{"watch": 0}, {"tally": -3}, {"watch": "1"}, {"helm": -1}, {"shards": [{"shard": "j-1/100000"}]},
              {"shards": [{"shard": "j-000001/4"}]}, {"shards": [{"shard": "no task"}]}]
)  # fmt: skip
def test_a_report_that_cannot_be_is_answered_400_and_changes_nothing(wrong: dict[str, object]) -> None:
    world, node, term = led(1)
    (w,) = world.workers.values()
    assert world.accept(node, shards=4) == "j-000001"
    world.settle(term, 2)
    body = json.loads(msgspec.json.encode(w.report()))
    for task in wrong.get("shards", ()):  # type: ignore[attr-defined]
        task |= {"launch": 1, "tide": "running"}
    door = HeartbeatApi("node-0", node.election, lambda: term)
    m = term.inventory.by_name[w.name]
    before = m.epoch, m.sequence, m.change_count, sorted(m.allocations)
    assert door.handle_heartbeat(json.dumps({**body, **wrong}).encode()).status == 400
    assert door.handle_heartbeat(json.dumps(body).encode()[:-20]).status == 400
    assert (m.epoch, m.sequence, m.change_count, sorted(m.allocations)) == before


def test_nonsense_from_the_cloud_or_the_state_service_ends_no_step() -> None:
    world, node, term = led(1)
    strange = dict(listed("n-000900", 1e30, "nowhere"), hull="unheard-of")
    for answer in (b"{", b"[]", b'{"vessels":[{"ref":5}]}', b'{"vessels":null}', b"\xff\xfe"):
        world.cloud.request = lambda *_, answer=answer: (200, answer)  # type: ignore[method-assign]
        term.deprovisioning.listed_at = -1e9
        with pytest.raises(CloudError):
            term.step_fleet()
    world.cloud.request = lambda *_: (200, json.dumps({"vessels": [strange]}).encode())  # type: ignore[method-assign]
    term.deprovisioning.listed_at = -1e9
    term.deprovisioning.read_list()
    for answer in (b"{", b"[]", b'{"logline":"x"}'):
        world.store.request = lambda *_, answer=answer: (200, answer)  # type: ignore[method-assign]
        with pytest.raises(StoreError):
            term.job_watch.watch()
        assert node.users.poll("j-000077").status == 503
    assert term.writer.is_leader() and len(term.inventory.machines) == 1
