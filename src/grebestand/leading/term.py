"""One term of a leader: its parts, and how they begin from what an earlier leader left.

Every part offers steps for the loops that `process` runs; tests call them directly with a fake clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from ..features.hooks import Features
from ..limits.budget import Urgency
from ..limits.load import Load
from ..outside.cloud import CloudClient
from ..records.finals import Finals
from ..settings.expressions import Expressions
from ..settings.platform import Settings
from ..states import JobState
from ..wire.cloud import MachineType
from ..wire.workers import Orders, Report
from .basis import Basis
from .checkins import Checkins, Taken
from .closing import Closing
from .gossip import Gossip
from .grants import Grants
from .live_jobs import LiveJobs
from .pace import Pace
from .pen import Pen
from .progress import Progress
from .proof import Direct, Proof
from .rentals import Rentals
from .returning import Returning
from .roster import Roster
from .sweep import Sweep

log = logging.getLogger("grebestand.term")


class Term:
    def __init__(
        self,
        settings: Settings,
        policy: Expressions,
        pen: Pen,
        cloud: CloudClient,
        direct: Direct,
        clock: Callable[[], float],
        wall: Callable[[], float],
        finals: Finals,
        machine_types: Callable[[], list[MachineType] | None],
        load: Load,
        features: Features,
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.pen = pen
        self.token = pen.token
        self.leadership = pen.leadership
        self.cloud = cloud
        self.direct = direct
        self.clock = clock
        self.wall = wall
        self.finals = finals
        self.machine_types = machine_types
        self.pressure = load
        self.features = features
        self.started_at = clock()
        self._begin()

    def _begin(self) -> None:
        """New parts over empty books: loading starts from these, also when it has to start again."""
        b = self.basis = Basis(
            self.settings, self.policy, self.pen, self.clock, self.wall, self.started_at, self.features
        )
        self.ledger, self.fleet, self.dispatch = b.ledger, b.fleet, b.dispatch
        self.answers, self.scheduler = b.answers, b.scheduler
        self.roster = Roster(b)
        self.grants = Grants(b)
        self.progress = Progress(b)
        self.closing = Closing(b, self.grants, self.progress, self.finals, self.features)
        self.jobs = LiveJobs(b, self.closing)
        self.proof = Proof(b, self.direct)
        self.rentals = Rentals(b, self.cloud)
        self.returning = Returning(b, self.cloud, self.rentals, self.roster, self.proof)
        self.pace = Pace(b, self.proof, self.pressure)
        self.checkins = Checkins(b, self.proof, self.grants, self.rentals, self.pace)
        self.gossip = Gossip(b)
        self.sweep = Sweep(b, self.jobs)
        self.feature_records = {r.prefix: self.pen.pages(r.prefix) for r in self.features.records}
        self.loaded = False

    def load(self) -> None:
        """Reads all records. The watch starts at the revision before the first page, so nothing is missed."""
        self._begin()
        now = self.clock()
        types = self.machine_types()
        if types:
            self.fleet.learn_types(types)
        self.roster.load(now)
        self.jobs.read_all(now)
        self.progress.load()
        self.rentals.load()
        self.grants.load()
        for job in list(self.ledger.jobs.values()):
            if job.unfinished() == 0:
                self.ledger.move_job(job, JobState.CLOSING, now)
        for record in self.features.records:
            pages = self.feature_records[record.prefix]
            record.load(pages, dict(pages.load(self.pen.state.pairs(record.prefix))))
        self.fleet.count_unknown()
        now = self.clock()
        for m in self.fleet.machines:
            m.given_at = now
        self.checkins.heard_at = now
        self.jobs.begin()
        self.loaded = True
        log.info(
            "term %d: %d machines and %d live jobs on record",
            self.token,
            len(self.fleet.machines),
            len(self.ledger.jobs),
        )
        self.proof.check(now)

    def checkin(self, report: Report) -> Orders | None:
        """The answer to a report; None while this controller may not answer."""
        if not self.loaded:
            # an answer would renew the leases of what was cancelled, and could not stop it (`leading.knowledge`)
            self.checkins.may_answer(report)
            return None
        return self.checkins.take(report)

    def begin_checkin(self, report: Report) -> Taken | Orders | None:
        """The same in two steps, for several reports at once, with one wait for grants between them."""
        if not self.loaded:
            self.checkins.may_answer(report)
            return None
        return self.checkins.begin(report)

    def cover_checkins(self, begun: Iterable[Taken | Orders | None]) -> None:
        self.checkins.cover([t for t in begun if isinstance(t, Taken)])

    def finish_checkin(self, taken: Taken) -> Orders | None:
        return self.checkins.finish(taken)

    def wants_spread(self, machines: float) -> bool:
        """Whether with so many machines every controller is to answer reports, by the policy."""
        dials = self.basis.dials
        return bool(dials.policy.value("spread_reports", {**dials.names(), "machines": machines}))

    def step_fleet(self) -> None:
        """Settles rentals, reads the cloud's list, returns and rents machines."""
        if not self.fleet.kinds:
            types = self.machine_types()
            if types is None:
                return
            self.fleet.learn_types(types)
        self.rentals.replay()
        self.returning.read_list()
        self.returning.return_idle()
        if self.basis.dials.value("rent"):
            self.rentals.rent()

    def save_features(self) -> None:
        """Writes what features have put on their pages."""
        for pages in self.feature_records.values():
            pages.save(Urgency.PROGRESS)
