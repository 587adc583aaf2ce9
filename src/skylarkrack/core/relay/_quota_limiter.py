"""Limits the rate and burst of organisations over all entries, by exchanging grants.

Every entry keeps the whole bucket of every organisation, and takes from it what it grants itself
and what other entries report as granted. Grants that are not received yet let the sum overshoot for
the time of one exchange, which leaves the bucket in debt. The next grants pay the whole debt back.

A silent entry may be partitioned and still grant: an equal share of the rate is charged to the
bucket for it, and settled when it reports again. So each side of a partition grants no more than
its own shares, however long the partition lasts.
"""

import math
from dataclasses import dataclass, field, replace

from skylarkrack.core.relay._table import Quota

PEER_SILENT_AFTER_MS = 600.0
"""Silence after which an equal share of each rate is charged on behalf of an entry. That is six
broadcasts of a busy entry in a row, but less than two of an idle one."""

FORGET_PEER_AFTER_MS = 20_000.0
"""Silence after which an entry is assumed to have been replaced, and is no longer charged for."""

INITIAL_FILL_FRACTION = 0.5
"""Fraction of the burst in the buckets of a new process: its predecessor's last grants may not have
been reported."""

MAX_DEBT_S = 8.0
"""Seconds of the rate that a bucket may lie below empty, so that late reports can't block an
organisation for longer. It is the window over which the quota is enforced: with less, overshoot
would be forgiven again and again within one window."""


@dataclass(slots=True)
class _Bucket:
    """One bucket. *charged_by_peer* is what was taken for entries that are silent."""

    quota: Quota
    level: float
    updated_ms: float
    charged_by_peer: dict[str, float] = field(default_factory=dict)

    def refill(self, now_ms: float, *, silent: list[str], share_per_s: float) -> None:
        elapsed_s = max(0.0, now_ms - self.updated_ms) / 1000
        self.updated_ms = max(self.updated_ms, now_ms)
        for peer in silent:
            charge = share_per_s * elapsed_s
            self.charged_by_peer[peer] = self.charged_by_peer.get(peer, 0.0) + charge
        rate = self.quota.rate_per_s - share_per_s * len(silent)
        self.level = min(self.quota.burst, self.level + rate * elapsed_s)

    def deduct(self, amount: float) -> None:
        self.level = max(self.level - amount, -MAX_DEBT_S * self.quota.rate_per_s)

    def settle(self, peer: str, granted: float) -> None:
        """Replace what was charged for a silent entry by what it granted."""
        self.level = min(self.quota.burst, self.level + self.charged_by_peer.pop(peer, 0.0))
        self.deduct(granted)
        self.level = min(self.quota.burst, self.level)


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaGrant:
    """What one request took of its organisation's quota.

    *amount* is 0 if there was no limit, and nothing was taken.
    """

    organisation: str
    amount: float


@dataclass(slots=True)
class _Peer:
    incarnation: str
    received_ms: float
    is_complete: bool
    granted_by_organisation: dict[str, float] = field(default_factory=dict)


