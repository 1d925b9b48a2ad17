"""Leader election, heartbeats and announcements within one cell."""

import msgspec

from ryesaddle.internal.membership.action import (
    FetchFromOtherCell,
    FetchSnapshot,
    ReadLease,
    SendHeartbeat,
    SendHeartbeatAck,
    WatchStore,
    WriteLease,
)
from ryesaddle.internal.membership.lease import Lease
from ryesaddle.internal.membership.member_tracker import MemberTracker

HEARTBEAT_INTERVAL_S = 0.5
LEASE_DURATION_S = 3.0
LEASE_RENEW_INTERVAL_S = 1.0
LEASE_READ_INTERVAL_S = 1.0
FETCH_INTERVAL_S = 0.4
MAX_LEASE_READ_DELAY_S = 30.0


class CellMember:
    """Membership state machine of one process in a cell.

    Each cell elects a leader with a lease in the object API; any member can be
    elected. The leader collects heartbeats, writes the member list to the object
    API in batches, and is the only member that watches the object API. The other
    members detect changes by the digest in the acknowledgements of their
    heartbeats.

    The class performs no I/O: its methods return actions for the caller to
    perform.

    Parameters
    ----------
    cell : str
        Name of the cell.
    me : Member
        Initial announcement of this process.
    rng : random.Random
        Source of random jitter for retry intervals.
    """

    def __init__(self, cell, me, rng):
        self.cell = cell
        self.me = me
        self._rng = rng
        self._announcement_digest = me.digest()
        self._acked_digest = 0
        self._lease = None
        self._lease_version = ""
        self._lease_seen_at = None
        self._next_lease_read_at = 0.0
        self._next_fetch_at = 0.0
        self._next_heartbeat_at = 0.0
        self._last_ack_at = None
        self._pending_lease = None
        self._next_renewal_at = 0.0
        self._lease_read_delay_s = LEASE_READ_INTERVAL_S
        self._last_tick_at = None
        self._tracker = MemberTracker(cell)
        self._leader_since = None
        self._watching_store = False

    @property
    def leads(self):
        """Whether this process believes that it holds the lease.

        A leader that was paused may not yet know that it has been replaced.
        """
        return self._leader_since is not None

    @property
    def term(self):
        """Term of the latest lease read or written, 0 if there is none."""
        return self._lease.term if self._lease else 0

    @property
    def leader(self):
        """The latest `Lease` read or written, or None."""
        return self._lease

    def followers(self):
        """Return the members that send heartbeats to this leader, without itself."""
        return [m for m in self._tracker.members() if m.node != self.me.node]

    def tick(self, now):
        """Return the actions to perform at ``now``."""
        actions = (
            self._tick_as_leader(now) if self.leads else self._tick_as_follower(now)
        )
        self._last_tick_at = now
        return actions + self._update_store_watch()

    def announce(self, me):
        """Replace the announcement of this process."""
        self.me = me
        self._announcement_digest = me.digest()
        self._next_heartbeat_at = 0.0

    def resign(self):
        """Release the lease before a planned stop.

        A new leader can then be elected without waiting for the lease to expire.
        """
        if not self.leads:
            return []
        released = msgspec.structs.replace(
            self._lease, holder="", renewals=self._lease.renewals + 1
        )
        self._leader_since = None
        return [WriteLease(released, self._lease_version)]

    def resigned(self, term, now):
        """Process the message that the leader of ``term`` has resigned."""
        if term >= self.term:
            self._last_ack_at = None
            self._next_lease_read_at = now

    def heartbeat(self, member, now):
        """Process a heartbeat with a full announcement; only the leader replies."""
        if not self.leads:
            return []
        self._tracker.receive_announcement(member, now)
        return [SendHeartbeatAck(member.address, self.term, member.digest())]

    def beat(self, node, incarnation, address, announcement, now):
        """Process a heartbeat that carries only the digest of an announcement.

        ``announcement`` is this digest.
        """
        if not self.leads:
            return []
        stored = self._tracker.receive_digest(node, incarnation, announcement, now)
        return [SendHeartbeatAck(address, self.term, announcement if stored else 0)]

    def leave(self, node, incarnation):
        """Remove a member that has stopped."""
        self._tracker.remove(node, incarnation)

    def acknowledged(self, term, announcement, now):
        """Process the leader's acknowledgement of a heartbeat.

        ``announcement`` is the digest of the announcement that the leader has
        stored, 0 for none.
        """
        if term >= self.term:
            self._last_ack_at = now
            self._acked_digest = announcement

    def compared(self, term, digest, mine):
        """Fetch the leader's snapshot if its digest differs from ``mine``."""
        if term < self.term or digest == mine or self._lease is None:
            return []
        return [FetchSnapshot(self._lease.control)]

    def lease_read(self, lease, version, now):
        """Process the result of `ReadLease`; ``lease`` is None if there is none."""
        self._lease_read_delay_s = LEASE_READ_INTERVAL_S
        if version != self._lease_version or self._lease_seen_at is None:
            self._lease = lease if lease is not None else self._lease
            self._lease_version = version
            self._lease_seen_at = now
            self._next_heartbeat_at = 0.0
        if lease is None or self._can_take_lease(now):
            return [self._try_acquire_lease(now)]
        return []

    def lease_read_failed(self, now):
        """Delay the next read, since the store did not answer `ReadLease`."""
        self._lease_read_delay_s = min(
            self._lease_read_delay_s * 2, MAX_LEASE_READ_DELAY_S
        )
        self._next_lease_read_at = now + self._lease_read_delay_s * self._rng.uniform(
            0.8, 1.4
        )

    def lease_written(self, version, now):
        """Process the object version that resulted from `WriteLease`."""
        lease, self._pending_lease = self._pending_lease, None
        if lease is None:
            return
        new_term = not self.leads
        self._lease, self._lease_version = lease, version
        self._lease_seen_at = now
        self._next_renewal_at = now + LEASE_RENEW_INTERVAL_S
        if new_term:
            self._become_leader(now)

    def lease_conflicted(self, now):
        """Step down, since another member wrote the lease first."""
        self._pending_lease = None
        self._step_down(now)

    def lease_write_failed(self, now):
        """Schedule another renewal, since the store did not answer `WriteLease`.

        A leader stays leader: no other member can take the lease while the store
        is unavailable, and if one takes it later, conditional writes fence off
        this leader.
        """
        self._pending_lease = None
        self._next_renewal_at = now + LEASE_RENEW_INTERVAL_S

    def record_read(self, record, version, now):
        """Process the cell record from a list or watch of the store."""
        if self._is_superseded_by(record):
            self._step_down(now)
        self._tracker.record_read(record, version, self.leads, now)

    def _is_superseded_by(self, record):
        # After a pause of this process, the store may deliver a record written by
        # a newer leader before this one detects that it has lost the lease.
        return self.leads and record.term > self.term

    def record_written(self, ok, now):
        """Process the result of `WriteRecord`."""
        self._tracker.record_written(ok, now)

    def record_absent(self):
        """Process a list of the store that contains no record of this cell."""
        if self.leads:
            self._tracker.record_absent()

    def _tick_as_follower(self, now):
        actions = []
        if self._lease is not None and now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            full = self._acked_digest != self._announcement_digest
            actions.append(SendHeartbeat(self._lease.address, full))
        if self._has_no_active_leader(now) and now >= self._next_fetch_at:
            # Without a leader, updates must come from another cell.
            self._next_fetch_at = now + FETCH_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            actions.append(FetchFromOtherCell())
        if self._has_no_active_leader(now) and now >= self._next_lease_read_at:
            self._next_lease_read_at = now + LEASE_READ_INTERVAL_S * self._rng.uniform(
                0.8, 1.4
            )
            actions.append(ReadLease())
        return actions

    def _has_no_active_leader(self, now):
        if self._lease is None or self._last_ack_at is None:
            return True
        return now - self._last_ack_at > 2.5 * HEARTBEAT_INTERVAL_S

    def _can_take_lease(self, now):
        if self._lease is not None and not self._lease.holder:
            return True
        if self._lease and (self._lease.holder, self._lease.incarnation) == (
            self.me.identity
        ):
            return not self.leads
        return now - self._lease_seen_at >= LEASE_DURATION_S

    def _try_acquire_lease(self, now):
        me = self.me
        lease = Lease(me.node, me.incarnation, me.address, me.control, self.term + 1)
        self._pending_lease = lease
        return WriteLease(lease, self._lease_version)

    def _become_leader(self, now):
        self._leader_since = now
        self._tracker.start_term()

    def _tick_as_leader(self, now):
        actions = []
        self._restart_timeouts_after_pause(now)
        if now >= self._next_renewal_at and self._pending_lease is None:
            renewed = msgspec.structs.replace(
                self._lease, renewals=self._lease.renewals + 1
            )
            self._pending_lease = renewed
            actions.append(WriteLease(renewed, self._lease_version))
        self._tracker.receive_announcement(self.me, now)
        self._tracker.remove_expired(now)
        return actions + self._tracker.due_actions(self.term, now)

    def _step_down(self, now):
        self._leader_since = None
        self._last_ack_at = None
        self._lease_seen_at = None
        self._next_lease_read_at = now

    def _restart_timeouts_after_pause(self, now):
        # Heartbeats that arrived while this process was paused have not been
        # processed yet, so the members may still be running.
        if (
            self._last_tick_at is not None
            and now - self._last_tick_at > 2 * HEARTBEAT_INTERVAL_S
        ):
            self._tracker.restart_timeouts(now)

    def _update_store_watch(self):
        if self._watching_store == self.leads:
            return []
        self._watching_store = self.leads
        return [WatchStore(self._watching_store)]
