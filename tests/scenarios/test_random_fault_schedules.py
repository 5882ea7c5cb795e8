"""Random schedules of faults over several real controllers, and faults built in on purpose that such schedules find.

`SCHEDULES=250 SCHEDULE_SEED=3 pytest -k any_schedule` runs more schedules than CI does, from another seed.
"""

from __future__ import annotations

import os
from collections.abc import Callable

import gevent
import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import HealthCheck, Phase, given, seed, settings

from grebestand.api.job_api import JobApi
from grebestand.api.job_lookup import JobLookup
from grebestand.api.response import Response
from grebestand.cluster_state.machine_inventory import MachineInventory
from grebestand.leader.election import LeaderElection
from grebestand.simulation.cluster import FIXED_MACHINES_POLICY, STATE, LinkMode, SimulatedCluster
from grebestand.simulation.virtual_time import simulated_time
from support.cluster_actions import SPREAD_HEARTBEATS_POLICY, accept_every_heartbeat, end_faults, start_if_stopped

Schedule = list[tuple[float, tuple[object, ...]]]

CONTROLLERS = ("node-0", "node-1", "node-2")
LINK_ENDS = (STATE, "a", "b", *CONTROLLERS)
LINK_MODES = (
    LinkMode.OPEN,
    LinkMode.REFUSED,
    LinkMode.HELD,
    LinkMode.REQUESTS_LOST,
    LinkMode.RESPONSES_LOST,
    LinkMode.SLOW,
)

link_modes = st.tuples(
    st.just("cut"), st.sampled_from(CONTROLLERS), st.sampled_from(LINK_ENDS), st.sampled_from(LINK_MODES)
)
crashes = st.tuples(st.just("crash"), st.sampled_from(CONTROLLERS), st.floats(1.0, 12.0))
outages = st.tuples(st.just("outage"), st.floats(2.0, 25.0))
hangs = st.tuples(st.just("hang"), st.integers(0, 11), st.floats(2.0, 40.0))
link_repairs = st.tuples(st.just("heal"))
#: controllers, one or several at the same time, that restart within a fraction of a second
quick_restarts = st.tuples(st.just("blink"), st.sets(st.sampled_from(CONTROLLERS), min_size=1), st.floats(0.05, 0.5))
#: machines that restart, with or without their stored session
machine_restarts = st.tuples(st.just("restart"), st.integers(0, 11), st.booleans())
#: a range of machines whose heartbeats reach some controllers, while responses and commands do not come back
missed_responses = st.tuples(
    st.just("deaf"), st.integers(0, 11), st.integers(1, 12), st.sets(st.sampled_from(CONTROLLERS), min_size=1),
    st.floats(5.0, 45.0),
)  # fmt: skip
#: duplicates of heartbeats that are delivered late
duplicate_heartbeats = st.tuples(st.just("copies"), st.floats(0.02, 0.4), st.floats(5.0, 40.0))
pauses = st.tuples(st.just("freeze"), st.sampled_from(CONTROLLERS), st.floats(0.5, 40.0))
#: controllers isolated from the key-value store and the other controllers, but not from workers
isolations = st.tuples(
    st.just("alone"), st.sampled_from(CONTROLLERS), st.sampled_from((LinkMode.REFUSED, LinkMode.HELD))
)
#: jobs whose tasks always fail
failing_jobs = st.tuples(st.just("mistake"), st.integers(1, 12))
#: users that poll many times as often
frequent_polls = st.tuples(st.just("storm"), st.floats(4.0, 20.0), st.floats(3.0, 15.0))
#: writes to the store that get no response and are applied after newer writes
late_writes = st.tuples(st.just("late writes"), st.floats(0.05, 0.6), st.floats(5.0, 40.0))
#: slow responses of the store
slow_responses = st.tuples(st.just("slow"), st.floats(0.2, 3.0), st.floats(5.0, 40.0))
#: direct commands that are delayed, or whose responses are delayed
late_commands = st.tuples(st.just("late orders"), st.floats(0.2, 1.0), st.floats(5.0, 40.0))
#: the store refuses the leader and is then unavailable to all, for a shorter or a longer time than `cancel_s`
refusals_before_outages = st.tuples(
    st.just("gap"), st.floats(0.2, 15.0), st.floats(10.0, 80.0), st.sampled_from((LinkMode.REFUSED, LinkMode.HELD))
)
#: writes to the store that are applied at once, but whose responses are lost
lost_responses = st.tuples(st.just("lost answers"), st.floats(0.05, 0.6), st.floats(5.0, 40.0))
#: heartbeats that are retained until the next leader begins
retained_heartbeats = st.tuples(st.just("kept"), st.floats(3.0, 12.0), st.floats(1.0, 20.0))
#: users that send requests to all controllers at the same time
burst_requests = st.tuples(st.just("looks"), st.floats(10.0, 60.0))
#: jobs that are cancelled as their last task ends
cancellations_at_end = st.tuples(st.just("at end"), st.floats(0.2, 1.0), st.floats(10.0, 60.0))
#: jobs that are cancelled at the same time, while their machines may hang
cancellations = st.tuples(st.just("cancels"), st.integers(1, 10), st.sampled_from((0.0, 8.0, 25.0, 55.0)))
#: machines that cannot connect to any controller
failed_connections = st.tuples(st.just("mute"), st.integers(0, 11), st.integers(1, 12), st.floats(5.0, 45.0))
invalid_requests = st.tuples(st.just("odd"), st.floats(5.0, 30.0))
#: machines that are reclaimed without notice
reclaimed_machines = st.tuples(st.just("taken"), st.integers(0, 11))
#: a zone with one controller that is isolated from everything else
isolated_zones = st.tuples(st.just("zone"), st.sampled_from(CONTROLLERS), st.sampled_from("ab"), st.floats(5.0, 45.0))
faults = (
    lost_responses
    | retained_heartbeats
    | burst_requests
    | cancellations_at_end
    | cancellations
    | failed_connections
    | invalid_requests
    | reclaimed_machines
    | isolated_zones
    | failing_jobs
    | frequent_polls
    | link_modes
    | crashes
    | outages
    | hangs
    | link_repairs
    | quick_restarts
    | machine_restarts
    | missed_responses
    | duplicate_heartbeats
    | pauses
    | isolations
    | late_writes
    | slow_responses
    | late_commands
    | refusals_before_outages
)
schedules = st.lists(st.tuples(st.floats(0.5, 12.0), faults), min_size=3, max_size=9)
#: the schedules depend only on SCHEDULES and SCHEDULE_SEED, and each run of one may take any time
SEARCH = settings(
    derandomize="SCHEDULE_SEED" not in os.environ,
    max_examples=int(os.environ.get("SCHEDULES", "8")),
    deadline=None,
    database=None,
    phases=[Phase.generate],  # shrinking a failing schedule would take hundreds of runs
    suppress_health_check=list(HealthCheck),
)


