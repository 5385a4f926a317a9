"""Objects of the platform, in the shape that Kubernetes made customary."""

from enum import StrEnum

from msgspec import Struct, field


class ObjectKind(StrEnum):
    """The collections this project reads or keeps."""

    BOXES = 'boxes'
    ENGINES = 'engines'
    SETTINGS = 'settings'
    CLAIMS = 'claims'
    EVACUATIONS = 'evacuations'
    QUARANTINE = 'quarantine'


class PlatformObject(Struct, frozen=True):
    """One object; `version` is opaque except for equality ('' is not yet)."""

    name: str
    spec: dict = field(default_factory=dict)
    version: str = ''

    @classmethod
    def from_wire(cls, value: dict) -> 'PlatformObject':
        """Read an object as the platform sends it."""
        metadata = value.get('metadata', {})
        version = str(metadata.get('resourceVersion', ''))
        return cls(metadata.get('name', ''), value.get('spec') or {}, version)

    def to_wire(self) -> dict:
        """The object as the platform takes it."""
        metadata = {'name': self.name}
        if self.version:
            metadata['resourceVersion'] = self.version
        return {'metadata': metadata, 'spec': self.spec}


class Page(Struct, frozen=True):
    """A whole collection at one version: where a watch can begin."""

    objects: list[PlatformObject]
    version: str


class WatchKind(StrEnum):
    """What a watch tells."""

    ADDED = 'ADDED'
    MODIFIED = 'MODIFIED'
    DELETED = 'DELETED'
    BOOKMARK = 'BOOKMARK'


class WatchEvent(Struct, frozen=True):
    """One change of a collection."""

    kind: WatchKind
    object: PlatformObject
