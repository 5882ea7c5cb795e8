"""The workers' interface: reports."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..heartbeat_relay.forwarder import ANSWER_S, HeartbeatForwarder
from ..heartbeat_relay.worker_assignment import WorkerAssignment
from ..leader.election import LeaderElection
from ..leader.term import Term
from ..state_machines import AssignmentMode, LeaderState
from ..wire.jobs import MalformedError
from ..wire.workers import Heartbeat, Redirect
from .response import Response

_json = msgspec.json.Encoder()
_report_decoder = msgspec.json.Decoder(Heartbeat)


#: a report is kept so long, in seconds, while the leader hangs, or while this one reads the records; workers wait four
#: for an answer
KEPT_S = 1.8


class HeartbeatApi:
    def __init__(
        self,
        name: str,
        election: LeaderElection,
        term: Callable[[], Term | None],
        spread: WorkerAssignment | None = None,
        sender: HeartbeatForwarder | None = None,
        hangs: Callable[[str], bool] = lambda name: False,
        wait: Callable[[float], object] = lambda seconds: None,
    ) -> None:
        """Without `spread` and `sender` only the leader answers reports, whatever the policy says."""
        self.name = name
        self.election = election
        self.term = term
        self.spread = spread
        self.sender = sender
        #: whether another controller hangs, and waits for news of who leads for so many seconds at the most
        self.hangs = hangs
        self.wait = wait

    def handle_heartbeat(self, body: bytes, connection: object = None, surplus: bool = False) -> Response:
        """The answer to a report. A worker that came over a `surplus` connection is sent elsewhere."""
        try:
            report = _report_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as e:
            return Response(400, _json.encode({"error": str(e)}))
        elsewhere = self._elsewhere(report, connection, surplus)
        if elsewhere is not None:
            return elsewhere
        answer = self._ordered(report) or self._once_loaded(report)
        if answer is not None:
            return answer
        if self.sender is not None and self._waits_here(report, self.sender):
            return self._passed_on(self.sender, body, report)
        leader = self.election.known_leader()
        if leader is not None and leader != self.name and self.hangs(leader):
            # sent there, or on to the next, its worker would wait four seconds at each controller that stands still,
            # and come back after its lease; this one may lead in a moment
            self.wait(KEPT_S)
            answer = self._ordered(report) or self._once_loaded(report)
            if answer is not None:
                return answer
            leader = self.election.known_leader()
            if leader is not None and self.hangs(leader):
                return Response(421, _json.encode(Redirect()))
        if leader is not None and leader != self.name:
            named = self.spread is None or self.spread.may_send(leader)
            return Response(421, _json.encode(Redirect(leader if named else None)))
        return Response(503, b"{}", retry_after=1)

    def _elsewhere(self, report: Heartbeat, connection: object, surplus: bool) -> Response | None:
        """Where a worker is sent that this controller is not to keep; None if it is, or if that is not known here."""
        spread, sender, leads = self.spread, self.sender, self.election.is_leader()
        if spread is None or sender is None:
            return None
        if spread.state is AssignmentMode.LEADER_ONLY:
            full = surplus or (leads and report.machine not in spread.kept and not spread.room)
            if leads and not full:
                spread.keep(report.machine, connection)
            return Response(421, _json.encode(Redirect()), close=True) if full else None
        if not (leads or sender.open()):
            if self.term() is not None or not spread.others():
                return None  # this one is about to lead, or nobody is known to answer: what is kept here waits here
            # nor is the leader sent all at once: at most as many as it has said that it has room for
            surplus = True
        to = spread.where(report.machine, report.zone, leads, surplus)
        if to != self.name:
            return Response(421, _json.encode(Redirect(to)), close=True)
        spread.keep(report.machine, connection)
        return None

    def _waits_here(self, report: Heartbeat, sender: HeartbeatForwarder) -> bool:
        """Whether the report is for a leader that it can be passed on to, or that is not there yet."""
        spread = self.spread
        if spread is None or spread.state is AssignmentMode.LEADER_ONLY or report.machine not in spread.kept:
            return False
        return sender.open() or not spread.others()

    def _passed_on(self, sender: HeartbeatForwarder, body: bytes, report: Heartbeat) -> Response:
        """The leader's answer. While it changes the report is kept: the next one, or this controller, may answer it."""
        came_at = sender.clock()
        until = came_at + ANSWER_S
        while True:
            if sender.open():
                status, said = sender.pass_on(body, came_at)
                if status in (200, 400):
                    return Response(status, said)
                if status == 503:
                    break
            left = until - sender.clock()
            if left <= 0:
                break
            self.wait(min(KEPT_S, left))
            answer = self._ordered(report)
            if answer is not None:
                return answer
        return Response(503, b"{}", retry_after=1)

    def _once_loaded(self, report: Heartbeat) -> Response | None:
        """While this controller reads the records it can answer nobody, and will in a moment: the report is kept."""
        if self.election.state is not LeaderState.LOADING:
            return None
        self.wait(KEPT_S)
        return self._ordered(report)

    def _ordered(self, report: Heartbeat) -> Response | None:
        """The answer of this controller's own term, if it may give one."""
        self.election.check_clock()
        term = self.term()
        if term is None:
            return None
        try:
            orders = term.handle_heartbeat(report)
        except MalformedError as e:
            return Response(400, _json.encode({"error": str(e)}))
        if orders is not None:
            answer = _json.encode(orders)
            # starts that were written into an answer which does not leave are sent again, as if lost on the way
            if self.election.is_leader():
                return Response(200, answer)
            self.election.check_clock()
        return None
