"""The workers' interface: reports."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..leading.leadership import Leadership
from ..leading.term import Term
from ..states import LeaderState
from ..wire.jobs import Malformed
from ..wire.workers import Elsewhere, Report
from .answer import Answer

_json = msgspec.json.Encoder()
_report_decoder = msgspec.json.Decoder(Report)


#: a report is kept so long, in seconds, while the leader hangs, or while this one reads the records; workers wait four
#: for an answer
KEPT_S = 1.8


class WorkerDoor:
    def __init__(self, name: str, leadership: Leadership, term: Callable[[], Term | None]) -> None:
        self.name = name
        self.leadership = leadership
        self.term = term
        #: whether another controller hangs, and waits for news of who leads for so many seconds at the most
        self.hangs: Callable[[str], bool] = lambda name: False
        self.wait: Callable[[float], object] = lambda seconds: None

    def checkin(self, body: bytes) -> Answer:
        try:
            report = _report_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as e:
            return Answer(400, _json.encode({"error": str(e)}))
        answer = self._ordered(report) or self._once_loaded(report)
        if answer is not None:
            return answer
        leader = self.leadership.known_leader()
        if leader is not None and leader != self.name and self.hangs(leader):
            # sent there, or on to the next, its worker would wait four seconds at each controller that stands still,
            # and come back after its lease; this one may lead in a moment
            self.wait(KEPT_S)
            answer = self._ordered(report) or self._once_loaded(report)
            if answer is not None:
                return answer
            leader = self.leadership.known_leader()
            if leader is not None and self.hangs(leader):
                return Answer(421, _json.encode(Elsewhere()))
        if leader is not None and leader != self.name:
            return Answer(421, _json.encode(Elsewhere(leader)))
        return Answer(503, b"{}", retry_after=1)

    def _once_loaded(self, report: Report) -> Answer | None:
        """While this controller reads the records it can answer nobody, and will in a moment: the report is kept."""
        if self.leadership.state is not LeaderState.LOADING:
            return None
        self.wait(KEPT_S)
        return self._ordered(report)

    def _ordered(self, report: Report) -> Answer | None:
        """The answer of this controller's own term, if it may give one."""
        self.leadership.check_clock()
        term = self.term()
        if term is None:
            return None
        try:
            orders = term.checkin(report)
        except Malformed as e:
            return Answer(400, _json.encode({"error": str(e)}))
        if orders is not None:
            answer = _json.encode(orders)
            # starts that were written into an answer which does not leave are sent again, as if lost on the way
            if self.leadership.entitled():
                return Answer(200, answer)
            self.leadership.check_clock()
        return None
