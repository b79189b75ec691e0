"""Whether the store that answers is the one that was heard before, and not an older copy of it.

The word of another engine, or of one that was set back, would undo what the fleet has agreed on."""

from otterrudder.fleet.records import FleetSnapshot
from otterrudder.fleet.store import CommitResult, LeaseResult


class StoreTrust:
    """The store's identity and newest revision, as far as this member has heard."""

    __slots__ = ("cluster", "floor", "distrust_reason", "revision")

    def __init__(self, cluster: int, revision: int) -> None:
        """`cluster`: the only engine that is trusted; 0: the first that answers."""
        self.cluster = cluster
        self.revision = revision  # the newest that was heard of
        self.floor = 0  # the revision that was known when the store's request under way was begun
        self.distrust_reason = ""  # why the store is not trusted; "": it is

    def begin_request(self) -> None:
        """Its answer has to be as new as what is known now."""
        self.floor = self.revision

    def accept(self, cluster: int, revision: int) -> None:
        """An answer is trusted."""
        self.cluster = cluster
        self.revision = max(self.revision, revision)

    def check_snapshot(self, snapshot: FleetSnapshot, version: int, change: str) -> str:
        """Why a read is not trusted; "": it is. `version` and `change`: of the newest policy in force."""
        raw = snapshot.raw
        if distrust_reason := self._check_engine(raw.cluster, raw.revision, self.floor):
            return distrust_reason
        head = snapshot.policy
        new_version, new_change = (head.version, head.change) if head else (0, "")
        if new_version < version or new_version == version and new_change != change:
            return (
                f"the engine's policy went back, from version {version} to {new_version}, or is another one"
            )
        return ""

    def trusts(self, result: CommitResult | LeaseResult) -> bool:
        """Whether the engine that answered is the one that was heard before; a lease that another one keeps
        alive has lapsed where it counts. Of a renewal the revision says nothing: etcd answers with that of
        the member that was asked, as it was before, and after a change of address that one may lag."""
        if not result.cluster:
            return True  # it has said nothing of itself, and that it did nothing
        floor = 0 if isinstance(result, LeaseResult) else self.floor
        if distrust_reason := self._check_engine(result.cluster, result.revision, floor):
            self.distrust_reason = distrust_reason
            return False
        self.revision = max(self.revision, result.revision)
        return True

    def _check_engine(self, cluster: int, revision: int, floor: int) -> str:
        if self.cluster not in (0, cluster):
            return f"another engine answers: {cluster:x}, not {self.cluster:x}"
        if revision < floor:
            return f"the engine's revision went back, from {floor} to {revision}"
        return ""
