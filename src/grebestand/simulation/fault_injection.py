"""What is amiss in a simulated cluster now: which part of messages and writes goes wrong, what users and the cloud do.

Tests set these, and end them. Crashes and freezes of controllers are in `simulated_controllers.py`, cuts in `links.py`,
what happens to one machine in `seats.py`; an outage is the state service's own (`store.py`).
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(eq=False)
class FaultInjection:
    """None at first."""

    #: which part of all reports is copied, to arrive late
    duplicate_heartbeat_rate: float = 0.0
    #: which part of the reports is kept, to come to all controllers just as the next leader begins; what was kept
    retained_heartbeat_rate: float = 0.0
    retained_heartbeats: list[bytes] = field(default_factory=list)
    #: which part of the writes to the state service is carried out late and not answered
    late_write_rate: float = 0.0
    #: which part of the writes is carried out at once, with nobody answered
    lost_response_rate: float = 0.0
    #: how late the other answers of the state service are at most, in seconds
    max_response_delay_s: float = 0.0
    #: which part of the direct commands, or of their answers, is held up
    late_command_rate: float = 0.0
    #: users ask so many times as often
    poll_rate_factor: float = 1.0
    #: users ask at all controllers within milliseconds of every acceptance, cancellation and end
    burst_requests: bool = False
    #: which part of a crowd's jobs is cancelled by its users
    cancelled_job_rate: float = 0.0
    #: which part of the jobs is cancelled at the moment of its end
    cancel_at_end_rate: float = 0.0
    #: how long machines take until they are up, and until they are listed, in seconds
    boot_s: tuple[float, float] = (0.2, 2.0)
    listing_delay_s: float = 8.0
    #: which part of them never comes up
    boot_failure_rate: float = 0.0
