"""Objects of the platform's API, in the format of Kubernetes objects."""

from enum import StrEnum

from msgspec import Struct, field

from .json_parts import OBJECT_MAX_BYTES, JsonUnreadable, decode, members

#: Limit on one entry of a list.
ENTRY_MAX_BYTES = 64 * 1024
VERSION_FIELD = 'resourceVersion'


class ObjectKind(StrEnum):
    """The collections that this project reads or writes."""

    BOXES = 'boxes'
    ENGINES = 'engines'
    SETTINGS = 'settings'
    CLAIMS = 'claims'
    EVACUATIONS = 'evacuations'
    QUARANTINE = 'quarantine'
    VERSIONS = 'versions'


#: The collections that hold an entry for each member; objects of the others are large.
LISTS = frozenset(
    {ObjectKind.BOXES, ObjectKind.ENGINES, ObjectKind.EVACUATIONS, ObjectKind.QUARANTINE}
)


class PlatformObject(Struct, frozen=True):
    """One object; `version` is opaque, only equality counts, and '' means not stored yet.

    `unreadable` is why the content could not be decoded; `spec` is empty then.
    """

    name: str
    spec: dict = field(default_factory=dict)
    version: str = ''
    unreadable: str = ''

    @classmethod
    def from_json(
        cls, text: bytes, kind: ObjectKind, version_field: str = VERSION_FIELD
    ) -> 'PlatformObject':
        """Decode an object from the platform's JSON; raises JsonUnreadable if it has no name."""
        limit = ENTRY_MAX_BYTES if kind in LISTS else OBJECT_MAX_BYTES
        try:
            value = decode(text, limit)
            unreadable = ''
        except JsonUnreadable as error:
            # The metadata may still tell which object this is.
            fields = members(members(text).get('metadata', b''))
            known = {name: fields[name] for name in ('name', version_field) if name in fields}
            value = {'metadata': {name: decode(part) for name, part in known.items()}}
            unreadable = str(error)
        metadata = value.get('metadata') if isinstance(value, dict) else None
        if not isinstance(metadata, dict) or not isinstance(metadata.get('name'), str):
            raise JsonUnreadable(unreadable or 'the object has no name')
        version = str(metadata.get(version_field, ''))
        return cls(metadata['name'], value.get('spec') or {}, version, unreadable)

    def to_wire(self) -> dict:
        """Return the object as the platform's JSON."""
        metadata = {'name': self.name}
        if self.version:
            metadata[VERSION_FIELD] = self.version
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
