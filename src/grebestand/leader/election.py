"""Leader election on one key of the key-value store, and how long a controller may rely on its result.

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
#: How long a read of the leader key is valid, in seconds: an older read may name a controller that no longer leads.
KEY_READ_VALID_S = 6.0
#: How long an earlier read of the leader key stays valid once the leader's process has restarted, in seconds.
KEY_READ_VALID_AFTER_RESTART_S = 2.0
#: A resigned controller may campaign again early if the leader key has been free for this long, in seconds. Longer than
#: the other controllers need to notice that the key is free, so that they campaign first.
REJOIN_AFTER_KEY_FREE_S = 6.0
#: The authority of a leader ends this much earlier than the lease's TTL, in seconds, because the response to a renewal
#: may have waited in a queue.
RENEWAL_QUEUE_MARGIN_S = 0.2
#: At most this many invalid tokens are remembered, to bound the memory that a faulty worker can use with new tokens.
MAX_INVALID_TOKENS = 64


class LeaderValue(msgspec.Struct):
    """The value of the leader key: the name of the controller that leads."""

    name: str


class FencedError(GrebestandError):
    """A term's write or command was rejected, as this controller does not lead under the term's token.

    Attributes:
        token: the fencing token of the rejected term.
        reason: why the write or command was rejected.
    """

    def __init__(self, token: int, reason: str) -> None:
        self.token = token
        self.reason = reason
        super().__init__(reason)


class LeaderElection:
    """Campaigns for the leader key, renews its lease, and decides whether this controller may act as the leader."""

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
            store: the key-value store that holds the leader key.
            clock: a monotonic clock, in seconds.
            lease_ttl_s: the time to live of the lease that the leader key is attached to, in seconds.
            cancellation_horizon: how recent the current term's knowledge of cancellations is; unbounded if not given.
        """
        self.name = name
        self.store = store
        self.clock = clock
        self.lease_ttl_s = lease_ttl_s
        self.state = LeaderState.FOLLOWING
        self.token = 0
        self.lease_id = 0
        #: until when no other controller can lead, by this controller's clock
        self.authority_until = 0.0
        self.cancellation_horizon = (
            cancellation_horizon if cancellation_horizon is not None else CancellationHorizon(clock)
        )
        #: the controller that the leader key named when the key was last read
        self.leader: str | None = None
        self._key_read_at = -math.inf
        #: until when a controller that resigned does not campaign
        self._resigned_until = 0.0
        #: since when the reads of this controller have found the leader key free
        self._key_free_since: float | None = None
        self._read_lock = BoundedSemaphore(1)
        #: returns how long the leader key has to be free before this controller campaigns, in seconds, so that better
        #: connected controllers campaign first
        self.campaign_delay_s: Callable[[], float] = lambda: 0.0
        #: called when a read of the key names a different leader, and when this controller's own state changes
        self.on_leadership_changed: Callable[[], None] = lambda: None
        #: a higher token that a worker has seen, until a read of the leader key has decided who leads; else 0
        self.challenging_token = 0
        #: higher tokens that a read of the leader key has shown to belong to no leader
        self._invalid_tokens: set[int] = set()
        #: called with the old and the new state after each change of state
        self.on_state_changed: Callable[[LeaderState, LeaderState], None] = lambda old, new: None

    def change_state(self, new: LeaderState, reason: str) -> None:
        """Change the state; no other function assigns it.

        Args:
            new: the new state; nothing happens if it is the current one.
            reason: why the state changes, for the log.

        Raises:
            IllegalTransitionError: `LEADER_TRANSITIONS` does not allow the change.
        """
        if new is self.state:
            return
        check_transition(LEADER_TRANSITIONS, self.state, new, self.name)
        old, self.state = self.state, new
        self.on_leadership_changed()
        log.info(LogEvent("leadership_changed", from_=old, to=new, token=self.token, reason=reason))
        self.on_state_changed(old, new)

    def is_leader(self) -> bool:
        """Return whether this controller may send commands and answer workers right now, by its own clock.

        Two conditions have to hold: no other controller can lead yet; and every cancellation that this controller does
        not know of is so recent that the worker leases renewed by its responses still expire in time.
        """
        # is_leader() is called several times for each heartbeat, so the state is tested without further calls
        in_time = self.state in (LeaderState.LOADING, LeaderState.LEADING) and self.clock() < self.authority_until
        return in_time and self.cancellation_horizon.allows_responses()

    def record_current_read(self, token: int, sent_at: float) -> None:
        """Record that a term has applied the response to a current read of the live records.

        Args:
            token: the fencing token of the term; ignored unless it is the current term.
            sent_at: when the read was sent, in seconds of `clock`.
        """
        if token == self.token:
            self.cancellation_horizon.record_current_read(sent_at)

    def known_leader(self) -> str | None:
        """Return the name of the leader by a recent read of the leader key, or None.

        An old read is not used: workers redirected to a controller that no longer leads return here after a timeout,
        and would alternate between the two controllers without reaching the new leader.
        """
        return self.leader if self.clock() - self._key_read_at < KEY_READ_VALID_S else None

    def record_leader_restart(self, name: str) -> None:
        """Record that a controller's process has restarted, which ends the term of its earlier process.

        Workers are still redirected to a restarted leader for up to `KEY_READ_VALID_AFTER_RESTART_S`, since a restarted
        leader usually takes its own key again at once.

        Args:
            name: the controller that restarted; ignored unless it is the known leader.
        """
        if self.leader == name and not self._in_term():
            expires_soon = self.clock() - KEY_READ_VALID_S + KEY_READ_VALID_AFTER_RESTART_S
            self._key_read_at = min(self._key_read_at, expires_soon)

    def check_clock(self) -> None:
        """Pause the term if its lease was not renewed in time, or if its knowledge of cancellations is too old."""
        if self.state in (LeaderState.LOADING, LeaderState.LEADING) and self.clock() >= self.authority_until:
            self.change_state(LeaderState.PAUSED, "the lease could not be renewed in time")
        elif self.state is LeaderState.LEADING and not self.cancellation_horizon.allows_responses():
            age_s = self.cancellation_horizon.age_s
            self.change_state(LeaderState.PAUSED, f"cancellations are known up to {age_s:.1f} s ago only")

    # as a follower ----------------------------------------------------------------------------------------

    def read_leader_key(self) -> None:
        """Read the leader key once, and campaign if no controller leads.

        Reads are serialised: of two concurrent reads, the older one could mistake the key that this controller has just
        created for a leftover of an earlier term and delete the key, while this controller continues to lead.

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
        # a key with the name of this controller was written by an earlier process or term of it, which has ended
        if self.state is not LeaderState.FOLLOWING:
            if found is not None:
                # the delayed write of an abandoned campaign: the key would block all other controllers until its lease
                # expires
                self.clear_key(found.version)
            return
        self.leader = None
        if self._key_free_since is not None and now - self._key_free_since < self.campaign_delay_s():
            return
        self._campaign(found.version if found is not None else 0)

    def _end_resignation_if_due(self, now: float) -> None:
        """Let a resigned controller campaign again after its pause, or earlier if the leader key stays free."""
        if self.state is not LeaderState.RESIGNED:
            return
        if self._key_free_since is not None and now - self._key_free_since >= REJOIN_AFTER_KEY_FREE_S:
            self.change_state(LeaderState.FOLLOWING, "no other controller leads")
        elif now >= self._resigned_until:
            self.change_state(LeaderState.FOLLOWING, "may lead again")

    def _is_of_another_controller(self, found: KeyValue) -> bool:
        """Return whether the leader key names another controller, and remember that controller as the leader."""
        name = msgspec.convert(found.value, LeaderValue).name
        if name == self.name:
            return False
        changed, self.leader = self.leader != name, name
        if changed:
            self.on_leadership_changed()
        return True

    def _campaign(self, replaced_version: int) -> None:
        """Try to create the leader key, or to replace the leftover of an earlier term of this controller.

        Args:
            replaced_version: the revision that created the leftover key, or 0 if the key is free.
        """
        sent_at = self.clock()
        lease_id = self.store.grant_lease(int(self.lease_ttl_s * 1000))
        condition = version_is(LEADER_KEY, replaced_version) if replaced_version else key_absent(LEADER_KEY)
        value = msgspec.to_builtins(LeaderValue(self.name))
        try:
            revision, failed = self.store.commit([condition], [put(LEADER_KEY, value, lease_id)], Urgency.TAKEOVER)
        except LeaseExpiredError:
            return  # the lease expired before the commit arrived; the next read of the key starts another campaign
        if failed:
            return  # another controller has created the key first
        self.token, self.lease_id, self.leader = revision, lease_id, self.name
        self.cancellation_horizon.reset()
        self._key_free_since = None
        self._extend_authority(sent_at)
        self.change_state(LeaderState.LOADING, "took the key")

    def _extend_authority(self, sent_at: float) -> None:
        """Extend the authority to one lease after `sent_at`, less the margins for clock drift and for queueing.

        Args:
            sent_at: when the request that renewed or granted the lease was sent, in seconds of `clock`.
        """
        self.authority_until = sent_at + self.lease_ttl_s * (1 - 2 * MAX_CLOCK_DRIFT) - RENEWAL_QUEUE_MARGIN_S

    # as the leader ----------------------------------------------------------------------------------------

    def renew(self) -> bool:
        """Renew the lease; a paused term also reads the leader key, and resumes only if the key is still its own.

        Returns:
            False if the lease was not renewed and the caller should retry soon; True if the lease was renewed or the
            term has ended.
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
                found = self.store.get(LEADER_KEY, Urgency.LEASE)
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
            self._lose_term(token, "another controller owns the key")
            return True
        if token != self.token or not self._in_term():
            return True  # the term ended while the lease was being renewed
        if self.challenging_token:
            if not key_was_read:
                return False  # a worker sent the higher token while the lease was being renewed
            self._dismiss_challenge()
        self._extend_authority(sent_at)
        return True

    def _in_term(self) -> bool:
        return self.state in (LeaderState.LOADING, LeaderState.LEADING, LeaderState.PAUSED)

    def _lose_term(self, token: int, reason: str) -> None:
        """End the term of a token, unless another term of this controller has begun since."""
        if token == self.token:
            self.end_term(reason)

    def end_term(self, reason: str) -> None:
        """End the current term, if any, because this controller no longer owns the leader key."""
        if self._in_term():
            self.authority_until = 0.0
            self.leader = None
            self.change_state(LeaderState.FOLLOWING, reason)

    def challenge(self, token: int, reason: str) -> None:
        """Pause the term until a read of the leader key has decided who leads, because a worker has a higher token.

        Tokens are revisions of the store. A token that no leader ever had comes from a faulty worker; such a token is
        remembered, so that it pauses the term only once.

        Args:
            token: the higher token.
            reason: which worker sent the token, for the log.
        """
        if token in self._invalid_tokens or not self._in_term():
            return
        self.challenging_token = token
        self.change_state(LeaderState.PAUSED, reason)

    def _dismiss_challenge(self) -> None:
        """Ignore the challenging token from now on: the leader key was read after the token and is this term's."""
        log.warning(LogEvent("invalid_token_ignored", invalid_token=self.challenging_token, token=self.token))
        if len(self._invalid_tokens) < MAX_INVALID_TOKENS:
            self._invalid_tokens.add(self.challenging_token)
        self.challenging_token = 0

    def resign(self, reason: str, pause_s: float) -> int:
        """End the term deliberately, so that another controller can lead.

        Args:
            reason: why this controller resigns, for the log.
            pause_s: how long this controller does not campaign afterwards, in seconds.

        Returns:
            The token of the ended term, with which the caller deletes the leader key (`clear_key`).
        """
        token = self.token
        self.authority_until = 0.0
        self.leader = None
        self._resigned_until = self.clock() + pause_s
        self.change_state(LeaderState.RESIGNED, reason)
        return token

    def clear_key(self, token: int) -> None:
        """Delete the leader key of a term that has ended, unless another term has replaced the key.

        Args:
            token: the fencing token of the ended term.

        Raises:
            StoreError: the store could not be reached.
        """
        self.store.commit([version_is(LEADER_KEY, token)], [delete(LEADER_KEY)], Urgency.TAKEOVER)

    def require_leadership(self) -> None:
        """Check that this controller may act as the leader.

        Raises:
            FencedError: this controller may not act as the leader.
        """
        if not self.is_leader():
            raise FencedError(self.token, "not leading")