def apply_fault(cluster: SimulatedCluster, fault: tuple[object, ...]) -> None:  # noqa: C901 - one case per kind of fault
    """Begin one fault of a schedule, and schedule the end of the fault."""
    match fault:
        case ("cut", str(near), str(far), LinkMode() as mode) if near != far:
            cluster.links.set_mode(near, far, mode)
        case ("crash", str(name), float(seconds)):
            cluster.crash(name)
            gevent.spawn_later(seconds, start_if_stopped, cluster, name)
        case ("outage", float(seconds)):
            cluster.store.unavailable = True
            gevent.spawn_later(seconds, setattr, cluster.store, "unavailable", False)
        case ("hang", int(index), float(seconds)):
            machine = cluster.machines[f"n-{index:06d}"]
            machine.is_hung = True
            gevent.spawn_later(seconds, setattr, machine, "is_hung", False)
        case ("heal",):
            cluster.links.open_all()
        case ("blink", set() as names, float(seconds)):
            for name in sorted(names):
                cluster.crash(name)
                gevent.spawn_later(seconds, start_if_stopped, cluster, name)
        case ("restart", int(index), bool(reset_session)):
            cluster.machines[f"n-{index:06d}"].restart(reset_session)
        case ("deaf", int(first), int(count), set() as names, float(seconds)):
            for index in range(first, min(12, first + count)):
                machine = cluster.machines[f"n-{index:06d}"]
                machine.unheard_controllers = frozenset(names)
                gevent.spawn_later(seconds, setattr, machine, "unheard_controllers", frozenset())
        case ("copies", float(rate), float(seconds)):
            cluster.duplicate_heartbeat_rate = rate
            gevent.spawn_later(seconds, setattr, cluster, "duplicate_heartbeat_rate", 0.0)
        case ("freeze", str(name), float(seconds)):
            cluster.pause(name, seconds)
        case ("mistake", int(tasks)):
            cluster.submit("blue", tasks, 1.0, always_fails=True)
        case ("storm", float(factor), float(seconds)):
            cluster.poll_rate_factor = factor
            gevent.spawn_later(seconds, setattr, cluster, "poll_rate_factor", 1.0)
        case ("late writes", float(rate), float(seconds)):
            cluster.late_write_rate = rate
            gevent.spawn_later(seconds, setattr, cluster, "late_write_rate", 0.0)
        case ("slow", float(max_delay_s), float(seconds)):
            cluster.max_response_delay_s = max_delay_s
            gevent.spawn_later(seconds, setattr, cluster, "max_response_delay_s", 0.0)
        case ("late orders", float(rate), float(seconds)):
            cluster.late_command_rate = rate
            gevent.spawn_later(seconds, setattr, cluster, "late_command_rate", 0.0)
        case ("gap", float(delay_s), float(outage_s), LinkMode() as mode):
            for name in cluster.current_leaders():
                cluster.links.set_mode(name, STATE, mode)
                gevent.spawn_later(delay_s + 10.0, cluster.links.set_mode, name, STATE, LinkMode.OPEN)
            gevent.spawn_later(delay_s, setattr, cluster.store, "unavailable", True)
            gevent.spawn_later(delay_s + outage_s, setattr, cluster.store, "unavailable", False)
        case ("lost answers", float(rate), float(seconds)):
            cluster.lost_response_rate = rate
            gevent.spawn_later(seconds, setattr, cluster, "lost_response_rate", 0.0)
        case ("kept", float(seconds), float(pause)):
            cluster.retained_heartbeat_rate = 0.6
            gevent.spawn_later(seconds, setattr, cluster, "retained_heartbeat_rate", 0.0)
            for name in cluster.current_leaders():
                gevent.spawn_later(seconds + pause, apply_fault, cluster, ("crash", name, 1.0))
        case ("looks", float(seconds)):
            cluster.burst_requests = True
            gevent.spawn_later(seconds, setattr, cluster, "burst_requests", False)
        case ("at end", float(rate), float(seconds)):
            cluster.cancel_at_end_rate = rate
            gevent.spawn_later(seconds, setattr, cluster, "cancel_at_end_rate", 0.0)
        case ("cancels", int(count), float(seconds)):
            cluster.cancel_running_jobs(count, seconds)
        case ("mute", int(first), int(count), float(seconds)):
            for index in range(first, min(12, first + count)):
                machine = cluster.machines[f"n-{index:06d}"]
                machine.cannot_connect = True
                gevent.spawn_later(seconds, setattr, machine, "cannot_connect", False)
        case ("odd", float(seconds)):
            cluster.send_invalid_requests(cluster.loop.time + seconds)
        case ("taken", int(index)):
            name = f"n-{index:06d}"
            if sum(not machine.terminated for machine in cluster.machines.values()) > 6:
                cluster.cloud.request("POST", "/machines/delete", msgspec.json.encode({"vessels": [name]}), 1.0)
        case ("zone", str(inside), str(zone), float(seconds)):
            outside = [name for name in CONTROLLERS if name != inside]
            pairs = [(inside, far) for far in (STATE, "b" if zone == "a" else "a", *outside)]
            for near, far in pairs + [(name, zone) for name in outside]:
                cluster.links.set_mode(near, far, LinkMode.HELD)
                gevent.spawn_later(seconds, cluster.links.set_mode, near, far, LinkMode.OPEN)
        case ("alone", str(name), LinkMode() as mode):
            for other_end in (STATE, *(other for other in CONTROLLERS if other != name)):
                cluster.links.set_mode(name, other_end, mode)


