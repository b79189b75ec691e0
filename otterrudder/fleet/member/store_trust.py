"""Checks that the store that answers is the same store as before, and not an older copy of it.

Answers of another store, or of one that was restored from a backup, would undo what the fleet has agreed
on."""

from otterrudder.fleet.records import FleetSnapshot
from otterrudder.fleet.store import CommitResult, LeaseResult


class StoreTrust:
    """Keeps the store's cluster ID and the newest revision that this member has seen."""

    __slots__ = ("cluster", "min_revision", "distrust_reason", "revision")

    def __init__(self, cluster: int, revision: int) -> None:
        """`cluster` is the ID of the only store that is trusted; 0 means the first one that answers."""
        self.cluster = cluster
        self.revision = revision  # newest revision seen
        self.min_revision = 0  # newest revision seen when the request in flight was sent
        self.distrust_reason = ""  # why the store is not trusted; "" if it is trusted

    def begin_request(self) -> None:
        """Records that a request is sent: its answer must not be older than the newest revision seen so
        far."""
        self.min_revision = self.revision

    def accept(self, cluster: int, revision: int) -> None:
        """Records the cluster ID and the revision of a trusted answer."""
        self.cluster = cluster
        self.revision = max(self.revision, revision)

    def check_snapshot(self, snapshot: FleetSnapshot, version: int, change: str) -> str:
        """Returns why a read is not trusted, or "" if it is. `version` and `change` identify the newest
        policy in force that this member has seen."""
        raw = snapshot.raw
        if distrust_reason := self._check_engine(raw.cluster, raw.revision, self.min_revision):
            return distrust_reason
        head = snapshot.policy
        new_version, new_change = (head.version, head.change) if head else (0, "")
        if new_version < version or new_version == version and new_change != change:
            return (
                f"the store's policy went back from version {version} to {new_version}, "
                "or is a different policy"
            )
        return ""

    def trusts(self, result: CommitResult | LeaseResult) -> bool:
        """Returns whether the answer comes from the same store as before. A lease that another store keeps
        alive does not count.

        The revision in the answer to a renewal is not checked: etcd returns the revision of the node that was
        asked, and after a change of address that node may lag behind."""
        if not result.cluster:
            # the store gave no cluster ID because it rejected the commit without writing anything
            return True
        min_revision = 0 if isinstance(result, LeaseResult) else self.min_revision
        if distrust_reason := self._check_engine(result.cluster, result.revision, min_revision):
            self.distrust_reason = distrust_reason
            return False
        self.revision = max(self.revision, result.revision)
        return True

    def _check_engine(self, cluster: int, revision: int, min_revision: int) -> str:
        if self.cluster not in (0, cluster):
            return f"another store answers: cluster {cluster:x}, not {self.cluster:x}"
        if revision < min_revision:
            return f"the store's revision went back from {min_revision} to {revision}"
        return ""
