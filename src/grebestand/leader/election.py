"""Who may give commands: the leader key, its hold, and the token.

The key is attached to a hold; the revision that created the key is the token. Every write of the leader is
conditional on that revision, so an old leader is fenced at the state service; workers fence it by the token.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

import msgspec
from gevent.lock import BoundedSemaphore

from ..clients.kv_store import KeyValueStoreClient, LeaseExpiredError, StoreError, delete, key_absent, put, version_is
from ..clocks import DRIFT
from ..flow_control.rate_limiter import Urgency
from ..state_machines import LEADER_TRANSITIONS, LeaderState, check_transition
from .cancellation_horizon import CancellationHorizon

log = logging.getLogger(__name__)

LEADER_KEY = "leader"
#: what was read of the key so long ago, in seconds, may no longer be so
LOOKED_S = 6.0
#: of a leader that has begun anew, what was read of its key counts for so long yet, in seconds
ENDED_S = 2.0
#: a controller that gave way comes back before its time if nobody has taken the key for so long
ALONE_S = 6.0

#: tokens that turned out to be nobody's are remembered, so many of them
MOST_NONSENSE = 64


class LeaderValue(msgspec.Struct):
    name: str


class FencedError(Exception):
    """This controller no longer leads."""


class LeaderElection:
    def __init__(
        self,
        name: str,
        state: KeyValueStoreClient,
        clock: Callable[[], float],
        ttl_s: float,
        cancellation_horizon: CancellationHorizon | None = None,
    ) -> None:
        self.name = name
        self.store = state
        self.clock = clock
        self.ttl_s = ttl_s
        self.state = LeaderState.FOLLOWING
        self.token = 0
        self.hold = 0
        self.authority_until = 0.0
        #: what the present term knows of cancellations
        self.cancellation_horizon = (
            cancellation_horizon if cancellation_horizon is not None else CancellationHorizon(clock)
        )
        self.leader: str | None = None
        #: when the key was last read
        self.looked_at = -math.inf
        self.retry_at = 0.0
        #: since when, as far as this controller has seen, nobody has the key
        self.free_since: float | None = None
        self._looking = BoundedSemaphore(1)
        #: for how long the key has to be free before this controller takes it: better placed ones go first
        self.patience: Callable[[], float] = lambda: 0.0
        #: called whenever it becomes known that somebody else leads, or this controller's own state changes
        self.on_news: Callable[[], None] = lambda: None
        #: a higher token that somebody has seen, until the key has been read, and those that were nobody's
        self.challenged = 0
        self.malformed_reads: set[int] = set()
        self.on_move: Callable[[LeaderState, LeaderState], None] = lambda old, new: None

    def move(self, new: LeaderState, why: str) -> None:
        """The one function that changes what this controller is."""
        if new is self.state:
            return
        check_transition(LEADER_TRANSITIONS, self.state, new, self.name)
        old, self.state = self.state, new
        self.on_news()
        log.info("leadership: %s -> %s (token %d): %s", old.name, new.name, self.token, why)
        self.on_move(old, new)

    def is_leader(self) -> bool:
        """Whether commands and answers to workers may be given right now, by this controller's own clock.

        Two things: nobody else can be entitled yet, and what was cancelled without this controller's having heard of it
        was cancelled so lately that the leases which its answers renew end in time (`leading.cancellation_horizon`).
        """
        in_time = self.state in (LeaderState.LOADING, LeaderState.LEADING) and self.clock() < self.authority_until
        return in_time and self.cancellation_horizon.fresh()

    def caught_up(self, token: int, sent: float) -> None:
        """The term of this token has taken the answer to a current read that was sent then."""
        if token == self.token:
            self.cancellation_horizon.caught_up(sent)

    def known_leader(self) -> str | None:
        """Who leads, as far as this controller has read it lately.

        One that could not read the key went on sending its workers to a leader that was none any more, and that sent
        them back after a timeout: between the two they never came to the third, which led.
        """
        return self.leader if self.clock() - self.looked_at < LOOKED_S else None

    def ended(self, name: str) -> None:
        """A controller that led has begun anew: the term of its earlier process is over, whatever the key says.

        Workers go on being sent there, since it takes its own key at once; but what was read of the key is old.
        """
        if self.leader == name and not self._in_term():
            self.looked_at = min(self.looked_at, self.clock() - LOOKED_S + ENDED_S)

    def check_clock(self) -> None:
        if self.state in (LeaderState.LOADING, LeaderState.LEADING) and self.clock() >= self.authority_until:
            self.move(LeaderState.PAUSED, "the hold could not be renewed in time")
        elif self.state is LeaderState.LEADING and not self.cancellation_horizon.fresh():
            self.move(
                LeaderState.PAUSED, f"cancellations are known up to {self.cancellation_horizon.age_s:.1f} s ago only"
            )

    # following --------------------------------------------------------------------------------------------

    def look(self) -> None:
        """One look at the key: learn who leads, or take the lead if nobody does.

        One at a time. Of two, the one that began earlier once found the key that the other had just taken, by its own
        name, and removed it as one of an earlier term; the next controller took it, and two led.
        """
        with self._looking:
            if not self._in_term():
                self._look()

    def _look(self) -> None:
        found = self.store.get(LEADER_KEY, Urgency.TAKEOVER)
        now = self.looked_at = self.clock()
        if found is not None:
            self.free_since = None
        elif self.free_since is None:
            self.free_since = now
        nobody = self.free_since is not None and now - self.free_since >= ALONE_S
        if self.state is LeaderState.RESIGNED and (now >= self.retry_at or nobody):
            self.move(LeaderState.FOLLOWING, "nobody else leads" if nobody else "may lead again")
        if found is not None:
            value = msgspec.convert(found.value, LeaderValue)
            if value.name != self.name:
                news, self.leader = self.leader != value.name, value.name
                if news:
                    self.on_news()
                return
            # its own name: whoever wrote it was an earlier run or term of this controller, and that has ended
        if self.state is not LeaderState.FOLLOWING:
            if found is not None:
                # a campaign that was given up on was carried out late: the key would stay until its hold has ended
                self.clear_key(found.version)
            return
        self.leader = None
        if self.free_since is not None and now - self.free_since < self.patience():
            return
        self.campaign(found.version if found is not None else 0)

    def campaign(self, version: int) -> None:
        sent = self.clock()
        hold = self.store.grant_lease(int(self.ttl_s * 1000))
        condition = version_is(LEADER_KEY, version) if version else key_absent(LEADER_KEY)
        value = msgspec.to_builtins(LeaderValue(self.name))
        try:
            revision, failed = self.store.commit([condition], [put(LEADER_KEY, value, hold)], Urgency.TAKEOVER)
        except LeaseExpiredError:
            return
        if failed:
            return
        self.token, self.hold, self.leader = revision, hold, self.name
        self.cancellation_horizon.begin()
        self.free_since = None
        self._extend(sent)
        self.move(LeaderState.LOADING, "took the key")

    def _extend(self, sent: float) -> None:
        # counted from when the request left, shortened by drift and the time an answer may sit in a queue here
        self.authority_until = sent + self.ttl_s * (1 - 2 * DRIFT) - 0.2

    # leading ----------------------------------------------------------------------------------------------

    def renew(self) -> bool:
        """Renews the hold; False if the state service could not be asked."""
        if not self._in_term():
            return False
        hold, token = self.hold, self.token
        sent = self.clock()
        read = False
        try:
            self.store.keep_alive(hold)
            if self.state is LeaderState.PAUSED:
                read = True
                found = self.store.get(LEADER_KEY, Urgency.HOLD)
                if found is None or found.version != token:
                    raise LeaseExpiredError("the key is another's")
        except LeaseExpiredError as e:
            if token == self.token:
                self.lose(str(e))
            return True
        except StoreError as e:
            log.debug("hold not renewed: %s", e)
            self.check_clock()
            return False
        if token == self.token and self._in_term():
            if self.challenged and not read:
                return False  # the question came while the hold was renewed
            if self.challenged:
                log.warning("token %d, which somebody has seen, is nobody's: the key is this term's", self.challenged)
                if len(self.malformed_reads) < MOST_NONSENSE:
                    self.malformed_reads.add(self.challenged)
                self.challenged = 0
            self._extend(sent)
        return True

    def _in_term(self) -> bool:
        return self.state in (LeaderState.LOADING, LeaderState.LEADING, LeaderState.PAUSED)

    def lose(self, why: str) -> None:
        if self._in_term():
            self.authority_until = 0.0
            self.leader = None
            self.move(LeaderState.FOLLOWING, why)

    def challenge(self, token: int, why: str) -> None:
        """Somebody has seen a higher token: no orders until the key has been read. That settles it for good.

        Tokens are revisions of the state service, so a number that no leader ever had is nonsense, of a broken worker.
        """
        if token in self.malformed_reads or not self._in_term():
            return
        self.challenged = token
        self.move(LeaderState.PAUSED, why)

    def resign(self, why: str, pause_s: float) -> int:
        """Ends the term here and now; the caller sees to the key. Returns the token given up."""
        token = self.token
        self.authority_until = 0.0
        self.leader = None
        self.retry_at = self.clock() + pause_s
        self.move(LeaderState.RESIGNED, why)
        return token

    def clear_key(self, token: int) -> None:
        """Removes the key of a term that its holder has declared over."""
        self.store.commit([version_is(LEADER_KEY, token)], [delete(LEADER_KEY)], Urgency.TAKEOVER)

    def guard(self) -> None:
        if not self.is_leader():
            raise FencedError("not leading")