class QuotaLimiter:
    """The buckets of all organisations, as one entry sees them. Times are ms on a monotonic clock.

    Without *is_shared* every entry has an equal share, a baseline for comparison.
    """

    __slots__ = (
        "_granted_by_organisation",
        "_is_shared",
        "_bucket_by_organisation",
        "_peer_by_name",
    )

    def __init__(self, *, is_shared: bool = True) -> None:
        self._is_shared = is_shared
        self._granted_by_organisation: dict[str, float] = {}
        self._bucket_by_organisation: dict[str, _Bucket] = {}
        self._peer_by_name: dict[str, _Peer] = {}

    # Queries

    def granted(self) -> dict[str, float]:
        """Return what this process has granted since its start, by organisation."""
        return dict(self._granted_by_organisation)

    def level(self, organisation: str) -> float:
        """Return the level of an organisation's bucket; below 0 if too much was granted."""
        bucket = self._bucket_by_organisation.get(organisation)
        return 0.0 if bucket is None else bucket.level

    def wait_ms(self, organisation: str, quota: Quota) -> float:
        """Return how long until the bucket is no longer empty."""
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None or bucket.level > 0 or quota.rate_per_s <= 0:
            return 0.0
        return -bucket.level / quota.rate_per_s * 1000

    def peek(self, organisation: str, quota: Quota, now_ms: float) -> tuple[float, float]:
        """Return the level of an organisation's bucket now, and how long until it isn't empty.

        Both as `try_acquire` would find them; nothing is stored. Without a limit the level is
        infinite.
        """
        if quota.rate_per_s <= 0:
            return math.inf, 0.0
        own_quota = quota if self._is_shared else self._equal_share(quota)
        known = self._bucket_by_organisation.get(organisation)
        if known is not None:
            known = replace(known, charged_by_peer=dict(known.charged_by_peer))
        level = self._as_of(known, own_quota, now_ms).level
        return level, 0.0 if level > 0 else -level / quota.rate_per_s * 1000

    # Commands

    def set_quotas(self, quota_by_organisation: dict[str, Quota], now_ms: float) -> None:
        """Apply a new table's quotas.

        The bucket of an organisation has to exist before its first request at this entry, so that
        the grants of other entries are taken from it.
        """
        for organisation, quota in quota_by_organisation.items():
            if quota.rate_per_s > 0:
                self._advance(organisation, quota, now_ms)

    def try_acquire(
        self, organisation: str, amount: float, quota: Quota, now_ms: float
    ) -> QuotaGrant | None:
        """Grant *amount*, which may exceed the level, if the bucket isn't empty.

        Returns what was taken, which is nothing if the quota has no limit, or None if the bucket is
        empty.
        """
        if quota.rate_per_s <= 0:
            amount = 0.0
        else:
            if not self._is_shared:
                quota = self._equal_share(quota)
            bucket = self._advance(organisation, quota, now_ms)
            if bucket.level <= 0:
                return None
            bucket.deduct(amount)
            granted = self._granted_by_organisation
            granted[organisation] = granted.get(organisation, 0.0) + amount
        return QuotaGrant(organisation=organisation, amount=amount)

    def refund(self, grant: QuotaGrant) -> None:
        """Give back what a request took that was not and will not be run.

        The quota may have changed meanwhile.
        """
        if grant.amount > 0:
            bucket = self._bucket_by_organisation[grant.organisation]
            bucket.level = min(bucket.quota.burst, bucket.level + grant.amount)
            self._granted_by_organisation[grant.organisation] -= grant.amount

    def receive_grants(
        self,
        peer: str,
        incarnation: str,
        granted: dict[str, float],
        *,
        is_complete: bool = True,
        now_ms: float,
    ) -> None:
        """Apply what another entry has granted since its start.

        An organisation that an incomplete report leaves out is unchanged. Totals of a peer that is
        not known yet are not deducted, since they may include grants from long ago; they only serve
        as the baseline for later reports. Once a complete report has arrived, an organisation that
        appears for the first time is deducted in full, and so are the totals of a restarted peer.
        """
        known = self._peer_by_name.get(peer)
        is_restart = known is not None and known.incarnation != incarnation
        before = {} if known is None or is_restart else known.granted_by_organisation
        is_counted = is_restart or (known is not None and known.is_complete)
        silent: list[str] | None = None
        for organisation, total in granted.items():
            bucket = self._bucket_by_organisation.get(organisation)
            if not self._is_shared or bucket is None:
                continue
            new_grants = total - before.get(organisation, 0.0)
            has_changed = new_grants or peer in bucket.charged_by_peer
            if has_changed and (is_counted or organisation in before):
                if silent is None:
                    silent = self._silent_peers(now_ms)
                # Refilled first: a refill that comes after the deduction may pass the burst.
                self._refill(bucket, silent, now_ms)
                bucket.settle(peer, new_grants)
        self._peer_by_name[peer] = _Peer(
            incarnation, now_ms, is_counted or is_complete, before | granted
        )

    def forget_silent(self, now_ms: float) -> None:
        """Drop the entries that have been silent too long to be alive."""
        for name, peer in list(self._peer_by_name.items()):
            if now_ms - peer.received_ms > FORGET_PEER_AFTER_MS:
                del self._peer_by_name[name]

    def _equal_share(self, quota: Quota) -> Quota:
        entries = len(self._peer_by_name) + 1
        rate_per_s, burst = quota.rate_per_s / entries, quota.burst / entries
        return replace(quota, rate_per_s=rate_per_s, burst=burst)

    def _advance(self, organisation: str, quota: Quota, now_ms: float) -> _Bucket:
        bucket = self._as_of(self._bucket_by_organisation.get(organisation), quota, now_ms)
        self._bucket_by_organisation[organisation] = bucket
        return bucket

    def _as_of(self, bucket: _Bucket | None, quota: Quota, now_ms: float) -> _Bucket:
        """Bring *bucket* up to date and return it; a new one if it is None."""
        if bucket is None:
            bucket = _Bucket(quota, quota.burst * INITIAL_FILL_FRACTION, now_ms)
        self._refill(bucket, self._silent_peers(now_ms), now_ms)
        if bucket.quota != quota:
            bucket.quota = quota
            bucket.level = min(bucket.level, quota.burst)
        return bucket

    def _refill(self, bucket: _Bucket, silent: list[str], now_ms: float) -> None:
        share_per_s = bucket.quota.rate_per_s / (len(self._peer_by_name) + 1)
        bucket.refill(now_ms, silent=silent, share_per_s=share_per_s)

    def _silent_peers(self, now_ms: float) -> list[str]:
        return [
            name
            for name, peer in self._peer_by_name.items()
            if self._is_shared and now_ms - peer.received_ms > PEER_SILENT_AFTER_MS
        ]
