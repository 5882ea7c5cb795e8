"""Computations cut into steps: books that change in between, and how long nobody else gets a turn."""

from __future__ import annotations

import dataclasses
import logging
import random

import pytest

from grebestand.cluster_state.jobs import Allocation, Job
from grebestand.cluster_state.machine import Machine
from grebestand.emulators.worker import WorkerEmulator
from grebestand.leader.scheduling_loop import SLICE_S
from grebestand.leader.term import Term
from grebestand.scheduling import gang_scheduling, placement, template_targets
from grebestand.scheduling.gang_scheduling import GangCandidates, GangPlacement
from grebestand.scheduling.greedy import ServerDemand, TemplateAssignment, cra
from grebestand.scheduling.scheduling_context import Steps
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController
from grebestand.state_machines import MachineState
from grebestand.wire.workers import ExitReason, TaskPhase


def led(
    n: int, monkeypatch: pytest.MonkeyPatch, settings: str = SETTINGS
) -> tuple[InMemoryCluster, InMemoryController, Term, list[WorkerEmulator]]:
    """A leader of machines that are looked at one in a step."""
    for module in (gang_scheduling, placement, template_targets):
        monkeypatch.setattr(module, "MACHINES_A_STEP", 1)
    world = InMemoryCluster(settings)
    node = InMemoryController(world, "node-0")
    term = node.lead()
    workers = [world.worker(f"n-{i:06d}") for i in range(n)]
    world.settle(term, 6)
    return world, node, term, workers


def until(steps: Steps, count: int) -> None:
    for _ in range(count):
        next(steps)


def others_run(term: Term) -> None:
    """A slice ends here: reports are read, and a new turn begins."""
    term.scheduler.view.turn += 1


def machine(term: Term, worker: WorkerEmulator) -> Machine:
    return term.inventory.by_name[worker.name]


