"""The HTTP interface for workers, which receives heartbeats.

A heartbeat is answered by the term of this controller, or forwarded to the leader, which answers it. Otherwise the
worker is redirected (status 421, with the name of a controller if one is known) or asked to retry (status 503).
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

#: Longest wait of a heartbeat for a responsive leader or for this controller to load its records. Workers wait four
#: seconds for a response, so that two such waits fit.
LEADERSHIP_WAIT_S = 1.8
#: `Retry-After` of responses to heartbeats that no controller can answer now, in seconds.
RETRY_AFTER_S = 1


def _never_unresponsive(name: str) -> bool:
    return False


def _do_not_wait(timeout_s: float) -> None:
    return


class HeartbeatApi:
    """Answers, forwards or redirects heartbeats.

    This code runs for every heartbeat of every worker, so requests are decoded and responses encoded only once, and
    steps that do not apply return immediately.
    """

    def __init__(
        self,
        name: str,
        election: LeaderElection,
        term: Callable[[], Term | None],
        assignment: WorkerAssignment | None = None,
        forwarder: HeartbeatForwarder | None = None,
        is_peer_unresponsive: Callable[[str], bool] = _never_unresponsive,
        wait_for_leadership_change: Callable[[float], object] = _do_not_wait,
    ) -> None:
        """Create the interface.

        Args:
            name: Name of this controller.
            election: Leader election of this controller.
            term: Returns the term of this controller, or None while there is none.
            assignment: Assignment of workers to controllers. Without it only the leader answers, whatever the policy.
            forwarder: Forwards heartbeats to the leader. Without it only the leader answers, whatever the policy.
            is_peer_unresponsive: Returns whether the named peer neither answers nor refuses requests.
            wait_for_leadership_change: Waits for a change of leadership, at most the given number of seconds.
        """
        self.name = name
        self.election = election
        self.term = term
        self.assignment = assignment
        self.forwarder = forwarder
        self.is_peer_unresponsive = is_peer_unresponsive
        self.wait_for_leadership_change = wait_for_leadership_change

    def handle_heartbeat(self, body: bytes, connection: object = None, over_limit: bool = False) -> Response:
        """Answer a heartbeat.

        Args:
            body: Body of the request.
            connection: Connection of the worker.
            over_limit: Whether `connection` exceeds the number of connections that the server keeps, in which case the
                worker is redirected.

        Returns:
            The response.
        """
        try:
            heartbeat = _heartbeat_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return Response(400, _json.encode({"error": str(error)}))
        redirect = self._assign(heartbeat, connection, over_limit)
        if redirect is not None:
            return redirect
        response = self._answer(heartbeat) or self._answer_once_loaded(heartbeat)
        if response is not None:
            return response
        if self.forwarder is not None and self._is_forwarded(heartbeat, self.forwarder):
            return self._forward(self.forwarder, body, heartbeat)
        return self._redirect_to_leader(heartbeat)

    # which controller serves the worker -------------------------------------------------------------------

    def _assign(self, heartbeat: Heartbeat, connection: object, over_limit: bool) -> Response | None:
        """Record the worker if this controller should serve it; return a redirect otherwise."""
        assignment, forwarder = self.assignment, self.forwarder
        if assignment is None or forwarder is None:
            return None
        leads = self.election.is_leader()
        if assignment.state is AssignmentMode.LEADER_ONLY:
            is_full = over_limit or (
                leads and heartbeat.machine not in assignment.kept_workers and not assignment.free_connections
            )
            if leads and not is_full:
                assignment.record_heartbeat(heartbeat.machine, connection)
            return Response(421, _json.encode(Redirect()), close=True) if is_full else None
        cannot_keep = over_limit
        if not (leads or forwarder.accepts_heartbeats()):
            if self.term() is not None or not assignment.accepting_peers():
                # this controller is about to lead, or no other accepts workers: the worker waits for a response here
                return None
            # this controller cannot forward, so its workers are redirected, to the leader only as many at a time as the
            # leader's status says that it can serve
            cannot_keep = True
        controller = assignment.choose_controller(heartbeat.machine, heartbeat.zone, leads, cannot_keep)
        if controller != self.name:
            return Response(421, _json.encode(Redirect(controller)), close=True)
        assignment.record_heartbeat(heartbeat.machine, connection)
        return None

    def _redirect_to_leader(self, heartbeat: Heartbeat) -> Response:
        """Redirect the worker to the leader, after waiting for a change of leadership if the leader is unresponsive."""
        leader = self.election.known_leader()
        if leader is not None and leader != self.name and self.is_peer_unresponsive(leader):
            # a redirected worker would wait four seconds for each unresponsive controller and return only after its
            # lease has expired, while this controller may become the leader shortly
            self.wait_for_leadership_change(LEADERSHIP_WAIT_S)
            response = self._answer(heartbeat) or self._answer_once_loaded(heartbeat)
            if response is not None:
                return response
            leader = self.election.known_leader()
            if leader is not None and self.is_peer_unresponsive(leader):
                return Response(421, _json.encode(Redirect()))
        if leader is not None and leader != self.name:
            named = self.assignment is None or self.assignment.may_redirect_to_leader(leader)
            return Response(421, _json.encode(Redirect(leader if named else None)))
        return Response(503, b"{}", retry_after=RETRY_AFTER_S)

    # forwarding -------------------------------------------------------------------------------------------

    def _is_forwarded(self, heartbeat: Heartbeat, forwarder: HeartbeatForwarder) -> bool:
        """Return whether this controller serves the worker for a leader that is reachable or still to be elected."""
        assignment = self.assignment
        if assignment is None or assignment.state is AssignmentMode.LEADER_ONLY:
            return False
        if heartbeat.machine not in assignment.kept_workers:
            return False
        return forwarder.accepts_heartbeats() or not assignment.accepting_peers()

    def _forward(self, forwarder: HeartbeatForwarder, body: bytes, heartbeat: Heartbeat) -> Response:
        """Return the leader's response; during a change of leader, wait for the next one, possibly this controller."""
        received_at = forwarder.clock()
        respond_until = received_at + RESPONSE_TIMEOUT_S
        while True:
            if forwarder.accepts_heartbeats():
                status, response_body = forwarder.forward(body, received_at)
                if status in (200, 400):
                    return Response(status, response_body)
                if status == 503:
                    break
            left_s = respond_until - forwarder.clock()
            if left_s <= 0:
                break
            self.wait_for_leadership_change(min(LEADERSHIP_WAIT_S, left_s))
            response = self._answer(heartbeat)
            if response is not None:
                return response
        return Response(503, b"{}", retry_after=RETRY_AFTER_S)

    # answering --------------------------------------------------------------------------------------------

    def _answer_once_loaded(self, heartbeat: Heartbeat) -> Response | None:
        """Answer a heartbeat after waiting for this controller to load its records; None if it is not loading them."""
        if self.election.state is not LeaderState.LOADING:
            return None
        self.wait_for_leadership_change(LEADERSHIP_WAIT_S)
        return self._answer(heartbeat)

    def _answer(self, heartbeat: Heartbeat) -> Response | None:
        """Return the response of this controller's own term, or None if this controller may not answer."""
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
        # the leader lease may have expired meanwhile; start commands in a response that is not sent are handled like
        # those in a lost response, and are sent again
        if self.election.is_leader():
            return Response(200, body)
        self.election.check_clock()
        return None