def run_schedule(
    schedule: Schedule, seed: int, max_task_s: float = 12.0, rules: str = FIXED_MACHINES_POLICY
) -> tuple[list[str], list[str]]:
    """Run a schedule of faults; return violated invariants, and what was not settled long after the faults ended."""
    with simulated_time() as loop:
        cluster = SimulatedCluster(loop, seed=seed, machines=12, rules=rules)
        cluster.task_duration_s = (3.0, max_task_s)
        cluster.cancelled_job_rate = 0.3
        cluster.submit_continuously(4.0, 30.0 + sum(pause for pause, _ in schedule))
        gevent.sleep(8)
        for pause, fault in schedule:
            gevent.sleep(pause)
            apply_fault(cluster, fault)
        gevent.sleep(15)
        end_faults(cluster)
        # jobs of a team at its limit complete late, but all of them complete
        problems = cluster.wait_until_settled(400.0)
        violations = cluster.violations()
        return violations, problems[len(violations) :]


@seed(int(os.environ.get("SCHEDULE_SEED", "0")))
@SEARCH
@given(schedules, st.integers(0, 10_000))
def test_no_invariant_is_violated_under_any_schedule(schedule: Schedule, seed: int) -> None:
    assert run_schedule(schedule, seed) == ([], [])


@seed(int(os.environ.get("SCHEDULE_SEED", "1")))
@SEARCH
@given(schedules, st.integers(0, 10_000))
def test_no_invariant_is_violated_under_any_schedule_while_every_controller_handles_heartbeats(
    schedule: Schedule, seed: int
) -> None:
    assert run_schedule(schedule, seed, rules=SPREAD_HEARTBEATS_POLICY) == ([], [])


