"""Leader election on one key of the key-value store, and for how long its result may be relied on.

The leader key is attached to a lease. The revision that created the key is the term's fencing token: every write of the
leader is conditional on that revision, so that the store rejects an old leader, and workers reject older tokens.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

import msgspec
from gevent.lock import BoundedSemaphore

from ..clients.kv_store import KeyValueStoreClient, LeaseExpiredError, StoreError, delete, key_absent, put, version_is
from ..clocks import MAX_CLOCK_DRIFT
from ..errors import GrebestandError
from ..flow_control.rate_limiter import Urgency
from ..log_events import LogEvent
from ..state_machines import LEADER_TRANSITIONS, LeaderState, check_transition
from ..wire.store import KeyValue
from .cancellation_horizon import CancellationHorizon

log = logging.getLogger(__name__)

LEADER_KEY = "leader"
#: A read of the leader key is relied on for this long: an older one may name a controller that no longer leads.
KEY_READ_VALID_S = 6.0
#: After the leader's process has restarted, an earlier read of its key is relied on for this long only.
KEY_READ_VALID_AFTER_RESTART_S = 2.0
#: A resigned controller may campaign again early if nobody has taken the key for this long. Longer than the others
#: need to see that the key is free, so that they go first.
REJOIN_AFTER_KEY_FREE_S = 6.0
#: The lease ends this much earlier by our clock than by its TTL, as the answer to a renewal may have waited in a queue.
RENEWAL_QUEUE_MARGIN_S = 0.2
#: Bounds the memory that a broken worker can take by sending ever new tokens that no leader had.
MAX_INVALID_TOKENS = 64


class LeaderValue(msgspec.Struct):
    """The value of the leader key: the name of the controller that leads."""

    name: str


class FencedError(GrebestandError):
    """A term's write or command was rejected, as this controller does not lead under the term's token.

    Attributes:
        token: the fencing token of the rejected term.
        reason: why it was rejected.
    """

    def __init__(self, token: int, reason: str) -> None:
        self.token = token
        self.reason = reason
        super().__init__(reason)


class LeaderElection:
    """Campaigns for the leader key, renews its lease, and knows whether this controller may act as the leader."""

    def __init__(
        self,
        name: str,
        store: KeyValueStoreClient,
        clock: Callable[[], float],
        lease_ttl_s: float,
        cancellation_horizon: CancellationHorizon | None = None,
    ) -> None:
        """Start as a follower.

        Args:
            name: the name of this controller, written into the leader key.
            store: the key-value store that holds the key.
            clock: a steady clock, in seconds.
            lease_ttl_s: the time to live of the lease that the key is attached to.
            cancellation_horizon: what the present term knows of cancellations; unbounded if not given.
        """
        self.name = name
        self.store = store
        self.clock = clock
        self.lease_ttl_s = lease_ttl_s
        self.state = LeaderState.FOLLOWING
        self.token = 0
        self.lease_id = 0
        #: until when nobody else can lead, by this controller's clock
        self.authority_until = 0.0
        self.cancellation_horizon = (
            cancellation_horizon if cancellation_horizon is not None else CancellationHorizon(clock)
        )
        #: the controller that the key named when it was last read
        self.leader: str | None = None
        self._key_read_at = -math.inf
        #: until when a controller that resigned does not campaign
        self._resigned_until = 0.0
        #: since when, by reads of this controller, the key has been free
        self._key_free_since: float | None = None
        self._read_lock = BoundedSemaphore(1)
        #: for how long the key has to be free before this controller campaigns: better placed ones go first
        self.campaign_delay_s: Callable[[], float] = lambda: 0.0
        #: called whenever another controller is found to lead, or this controller's own state changes
        self.on_leadership_changed: Callable[[], None] = lambda: None
        #: a higher token that a worker has seen, until a read of the key has decided who leads; else 0
        self.challenging_token = 0
        #: higher tokens that turned out to be no leader's
        self._invalid_tokens: set[int] = set()
        #: called with the old and the new state
        self.on_state_changed: Callable[[LeaderState, LeaderState], None] = lambda old, new: None

    def change_state(self, new: LeaderState, reason: str) -> None:
        """Change the state: the one function that does so.

        Raises:
            IllegalTransitionError: the table of transitions does not allow it.
        """
        if new is self.state:
            return
        check_transition(LEADER_TRANSITIONS, self.state, new, self.name)
        old, self.state = self.state, new
        self.on_leadership_changed()
        log.info(LogEvent("leadership_changed", from_=old, to=new, token=self.token, reason=reason))
        self.on_state_changed(old, new)

    def is_leader(self) -> bool:
        """Return whether this controller may give commands and answer workers right now, by its own clock.

        Two things are required: no other controller can lead yet; and whatever was cancelled without this controller's
        knowledge was cancelled so recently that the leases which its answers renew end in time.
        """
        # called several times for each heartbeat: one expression, without further calls for the state
        in_time = self.state in (LeaderState.LOADING, LeaderState.LEADING) and self.clock() < self.authority_until
        return in_time and self.cancellation_horizon.fresh()

    def record_current_read(self, token: int, sent_at: float) -> None:
        """Note that the term of this token has applied the answer to a current read sent at that time."""
        if token == self.token:
            self.cancellation_horizon.record_current_read(sent_at)

    def known_leader(self) -> str | None:
        """Return who leads by a recent read of the key, or None.

        An old read is not used: workers that are redirected by it to a controller which no longer leads come back after
        a timeout, and alternate between the two without reaching the new leader.
        """
        return self.leader if self.clock() - self._key_read_at < KEY_READ_VALID_S else None

    def record_leader_restart(self, name: str) -> None:
        """Note that a controller's process has restarted: the term of its earlier process is over.

        Workers are redirected there for a short while yet, since it usually takes its own key again at once.
        """
        if self.leader == name and not self._in_term():
            expires_soon = self.clock() - KEY_READ_VALID_S + KEY_READ_VALID_AFTER_RESTART_S
            self._key_read_at = min(self._key_read_at, expires_soon)

    def check_clock(self) -> None:
        """Pause the term if its lease, or its knowledge of cancellations, has become too old."""
        if self.state in (LeaderState.LOADING, LeaderState.LEADING) and self.clock() >= self.authority_until:
            self.change_state(LeaderState.PAUSED, "the lease could not be renewed in time")
        elif self.state is LeaderState.LEADING and not self.cancellation_horizon.fresh():
            age_s = self.cancellation_horizon.age_s
            self.change_state(LeaderState.PAUSED, f"cancellations are known up to {age_s:.1f} s ago only")

    # following --------------------------------------------------------------------------------------------

    def read_leader_key(self) -> None:
        """Read the key once: learn who leads, or campaign if nobody does.

        Serialised: of two concurrent reads, the older one could mistake the key that this controller has just created
        for a leftover of an earlier term and delete it, while this controller goes on leading.

        Raises:
            StoreError: the store could not be reached.
        """
        with self._read_lock:
            if not self._in_term():
                self._read_key_and_campaign()

    def _read_key_and_campaign(self) -> None:
        found = self.store.get(LEADER_KEY, Urgency.TAKEOVER)
        now = self._key_read_at = self.clock()
        if found is not None:
            self._key_free_since = None
        elif self._key_free_since is None:
            self._key_free_since = now
        self._end_resignation_if_due(now)
        if found is not None and self._is_of_another_controller(found):
            return
        # a key under our own name was written by an earlier process or term of this controller, which has ended
        if self.state is not LeaderState.FOLLOWING:
            if found is not None:
                # the late write of an abandoned campaign: the key would block all others until its lease expires
                self.clear_key(found.version)
            return
        self.leader = None
        if self._key_free_since is not None and now - self._key_free_since < self.campaign_delay_s():
            return
        self._campaign(found.version if found is not None else 0)

    def _end_resignation_if_due(self, now: float) -> None:
        """Let a resigned controller campaign again after its pause, or earlier if nobody takes the key."""
        if self.state is not LeaderState.RESIGNED:
            return
        if self._key_free_since is not None and now - self._key_free_since >= REJOIN_AFTER_KEY_FREE_S:
            self.change_state(LeaderState.FOLLOWING, "nobody else leads")
        elif now >= self._resigned_until:
            self.change_state(LeaderState.FOLLOWING, "may lead again")

    def _is_of_another_controller(self, found: KeyValue) -> bool:
        """Return whether the key names another controller, and remember that one as the leader."""
        name = msgspec.convert(found.value, LeaderValue).name
        if name == self.name:
            return False
        changed, self.leader = self.leader != name, name
        if changed:
            self.on_leadership_changed()
        return True

    def _campaign(self, replaced_version: int) -> None:
        """Try to take the key: a free one, or with `replaced_version` the leftover of an earlier term of ours."""
        sent_at = self.clock()
        lease_id = self.store.grant_lease(int(self.lease_ttl_s * 1000))
        condition = version_is(LEADER_KEY, replaced_version) if replaced_version else key_absent(LEADER_KEY)
        value = msgspec.to_builtins(LeaderValue(self.name))
        try:
            revision, failed = self.store.commit([condition], [put(LEADER_KEY, value, lease_id)], Urgency.TAKEOVER)
        except LeaseExpiredError:
            return  # the request took longer than the lease lasts; the next read of the key starts another campaign
        if failed:
            return  # another controller was faster
        self.token, self.lease_id, self.leader = revision, lease_id, self.name
        self.cancellation_horizon.begin()
        self._key_free_since = None
        self._extend_authority(sent_at)
        self.change_state(LeaderState.LOADING, "took the key")

    def _extend_authority(self, sent_at: float) -> None:
        """Extend the authority by a lease counted from when the request left, shortened by drift and queueing."""
        self.authority_until = sent_at + self.lease_ttl_s * (1 - 2 * MAX_CLOCK_DRIFT) - RENEWAL_QUEUE_MARGIN_S

    # leading ----------------------------------------------------------------------------------------------

    def renew(self) -> bool:
        """Renew the lease; a paused term also reads the key, and resumes only if the key is its own.

        Returns:
            False if the lease is not renewed and the caller should try again soon; True if it was renewed, or if the
            term is over.
        """
        if not self._in_term():
            return False
        lease_id, token = self.lease_id, self.token
        sent_at = self.clock()
        key_was_read = False
        key_is_ours = True
        try:
            self.store.keep_alive(lease_id)
            if self.state is LeaderState.PAUSED:
                found = self.store.get(LEADER_KEY, Urgency.HOLD)
                key_was_read = True
                key_is_ours = found is not None and found.version == token
        except LeaseExpiredError as error:
            self._lose_term(token, str(error))
            return True
        except StoreError as error:
            log.debug(LogEvent("leader_lease_renewal_failed", error=error))
            self.check_clock()
            return False
        if not key_is_ours:
            self._lose_term(token, "the key is another's")
            return True
        if token != self.token or not self._in_term():
            return True  # the term ended while the lease was renewed
        if self.challenging_token:
            if not key_was_read:
                return False  # the challenge came while the lease was renewed
            self._dismiss_challenge()
        self._extend_authority(sent_at)
        return True

    def _in_term(self) -> bool:
        return self.state in (LeaderState.LOADING, LeaderState.LEADING, LeaderState.PAUSED)

    def _lose_term(self, token: int, reason: str) -> None:
        """End the term of this token, unless another one has begun meanwhile."""
        if token == self.token:
            self.end_term(reason)

    def end_term(self, reason: str) -> None:
        """End the term, as the key is no longer this controller's."""
        if self._in_term():
            self.authority_until = 0.0
            self.leader = None
            self.change_state(LeaderState.FOLLOWING, reason)

    def challenge(self, token: int, reason: str) -> None:
        """Pause the term, as somebody has seen a higher token, until a read of the key has decided who leads.

        Tokens are revisions of the store. One that no leader ever had comes from a broken worker; it is remembered, so
        that it pauses the term only once.
        """
        if token in self._invalid_tokens or not self._in_term():
            return
        self.challenging_token = token
        self.change_state(LeaderState.PAUSED, reason)

    def _dismiss_challenge(self) -> None:
        """Ignore the challenging token from now on: the key, read after it was seen, is this term's."""
        log.warning(LogEvent("invalid_token_ignored", invalid_token=self.challenging_token, token=self.token))
        if len(self._invalid_tokens) < MAX_INVALID_TOKENS:
            self._invalid_tokens.add(self.challenging_token)
        self.challenging_token = 0

    def resign(self, reason: str, pause_s: float) -> int:
        """End the term on purpose and do not campaign for `pause_s` seconds.

        Returns:
            The token that was given up; the caller removes the key with it (`clear_key`).
        """
        token = self.token
        self.authority_until = 0.0
        self.leader = None
        self._resigned_until = self.clock() + pause_s
        self.change_state(LeaderState.RESIGNED, reason)
        return token

    def clear_key(self, token: int) -> None:
        """Delete the key of a term that its leader has ended, if it is still that term's.

        Raises:
            StoreError: the store could not be reached.
        """
        self.store.commit([version_is(LEADER_KEY, token)], [delete(LEADER_KEY)], Urgency.TAKEOVER)

    def guard(self) -> None:
        """Check that this controller may act as the leader.

        Raises:
            FencedError: it may not.
        """
        if not self.is_leader():
            raise FencedError(self.token, "not leading")
