"""The store of a model: its engine, and another engine that may answer instead."""

from dataclasses import dataclass, field

from otterrudder.lab.keyspace import KeySpace

STORE_ID = 1  # cluster id of the store, the default of a key space
RESTORED_ID = 0xC0  # cluster id of a restored engine; the restore tool of a real engine assigns a new id
RESTORED_LEASES = 1000  # offset of a restored engine's lease ids, which are random in a real engine


def _new_engine() -> KeySpace:
    return KeySpace(has_history=False)


def restored_engine(content: KeySpace, now: float, restores: int) -> KeySpace:
    """Returns a restored engine with this content. `restores` has to differ between restored engines."""
    engine = content.copy()
    engine.has_history = False
    engine.cluster = RESTORED_ID
    engine.granted += RESTORED_LEASES * (restores + 1)
    engine.expire_leases(now)
    return engine


@dataclass(slots=True)
class ModelStore:
    """The engine that answers, and the store itself as `primary` while another engine answers."""

    engine: KeySpace = field(default_factory=_new_engine)
    backup: KeySpace | None = None  # an older state of the store
    primary: KeySpace | None = None

    def copy(self) -> "ModelStore":
        """Returns an independent copy."""
        return ModelStore(self.engine.copy(), self.backup, self.primary and self.primary.copy())

    @property
    def authority(self) -> KeySpace:
        """The store itself, regardless of which engine answers."""
        return self.primary or self.engine

    def expire_leases(self, now: float) -> None:
        """Expires leases in the engine that answers and in the store itself."""
        self.engine.expire_leases(now)
        if self.primary:
            self.primary.expire_leases(now)

    def take_backup(self) -> None:
        """Takes a backup of the current state."""
        self.backup = self.engine.copy()

    def restore_backup(self, now: float, restores: int) -> None:
        """Makes an engine with the backup answer. `restores` has to differ between restored engines."""
        assert self.backup
        self.primary = self.engine
        self.engine = restored_engine(self.backup, now, restores)

    def return_to_primary(self) -> None:
        """Makes the store itself answer again."""
        if self.primary:
            self.engine = self.primary
            self.primary = None

    def fingerprint(self) -> tuple[object, ...]:
        """Returns a value that is equal for stores with the same state."""
        return tuple(
            space and (space.cluster, space.revision, tuple(sorted(space.keys.items())))
            for space in (self.engine, self.backup, self.primary)
        )
