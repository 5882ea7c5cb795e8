"""The faults in force in a simulated cluster that concern messages, writes, users and the cloud.

Tests set and reset these faults. Crashes and pauses of controllers are in `simulated_controllers.py`, partitions in
`network_links.py`, faults of one machine in `simulated_worker.py`, outages of the state service in
`emulators/kv_store.py`.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(eq=False)
class FaultInjection:
    """The faults in force; none by default. Rates are probabilities between 0 and 1.

    Attributes:
        duplicate_heartbeat_rate: The rate of heartbeats of which a duplicate is delivered late.
        retained_heartbeat_rate: The rate of heartbeats of which a copy is retained, to be delivered to all controllers
            when the next leader begins its term.
        retained_heartbeats: The retained copies.
        late_write_rate: The rate of writes to the state service that are executed late and never answered.
        lost_response_rate: The rate of writes that are executed at once and never answered.
        max_response_delay_s: The longest delay of the state service's other responses, in seconds.
        late_command_rate: The rate of direct commands that, or whose responses, are delayed.
        poll_rate_factor: How many times as often as usual users poll.
        burst_requests: Whether users send requests to all controllers within milliseconds of every acceptance,
            cancellation and end of a job.
        cancelled_job_rate: The rate of continuously submitted jobs that users cancel.
        cancel_at_end_rate: The rate of jobs that users cancel at the moment at which the last task ends.
        boot_s: The shortest and longest time until a rented machine is up, in seconds.
        listing_delay_s: The time until the cloud lists a rented machine, in seconds.
        boot_failure_rate: The rate of rented machines that never come up.
    """

    duplicate_heartbeat_rate: float = 0.0
    retained_heartbeat_rate: float = 0.0
    retained_heartbeats: list[bytes] = field(default_factory=list)
    late_write_rate: float = 0.0
    lost_response_rate: float = 0.0
    max_response_delay_s: float = 0.0
    late_command_rate: float = 0.0
    poll_rate_factor: float = 1.0
    burst_requests: bool = False
    cancelled_job_rate: float = 0.0
    cancel_at_end_rate: float = 0.0
    boot_s: tuple[float, float] = (0.2, 2.0)
    listing_delay_s: float = 8.0
    boot_failure_rate: float = 0.0