def test_a_gang_does_not_start_on_a_machine_that_fell_silent_while_others_were_looked_at(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A pass over 5000 machines lets reports in between; a decision from before is checked when it is applied."""
    world, node, term, workers = led(3, monkeypatch)
    ident = world.accept(node, shape="ensemble", shards=2, cpus=16.0)
    steps = term.scheduler.passing(world.clock.now)
    until(steps, 4)  # the job, and all three machines have been looked at
    first = machine(term, workers[0])
    term.inventory.move(first, MachineState.SUSPECT, world.clock.now)
    others_run(term)
    for _ in steps:
        pass
    allocations = term.registry.jobs[ident].allocations
    assert sorted(p.machine for p in allocations.values()) == [machine(term, w).index for w in workers[1:]]


def test_a_gang_waits_if_what_is_left_after_a_change_is_not_enough(monkeypatch: pytest.MonkeyPatch) -> None:
    world, node, term, workers = led(2, monkeypatch)
    ident = world.accept(node, shape="ensemble", shards=2, cpus=16.0)
    steps = term.scheduler.passing(world.clock.now)
    until(steps, 3)
    machine(term, workers[1]).drain = "recall"
    others_run(term)
    for _ in steps:
        pass
    job = term.registry.jobs[ident]
    assert not job.allocations and "not all slots" in job.why_waiting


def test_a_gang_cancelled_while_its_machines_are_looked_at_starts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    world, node, term, _workers = led(2, monkeypatch)
    ident = world.accept(node, shape="ensemble", shards=2, cpus=16.0)
    job = term.registry.jobs[ident]
    steps = term.scheduler.passing(world.clock.now)
    until(steps, 2)
    assert node.users.cancel(ident).status == 200
    term.job_watch.watch()
    others_run(term)
    for _ in steps:
        pass
    assert not job.allocations and ident not in term.registry.jobs


def test_a_team_s_limit_counts_what_started_between_two_steps(monkeypatch: pytest.MonkeyPatch) -> None:
    """The limit is read again for each machine: a report's own filling may have used it up."""
    settings = SETTINGS.replace("cpus_max = 16.0", "cpus_max = 32.0")
    world, node, term, workers = led(3, monkeypatch, settings)
    monkeypatch.setattr(placement, "STARTS_A_STEP", 1)
    ident = world.accept(node, crew="red", shards=30, cpus=4.0)
    other = world.accept(node, crew="red", shards=30, cpus=1.0, rank="best_effort")
    term.scheduler.retarget(world.clock.now)
    jobs = term.registry.jobs
    steps = term.scheduler.passing(world.clock.now)
    while not jobs[ident].allocations:
        next(steps)
    term.scheduler.placing._start_tasks(jobs[other], machine(term, workers[2]), 12, world.clock.now)
    others_run(term)
    for _ in steps:
        pass
    # 16 + 12 of 32 CPUs were used when it went on: room for one more task of four
    assert [len(jobs[i].allocations) for i in (ident, other)] == [5, 12]


def test_a_template_is_not_given_to_a_machine_that_was_filled_while_the_plan_was_made(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing is stopped for a template, so one made for an empty machine does not fit one that no longer is."""
    world, node, term, (w,) = led(1, monkeypatch)
    first = world.accept(node, shards=4, cpus=3.0, rank="best_effort")
    term.scheduler.retarget(world.clock.now)
    m = machine(term, w)
    before = m.template
    world.accept(node, shards=9, cpus=7.0)
    steps = term.scheduler.retargeting(world.clock.now)
    until(steps, 3)  # the plan is made: a template with two slots of the second type
    job = term.registry.jobs[first]
    for index in range(4):
        term.dispatch.start(job, index, m, 9, world.clock.now)
    others_run(term)
    for _ in steps:
        pass
    assert m.template == before != ()


def test_a_long_pass_is_taken_in_slices_and_reports_are_answered_in_between(monkeypatch: pytest.MonkeyPatch) -> None:
    """One pass over 5000 machines once held the leader for seconds, and nobody was answered meanwhile."""
    world, node, term, workers = led(3, monkeypatch)
    passing = term.scheduler.passing

    def slow(now: float) -> Steps:
        for _ in passing(now):
            world.clock.now += 0.03
            yield

    monkeypatch.setattr(term.scheduler, "passing", slow)
    ident = world.accept(node, shape="ensemble", shards=3, cpus=16.0)
    world.clock.now += 1.0
    term.scheduling_loop.retarget_after = world.clock.now + 100.0
    begin = world.clock.now
    term.scheduling_loop.step(begin)
    assert term.scheduling_loop.busy and world.clock.now - begin < SLICE_S + 0.03
    assert world.handle_heartbeat(term, workers[0]) is not None
    for _ in range(50):
        slice_began = world.clock.now
        term.scheduling_loop.go_on()
        assert world.clock.now - slice_began < SLICE_S + 0.03
    assert len(term.registry.jobs[ident].allocations) == 3
    # a change that came with the report in between brings another pass; the pass's own starts do not
    term.scheduling_loop.place_after = world.clock.now
    assert not term.registry.changed


def test_a_computation_is_given_up_with_the_authority(monkeypatch: pytest.MonkeyPatch) -> None:
    world, node, term, _workers = led(3, monkeypatch)
    ident = world.accept(node, shape="ensemble", shards=3, cpus=16.0)
    passing = term.scheduler.passing

    def slow(now: float) -> Steps:
        for _ in passing(now):
            world.clock.now += 0.05
            yield

    monkeypatch.setattr(term.scheduler, "passing", slow)
    world.clock.now += 1.0
    term.scheduling_loop.retarget_after = world.clock.now + 100.0
    term.scheduling_loop.step(world.clock.now)
    assert term.scheduling_loop.busy
    node.election.resign("gives way", 10.0)
    term.scheduling_loop.go_on()
    assert term.scheduling_loop._work is None and not term.registry.jobs[ident].allocations


def test_reports_without_news_are_not_filled_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """With 1500 jobs waiting each report looked through all of them, though nothing on its machine had changed."""
    world, node, term, (w,) = led(1, monkeypatch)
    world.accept(node, shards=100, cpus=3.0, ramGb=30.0)  # memory for two, and CPUs for three more
    world.settle(term, 6)
    looked: list[str] = []
    slots = term.scheduler.placing._slots_for

    def counted(job: Job, m: Machine, blocked: set[int], now: float) -> int:
        looked.append(job.spec.id)
        return slots(job, m, blocked, now)

    monkeypatch.setattr(term.scheduler.placing, "_slots_for", counted)
    term.scheduling_loop.place_after = term.scheduling_loop.retarget_after = world.clock.now + 100.0
    for _ in range(5):
        world.clock.now += 1.0
        assert world.handle_heartbeat(term, w) is not None
    assert not looked
    w.finish(w.running()[0])
    world.clock.now += 1.0
    assert world.handle_heartbeat(term, w) is not None
    assert looked


def one_by_one(seats: list[TemplateAssignment], plan: list[ServerDemand]) -> int:
    """Algorithm 2 as plainly as it can be written: every entry of the plan looks at every seat."""
    worst = short = len(plan) + 1
    for seat in seats:
        seat.rank = worst
    for i, wanted in enumerate(plan, start=1):
        mine = [s for s in seats if s.pool == wanted.pool and s.rank == worst and s.config == wanted.config]
        for seat in mine[: wanted.count]:
            seat.rank = i
        lack = max(0, wanted.count - len(mine))
        later = {w.config for w in plan[i:] if w.pool == wanted.pool}
        ready = [s for s in seats if s.pool == wanted.pool and s.rank == worst and s.may_become(wanted.config)]
        ready.sort(key=lambda s: (not s.empty, s.config in later))
        for seat in ready[:lack]:
            seat.rank, seat.config = i, wanted.config
        if lack > len(ready):
            short = min(short, i)
    return short


def test_classification_by_groups_takes_the_same_machines_as_one_by_one() -> None:
    """Grouped by configuration it no longer looks at every machine for every entry of the plan."""
    rng = random.Random(5)
    for _ in range(200):
        configs = [(rng.randrange(3), rng.randrange(3)) for _ in range(4)]
        seats = []
        for tag in range(12):
            empty = rng.random() < 0.5
            holds = () if empty else rng.choice([(), (1, 0), (0, 1), (1, 1)])
            seats.append(TemplateAssignment(rng.randrange(2), rng.choice(configs), empty, holds, tag=tag))
        seats.sort(key=lambda s: (s.empty, s.tag))
        plan = [ServerDemand(rng.randrange(2), rng.choice(configs), rng.randrange(1, 6)) for _ in range(4)]
        plainly = [dataclasses.replace(s) for s in seats]
        assert cra(seats, plan) == one_by_one(plainly, plan)
        assert [(s.config, s.rank) for s in seats] == [(s.config, s.rank) for s in plainly]


def test_the_log_tells_what_each_stage_of_a_gang_s_start_took(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    world, node, term, workers = led(2, monkeypatch)
    caplog.set_level(logging.INFO)
    gang = world.accept(node, shape="ensemble", shards=2, cpus=16.0)
    world.settle(term, 2)
    for w in workers:
        for status in w.tasks.values():
            status.state = TaskPhase.FETCHING
    world.settle(term, 2)
    for w in workers:
        for status in w.tasks.values():
            status.state = TaskPhase.RUNNING
    world.settle(term, 3)
    events = [r.getMessage() for r in caplog.records if "gang_started" in r.getMessage()]
    assert len(events) == 1 and events[0].startswith(f"gang_started job_id={gang} tasks=2 placement_s=1 ")
    assert events[0].endswith(" image_s=1")


def test_a_slow_machine_is_told_from_a_job_that_is_slow_everywhere(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Its tasks take twice as long as their job's others elsewhere, job after job; a slow job says nothing of it."""
    world, node, term, workers = led(6, monkeypatch, SETTINGS.replace("cpus_max = 64.0", "cpus_max = 640.0"))
    slow = machine(term, workers[5])
    for round_ in range(6):
        ident = world.accept(node, shards=24, cpus=4.0)
        world.settle(term, 3)
        begun = {w.name: [t for t in w.running() if t.startswith(ident)] for w in workers}
        # the second job takes ten times as long on every machine
        base = 100.0 if round_ == 1 else 10.0
        for factor, some in ((1.0, workers[:5]), (2.0, workers[5:])):
            world.settle(term, int(base * factor) - (int(base) if factor > 1 else 0))
            for w in some:
                for task in begun[w.name]:
                    if task in w.tasks and w.tasks[task].why is None:
                        w.finish(task, ExitReason.DONE)
        world.settle(term, 4)
    assert slow.slowness > 1.5 and all(machine(term, w).slowness < 1.3 for w in workers[:5])
    assert slow.drain == "slow"
    assert sum("as long as others" in r.getMessage() for r in caplog.records) == 1
    # work of no machine's past goes to the others, and the empty machine goes back to the cloud
    term.deprovisioning.return_idle()
    assert world.cloud.deleted == [workers[5].name]


def test_jobs_alike_take_the_machines_to_clear_from_one_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each of 80 jobs that may displace lower work once looked at every machine for it in every pass."""
    world, node, term, workers = led(4, monkeypatch)
    world.accept(node, shards=64, cpus=1.0, ramGb=0.1, rank="best_effort")
    world.settle(term, 5)
    assert sum(len(w.running()) for w in workers) == 64
    high = [world.accept(node, cpus=2.0, crew="red", rank="high") for _ in range(6)]
    world.clock.now += 30.0  # patient for a while, and no longer
    for job in (term.registry.jobs[i] for i in high):
        job.wait_since -= 60.0
    looked: list[str] = []
    eviction = term.scheduler.clearing.eviction

    def counted(job: Job, m: Machine, tasks: int, now: float) -> tuple[list[Allocation], float] | None:
        looked.append(job.spec.id)
        return eviction(job, m, tasks, now)

    monkeypatch.setattr(term.scheduler.clearing, "eviction", counted)
    term.scheduler.place(world.clock.now)
    reserved = {m.reserved_for for m in term.inventory.machines} - {None}
    assert len(reserved) == 4 and reserved <= set(high)  # a machine each, and no machine for two of them
    assert len(looked) <= 8  # one look at each of the four machines, and one more when it is used


def test_a_gang_stops_looking_once_there_is_enough_to_choose_from(monkeypatch: pytest.MonkeyPatch) -> None:
    """In an empty fleet of thousands every gang looked at every machine, though the first ones would do."""
    world, node, term, _workers = led(12, monkeypatch, SETTINGS.replace("cpus_max = 64.0", "cpus_max = 640.0"))
    monkeypatch.setattr(gang_scheduling, "ENOUGH", 2)
    looked: set[int] = set()
    offers = term.scheduler.gangs.offers

    def counted(
        job: Job, m: Machine, rooms: dict[int, tuple[int, list[GangPlacement]]], now: float
    ) -> list[GangCandidates]:
        looked.add(m.index)
        return offers(job, m, rooms, now)

    monkeypatch.setattr(term.scheduler.gangs, "offers", counted)
    world.accept(node, shape="ensemble", shards=1, cpus=15.0)
    term.scheduler.place(world.clock.now)
    assert len(looked) == 4  # four times as many as its tasks
    world.accept(node, shape="ensemble", shards=9, cpus=15.0)
    term.scheduler.place(world.clock.now)
    assert all(job.allocations for job in term.registry.jobs.values()) and len(looked) == 12


def test_what_is_remembered_from_one_pass_to_the_next_is_what_a_fresh_look_finds() -> None:
    """Passes keep what machines let in and what they hold by price, by the count of a machine's edits. An edit that
    was not counted would start tasks where a template has no slot, or stop the wrong ones."""
    rng = random.Random(5)
    world = InMemoryCluster(rules="rent = false\ntype_bound = 6\n")
    node = InMemoryController(world, "node-0")
    term = node.lead()
    for i in range(12):
        world.worker(f"n-{i:06d}", zone="ab"[i % 2])
    world.settle(term, 3)
    looked = 0
    for _ in range(120):
        shape = rng.choice(["array", "array", "ensemble"])
        world.accept(
            node, shape=shape, crew=rng.choice(["red", "blue"]), rank=rng.choice(["high", "standard", "best_effort"]),
            pullGb=0.5, shards=rng.randint(1, 12 if shape == "array" else 2), cpus=rng.choice([1.0, 2.0, 7.0]),
        )  # fmt: skip
        for w in world.workers.values():
            w.reachable = rng.random() < 0.95
            for task in w.running():
                if rng.random() < 0.1:
                    w.finish(task, ExitReason.ERROR if rng.random() < 0.02 else ExitReason.DONE)
        world.settle(term, 2)
        now = world.clock.now
        term.scheduler.retarget(now) if rng.random() < 0.2 else term.scheduler.place(now)
        placement, clearing = term.scheduler.placing, term.scheduler.clearing
        for (kind, aged), known in placement._known.items():
            rank = term.registry.types[kind].rank
            for index, (change_count, allowance) in known.items():
                m = term.inventory.at(index)
                if m is not None and m.change_count == change_count:
                    looked += 1
                    assert placement._allowance(kind, rank, aged, m, placement.blocked) == allowance
        for index, (change_count, ranked) in clearing._ranked.items():
            m = term.inventory.at(index)
            if m is not None and m.change_count == change_count:
                looked += 1
                assert {p.name for _, p in ranked} == {n for n, p in m.allocations.items() if p.stop is None}
                assert [loss for loss, _ in ranked] == sorted(loss for loss, _ in ranked)
    assert looked > 500
