"""Storage format of a settings object in the platform: its value and edit history."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from seamhold_messages.errors import SettingsInvalid

from .versions import Candidate

#: Limit on the edits kept with an object: enough to recognize an older copy that the platform
#: restores, and for operators to review.
EDITS_MAX = 50
UNKNOWN_AUTHOR = 'unknown'
#: Sums of revisions are compared between boxes, and must stay within 64 bits.
REVISION_MAX = 2**53


class Edit(Struct, frozen=True):
    """One accepted write; `at` is a Unix time in seconds."""

    id: str
    at: float
    author: str


class StoredEnvelope(Struct, frozen=True):
    """The format in which the platform keeps a settings object."""

    revision: Annotated[int, Meta(ge=0, le=REVISION_MAX)]
    edits: Annotated[tuple[Edit, ...], Meta(min_length=1)]
    value: dict[str, Any] | None = None
    deleted: bool | None = None


class Envelope(Struct, frozen=True):
    """One version of a settings object with the edits that led to it."""

    name: str
    revision: int
    edits: tuple[Edit, ...]
    value: dict
    deleted: bool = False

    @classmethod
    def from_spec(cls, name: str, spec: dict) -> 'Envelope':
        """Parse an object as stored in the platform; raises SettingsInvalid."""
        try:
            stored = msgspec.convert(spec, StoredEnvelope)
        except (msgspec.ValidationError, OverflowError, RecursionError) as error:
            raise SettingsInvalid(f'{name}: not a settings object: {error}') from error
        return cls(name, stored.revision, stored.edits, stored.value or {}, bool(stored.deleted))

    @classmethod
    def from_candidate(cls, candidate: Candidate) -> 'Envelope':
        """Return the envelope of a version from a peer, which sends only the edits' ids."""
        ids = (*candidate.ancestors, candidate.edit_id)
        edits = tuple(Edit(edit_id, 0.0, UNKNOWN_AUTHOR) for edit_id in ids)
        return cls(candidate.name, candidate.revision, edits, candidate.spec, candidate.deleted)

    def to_spec(self) -> dict:
        """Return the object as stored in the platform."""
        edits = [{'id': edit.id, 'at': edit.at, 'author': edit.author} for edit in self.edits]
        return {
            'revision': self.revision,
            'edits': edits,
            'value': self.value,
            'deleted': self.deleted,
        }

    def next_version(self, edit: Edit, value: dict, deleted: bool = False) -> 'Envelope':
        """Return the version that follows this one, its revision raised by one."""
        edits = (*self.edits, edit)[-EDITS_MAX:]
        return Envelope(self.name, self.revision + 1, edits, value, deleted)

    def candidate(self) -> Candidate:
        """Return this version as a candidate for a box's active settings."""
        *ancestors, last = (edit.id for edit in self.edits)
        return Candidate(self.name, self.revision, last, self.value, self.deleted, tuple(ancestors))


def first_version(name: str, edit: Edit, value: dict) -> Envelope:
    """Return revision 1 of a new object."""
    return Envelope(name, 1, (edit,), value)
