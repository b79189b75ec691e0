"""The store of a model: its engine, and another engine that may answer in its place."""

from dataclasses import dataclass, field

from otterrudder.lab.keyspace import KeySpace

STORE_ID = 1  # of the store, as a key space has it by default
COPY_ID = 0xC0  # of an engine that was restored: the engine's own tool gives it a new one
COPY_LEASES = 1000  # from which such an engine numbers its leases: those of a real engine are random


def _new_engine() -> KeySpace:
    return KeySpace(has_history=False)


def restored_engine(content: KeySpace, now: float, restores: int) -> KeySpace:
    """Another engine with that content. `restores`: differs from those of earlier ones."""
    engine = content.copy()
    engine.has_history = False
    engine.cluster = COPY_ID
    engine.granted += COPY_LEASES * (restores + 1)
    engine.expire_leases(now)
    return engine


@dataclass(slots=True)
class ModelStore:
    """Which engine answers. `primary`: the store itself, while another engine answers in its place."""

    engine: KeySpace = field(default_factory=_new_engine)
    backup: KeySpace | None = None  # an older state of the store, kept by somebody
    primary: KeySpace | None = None

    def copy(self) -> "ModelStore":
        """A copy that goes its own way."""
        return ModelStore(self.engine.copy(), self.backup, self.primary and self.primary.copy())

    @property
    def authority(self) -> KeySpace:
        """The store itself, whichever engine answers."""
        return self.primary or self.engine

    def expire_leases(self, now: float) -> None:
        """Leases whose end has passed lapse, in the store itself as well."""
        self.engine.expire_leases(now)
        if self.primary:
            self.primary.expire_leases(now)

    def back_up(self) -> None:
        """Somebody keeps the state as it is now."""
        self.backup = self.engine.copy()

    def restore_backup(self, now: float, restores: int) -> None:
        """An engine with the state that was kept answers. `restores`: differs from those of earlier ones."""
        assert self.backup
        self.primary = self.engine
        self.engine = restored_engine(self.backup, now, restores)

    def return_to_primary(self) -> None:
        """The store itself answers again."""
        if self.primary:
            self.engine = self.primary
            self.primary = None

    def fingerprint(self) -> tuple[object, ...]:
        """Equal for stores with the same state."""
        return tuple(
            space and (space.cluster, space.revision, tuple(sorted(space.keys.items())))
            for space in (self.engine, self.backup, self.primary)
        )
