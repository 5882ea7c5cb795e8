"""The workers' interface: heartbeats.

A heartbeat is answered by the term of this controller, or by the leader if it is forwarded. Otherwise the worker is
redirected (status 421, with the name of a controller if one is known) or told to come back (503).
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..heartbeat_relay.forwarder import RESPONSE_TIMEOUT_S, HeartbeatForwarder
from ..heartbeat_relay.worker_assignment import WorkerAssignment
from ..leader.election import LeaderElection
from ..leader.term import Term
from ..state_machines import AssignmentMode, LeaderState
from ..wire.jobs import MalformedError
from ..wire.workers import Heartbeat, Redirect
from .response import Response

_json = msgspec.json.Encoder()
_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)

#: a heartbeat waits this long while the leader hangs or this controller loads its records; workers wait four seconds
#: for an answer
LEADERSHIP_WAIT_S = 1.8
#: `Retry-After` of heartbeats that no controller can answer now, in seconds
RETRY_AFTER_S = 1


def _no_peer_hangs(name: str) -> bool:
    return False


def _do_not_wait(timeout_s: float) -> None:
    return


class HeartbeatApi:
    """Answers, forwards or redirects heartbeats.

    Every heartbeat of every worker passes here, so requests are decoded and answers encoded once, and steps that do not
    apply return at once.
    """

    def __init__(
        self,
        name: str,
        election: LeaderElection,
        term: Callable[[], Term | None],
        assignment: WorkerAssignment | None = None,
        forwarder: HeartbeatForwarder | None = None,
        hangs: Callable[[str], bool] = _no_peer_hangs,
        wait: Callable[[float], object] = _do_not_wait,
    ) -> None:
        """Create the interface. Without `assignment` and `forwarder` only the leader answers, whatever the policy says.

        Args:
            term: Returns the term of this controller, if it has one.
            hangs: Whether a peer neither answers nor refuses requests.
            wait: Waits for a change of leadership for at most so many seconds.
        """
        self.name = name
        self.election = election
        self.term = term
        self.assignment = assignment
        self.forwarder = forwarder
        self.hangs = hangs
        self.wait = wait

    def handle_heartbeat(self, body: bytes, connection: object = None, surplus: bool = False) -> Response:
        """Answer a heartbeat. A worker on a `surplus` connection, beyond those that are kept, is redirected."""
        try:
            heartbeat = _heartbeat_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return Response(400, _json.encode({"error": str(error)}))
        redirect = self._assign(heartbeat, connection, surplus)
        if redirect is not None:
            return redirect
        response = self._answer(heartbeat) or self._answer_once_loaded(heartbeat)
        if response is not None:
            return response
        if self.forwarder is not None and self._is_forwarded(heartbeat, self.forwarder):
            return self._forward(self.forwarder, body, heartbeat)
        return self._redirect_to_leader(heartbeat)

    # which controller serves the worker -------------------------------------------------------------------

    def _assign(self, heartbeat: Heartbeat, connection: object, surplus: bool) -> Response | None:
        """Record a worker that this controller serves; return a redirect for one that it is not to serve."""
        assignment, forwarder = self.assignment, self.forwarder
        if assignment is None or forwarder is None:
            return None
        leads = self.election.is_leader()
        if assignment.state is AssignmentMode.LEADER_ONLY:
            full = surplus or (
                leads and heartbeat.machine not in assignment.kept_workers and not assignment.free_connections
            )
            if leads and not full:
                assignment.record_heartbeat(heartbeat.machine, connection)
            return Response(421, _json.encode(Redirect()), close=True) if full else None
        if not (leads or forwarder.accepts_heartbeats()):
            if self.term() is not None or not assignment.accepting_peers():
                return None  # this controller is about to lead, or no other is known: its workers wait here
            # at most as many as the leader has said that it can serve are redirected there at once
            surplus = True
        controller = assignment.choose_controller(heartbeat.machine, heartbeat.zone, leads, surplus)
        if controller != self.name:
            return Response(421, _json.encode(Redirect(controller)), close=True)
        assignment.record_heartbeat(heartbeat.machine, connection)
        return None

    def _redirect_to_leader(self, heartbeat: Heartbeat) -> Response:
        """Redirect to the leader if it is known and answers; wait for another one for a moment if it hangs."""
        leader = self.election.known_leader()
        if leader is not None and leader != self.name and self.hangs(leader):
            # sent there, or on to the next, the worker would wait four seconds at each controller that hangs and come
            # back after its lease has expired; this controller may lead in a moment
            self.wait(LEADERSHIP_WAIT_S)
            response = self._answer(heartbeat) or self._answer_once_loaded(heartbeat)
            if response is not None:
                return response
            leader = self.election.known_leader()
            if leader is not None and self.hangs(leader):
                return Response(421, _json.encode(Redirect()))
        if leader is not None and leader != self.name:
            named = self.assignment is None or self.assignment.may_redirect_to_leader(leader)
            return Response(421, _json.encode(Redirect(leader if named else None)))
        return Response(503, b"{}", retry_after=RETRY_AFTER_S)

    # forwarding -------------------------------------------------------------------------------------------

    def _is_forwarded(self, heartbeat: Heartbeat, forwarder: HeartbeatForwarder) -> bool:
        """Return whether the worker is served here for a leader that answers, or that is still to come."""
        assignment = self.assignment
        if assignment is None or assignment.state is AssignmentMode.LEADER_ONLY:
            return False
        if heartbeat.machine not in assignment.kept_workers:
            return False
        return forwarder.accepts_heartbeats() or not assignment.accepting_peers()

    def _forward(self, forwarder: HeartbeatForwarder, body: bytes, heartbeat: Heartbeat) -> Response:
        """Return the leader's answer. While the leader changes the heartbeat waits for the next, maybe this one."""
        received_at = forwarder.clock()
        answer_until = received_at + RESPONSE_TIMEOUT_S
        while True:
            if forwarder.accepts_heartbeats():
                status, answer = forwarder.forward(body, received_at)
                if status in (200, 400):
                    return Response(status, answer)
                if status == 503:
                    break
            left_s = answer_until - forwarder.clock()
            if left_s <= 0:
                break
            self.wait(min(LEADERSHIP_WAIT_S, left_s))
            response = self._answer(heartbeat)
            if response is not None:
                return response
        return Response(503, b"{}", retry_after=RETRY_AFTER_S)

    # answering --------------------------------------------------------------------------------------------

    def _answer_once_loaded(self, heartbeat: Heartbeat) -> Response | None:
        """Wait while this controller loads its records, after which it can answer."""
        if self.election.state is not LeaderState.LOADING:
            return None
        self.wait(LEADERSHIP_WAIT_S)
        return self._answer(heartbeat)

    def _answer(self, heartbeat: Heartbeat) -> Response | None:
        """Return the answer of this controller's own term, if it may give one."""
        self.election.check_clock()
        term = self.term()
        if term is None:
            return None
        try:
            commands = term.handle_heartbeat(heartbeat)
        except MalformedError as error:
            return Response(400, _json.encode({"error": str(error)}))
        if commands is None:
            return None
        body = _json.encode(commands)
        # the lease may have expired meanwhile; start commands in a body that is not sent are repeated, as if lost
        if self.election.is_leader():
            return Response(200, body)
        self.election.check_clock()
        return None
