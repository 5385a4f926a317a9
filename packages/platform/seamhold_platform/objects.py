"""Objects of the platform's API, in the format of Kubernetes objects."""

from enum import StrEnum

from msgspec import Struct, field


class ObjectKind(StrEnum):
    """The collections that this project reads or writes."""

    BOXES = 'boxes'
    ENGINES = 'engines'
    SETTINGS = 'settings'
    CLAIMS = 'claims'
    EVACUATIONS = 'evacuations'
    QUARANTINE = 'quarantine'


class PlatformObject(Struct, frozen=True):
    """One object; `version` is opaque, only equality counts, and '' means not stored yet."""

    name: str
    spec: dict = field(default_factory=dict)
    version: str = ''

    @classmethod
    def from_wire(cls, value: dict) -> 'PlatformObject':
        """Decode an object from the platform's JSON."""
        metadata = value.get('metadata', {})
        version = str(metadata.get('resourceVersion', ''))
        return cls(metadata.get('name', ''), value.get('spec') or {}, version)

    def to_wire(self) -> dict:
        """Return the object as the platform's JSON."""
        metadata = {'name': self.name}
        if self.version:
            metadata['resourceVersion'] = self.version
        return {'metadata': metadata, 'spec': self.spec}


class Page(Struct, frozen=True):
    """A whole collection at one version, from which a watch can start."""

    objects: list[PlatformObject]
    version: str


class WatchKind(StrEnum):
    """The type of a watch event."""

    ADDED = 'ADDED'
    MODIFIED = 'MODIFIED'
    DELETED = 'DELETED'
    BOOKMARK = 'BOOKMARK'


class WatchEvent(Struct, frozen=True):
    """One change of a collection; `object` is its state after the change."""

    kind: WatchKind
    object: PlatformObject