def lengthen_authority(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a leader's authority last 8 s longer than counted from when the renewal of the lease was sent."""
    extend = LeaderElection._extend_authority
    monkeypatch.setattr(LeaderElection, "_extend_authority", lambda self, sent: extend(self, sent + 8.0))


def expire_leases_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Count an unreachable machine as empty 8 s before its worker's lease has certainly expired."""
    lease_expired = MachineInventory.has_lease_expired
    monkeypatch.setattr(
        MachineInventory, "has_lease_expired", lambda self, machine, now: lease_expired(self, machine, now + 8.0)
    )


@pytest.mark.parametrize("inject_fault", [lengthen_authority, expire_leases_early])
def test_fault_built_in_on_purpose_is_found(
    monkeypatch: pytest.MonkeyPatch, inject_fault: Callable[[pytest.MonkeyPatch], None]
) -> None:
    inject_fault(monkeypatch)
    violations: list[str] = []
    for cluster_seed in range(6):
        # each controller in turn is isolated with the workers of a zone that the others cannot reach
        schedule: Schedule = []
        for name in CONTROLLERS:
            others = [other for other in CONTROLLERS if other != name]
            schedule += [(0.0, ("cut", name, other_end, LinkMode.HELD)) for other_end in (STATE, *others)]
            schedule += [(0.0, ("cut", other, "a", LinkMode.HELD)) for other in others]
            schedule += [(26.0, ("heal",))]
        schedule += [(0.0, ("cut", name, "b", LinkMode.HELD)) for name in CONTROLLERS]
        violations += run_schedule(schedule, cluster_seed, max_task_s=40.0)[0]
    assert violations


def test_trust_in_late_duplicates_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: every late duplicate of a heartbeat is handled as the newest heartbeat."""
    schedule: Schedule = [(0.0, ("copies", 0.4, 60.0))]
    for name in CONTROLLERS:
        schedule += [
            (8.0, ("crash", name, 1.0)),
            (8.0, ("restart", 1, False)),
            (2.0, ("cut", name, "a", LinkMode.HELD)),
        ]
        schedule += [(9.0, ("heal",))]
    assert run_schedule(schedule, 1) == ([], [])
    accept_every_heartbeat(monkeypatch)
    assert any(run_schedule(schedule, cluster_seed) != ([], []) for cluster_seed in range(4))


def test_job_without_any_response_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault built in on purpose: requests about one job always get status 503."""
    unanswered = "j-000003"
    poll, view = JobApi.poll, JobApi._job_response

    def poll_unless_unanswered(self: JobApi, job_id: str) -> Response:
        return Response(503) if job_id == unanswered else poll(self, job_id)

    def view_unless_unanswered(status: int, job_id: str, known: JobLookup) -> Response:
        return Response(503) if (status, job_id) == (200, unanswered) else view(status, job_id, known)

    monkeypatch.setattr(JobApi, "poll", poll_unless_unanswered)
    monkeypatch.setattr(JobApi, "_job_response", staticmethod(view_unless_unanswered))
    _, unsettled = run_schedule([(4.0, ("heal",))], 1)
    assert any(text.startswith(f"{unanswered} unanswered") for text in unsettled)


def test_late_duplicate_from_an_earlier_epoch_is_ignored() -> None:
    """A late duplicate of a heartbeat from before a restart must not end tasks that were started after the restart.

    A machine's session and sequence numbers started again from zero, so the duplicate looked newer. The duplicate did
    not list the running tasks, which were then started on another machine as well.
    """
    schedule: Schedule = [
        (7.692656727842217, ("copies", 0.16526507977186297, 28.10746115919463)),
        (12.0, ("freeze", "node-1", 38.203428573381004)),
        (5.253176493502842, ("restart", 9, False)),
        (11.981304378015013, ("restart", 8, True)),
        (11.981304378015013, ("restart", 8, True)),
        (9.985583614723279, ("restart", 0, True)),
        (0.7197903570281452, ("heal",)),
        (1.3210451293192578, ("hang", 4, 18.05333604901736)),
        (2.00001, ("alone", "node-0", LinkMode.REFUSED)),
    ]
    assert run_schedule(schedule, 861) == ([], [])
