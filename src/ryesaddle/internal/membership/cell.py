"""Leader election, heartbeats and announcements within one cell."""

import msgspec

from ryesaddle.internal.membership.action import (
    FetchFromAnyone,
    FetchSnapshot,
    FollowStore,
    ReadLease,
    SendHeartbeat,
    SendHeartbeatAck,
    WriteLease,
)
from ryesaddle.internal.membership.lease import Lease
from ryesaddle.internal.membership.roster import Roster

HEARTBEAT_S = 0.5
LEASE_S = 3.0
RENEW_S = 1.0
READ_LEASE_S = 1.0
FETCH_S = 0.4
READ_LEASE_LIMIT_S = 30.0


class CellMember:
    """One process of a cell; any of them may come to lead it.

    The leader collects heartbeats, writes the members to the object API in
    batches, and is the only one of the cell to watch it. The others learn of
    changes from the digest in the acknowledgement of their heartbeats.

    Parameters
    ----------
    cell : str
        Name of the cell.
    me : Member
        Announcement of this process.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, cell, me, rng):
        self.cell = cell
        self.me = me
        self._rng = rng
        self._announcement = me.digest()
        self._held_announcement = 0
        self._lease = None
        self._lease_version = ""
        self._lease_seen_at = None
        self._next_read = 0.0
        self._next_fetch = 0.0
        self._next_heartbeat = 0.0
        self._last_ack = None
        self._pending_lease = None
        self._renew_at = 0.0
        self._read_pause = READ_LEASE_S
        self._last_tick = None
        self._roster = Roster(cell)
        self._led_since = None
        self._following = False

    @property
    def leads(self):
        """Whether this process holds the lease, as far as it knows."""
        return self._led_since is not None

    @property
    def term(self):
        """Term of the newest lease seen, 0 for none."""
        return self._lease.term if self._lease else 0

    @property
    def leader(self):
        """The newest `Lease` seen, or None."""
        return self._lease

    def followers(self):
        """Return the members that this leader has heard of, itself left out."""
        return [m for m in self._roster.members() if m.node != self.me.node]

    def tick(self, now):
        """Return the actions that are due at ``now``."""
        actions = self._lead(now) if self.leads else self._follow(now)
        self._last_tick = now
        return actions + self._switch_following()

    def announce(self, me):
        """Replace the announcement of this process."""
        self.me = me
        self._announcement = me.digest()
        self._next_heartbeat = 0.0

    def resign(self):
        """Give up the lease before a planned stop, so that it need not lapse."""
        if not self.leads:
            return []
        vacant = msgspec.structs.replace(
            self._lease, holder="", renewals=self._lease.renewals + 1
        )
        self._led_since = None
        return [WriteLease(vacant, self._lease_version)]

    def resigned(self, term, now):
        """Take the news that the leader of ``term`` has resigned."""
        if term >= self.term:
            self._last_ack = None
            self._next_read = now

    def heartbeat(self, member, now):
        """Take a member's heartbeat; only the leader answers."""
        if not self.leads:
            return []
        self._roster.hear(member, now)
        return [SendHeartbeatAck(member.address, self.term, member.digest())]

    def beat(self, node, incarnation, address, announcement, now):
        """Take a heartbeat that carries only the digest of an announcement."""
        if not self.leads:
            return []
        known = self._roster.hear_digest(node, incarnation, announcement, now)
        return [SendHeartbeatAck(address, self.term, announcement if known else 0)]

    def leave(self, node, incarnation):
        """Forget a member that has stopped."""
        self._roster.leave(node, incarnation)

    def acknowledged(self, term, announcement, now):
        """Take the leader's acknowledgement of a heartbeat."""
        if term >= self.term:
            self._last_ack = now
            self._held_announcement = announcement

    def compared(self, term, digest, mine):
        """Compare the digest of the leader's snapshot with one's own."""
        if term < self.term or digest == mine or self._lease is None:
            return []
        return [FetchSnapshot(self._lease.control)]

    def lease_read(self, lease, version, now):
        """Take the result of `ReadLease`; ``lease`` is None if there is none."""
        self._read_pause = READ_LEASE_S
        if version != self._lease_version or self._lease_seen_at is None:
            self._lease = lease if lease is not None else self._lease
            self._lease_version = version
            self._lease_seen_at = now
            self._next_heartbeat = 0.0
        if lease is None or self._has_lapsed(now):
            return [self._bid(now)]
        return []

    def lease_read_failed(self, now):
        """Note that the store did not answer `ReadLease`."""
        self._read_pause = min(self._read_pause * 2, READ_LEASE_LIMIT_S)
        self._next_read = now + self._read_pause * self._rng.uniform(0.8, 1.4)

    def lease_written(self, version, now):
        """Take the version that `WriteLease` gave the lease object."""
        lease, self._pending_lease = self._pending_lease, None
        if lease is None:
            return
        new_term = not self.leads
        self._lease, self._lease_version = lease, version
        self._lease_seen_at = now
        self._renew_at = now + RENEW_S
        if new_term:
            self._begin(now)

    def lease_conflicted(self, now):
        """Note that another member wrote the lease first."""
        self._pending_lease = None
        self._step_down(now)

    def lease_write_failed(self, now):
        """Note that the store did not answer `WriteLease`.

        A leader goes on leading: nobody else can take the lease while the store
        is away, and if somebody does later, conditional writes fence this one.
        """
        self._pending_lease = None
        self._renew_at = now + RENEW_S

    def record_read(self, record, version, now):
        """Take the cell record, as listed or watched in the store."""
        if self._yields_to(record):
            self._step_down(now)
        self._roster.record_read(record, version, self.leads, now)

    def _yields_to(self, record):
        # The store shows a record of a later leader before this one has noticed
        # that its lease was taken over during a pause.
        return self.leads and record.term > self.term

    def record_written(self, ok, now):
        """Take the result of `WriteRecord`."""
        self._roster.record_written(ok, now)

    def record_absent(self):
        """Note that the store was listed and has no record of this cell."""
        if self.leads:
            self._roster.record_absent()

    def _follow(self, now):
        actions = []
        if self._lease is not None and now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_S
            full = self._held_announcement != self._announcement
            actions.append(SendHeartbeat(self._lease.address, full))
        if self._misses_leader(now) and now >= self._next_fetch:
            # Until there is a leader again, news comes from another cell.
            self._next_fetch = now + FETCH_S * self._rng.uniform(0.8, 1.2)
            actions.append(FetchFromAnyone())
        if self._misses_leader(now) and now >= self._next_read:
            self._next_read = now + READ_LEASE_S * self._rng.uniform(0.8, 1.4)
            actions.append(ReadLease())
        return actions

    def _misses_leader(self, now):
        if self._lease is None or self._last_ack is None:
            return True
        return now - self._last_ack > 2.5 * HEARTBEAT_S

    def _has_lapsed(self, now):
        if self._lease is not None and not self._lease.holder:
            return True
        if self._lease and (self._lease.holder, self._lease.incarnation) == (
            self.me.identity
        ):
            return not self.leads
        return now - self._lease_seen_at >= LEASE_S

    def _bid(self, now):
        me = self.me
        lease = Lease(me.node, me.incarnation, me.address, me.control, self.term + 1)
        self._pending_lease = lease
        return WriteLease(lease, self._lease_version)

    def _begin(self, now):
        self._led_since = now
        self._roster.begin()

    def _lead(self, now):
        actions = []
        self._reset_after_own_pause(now)
        if now >= self._renew_at and self._pending_lease is None:
            renewed = msgspec.structs.replace(
                self._lease, renewals=self._lease.renewals + 1
            )
            self._pending_lease = renewed
            actions.append(WriteLease(renewed, self._lease_version))
        self._roster.hear(self.me, now)
        self._roster.drop_silent(now)
        return actions + self._roster.due(self.term, now)

    def _step_down(self, now):
        self._led_since = None
        self._last_ack = None
        self._lease_seen_at = None
        self._next_read = now

    def _reset_after_own_pause(self, now):
        # After a pause of this process, silence of the members proves nothing.
        if self._last_tick is not None and now - self._last_tick > 2 * HEARTBEAT_S:
            self._roster.excuse_silence(now)

    def _switch_following(self):
        if self._following == self.leads:
            return []
        self._following = self.leads
        return [FollowStore(self._following)]
