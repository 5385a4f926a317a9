"""The active version of each settings object, which only moves forward.

An object has a `revision`, stored with its value, that each accepted write raises by
one.  The platform's own version does not define the order: it goes back when the
platform is restored from an older copy, and revisions must not.
"""

from enum import StrEnum

from msgspec import Struct, field

from seamhold_messages.errors import SettingsInvalid
from seamhold_messages.hashing import hash64

from .resolve import Tree
from .schema import FleetSpec, WorkspaceSpec
from .tree import FLEET_OBJECT, TREE_OBJECT, SettingsFile, build_tree, check_object
from .valid_items import valid_items


class Candidate(Struct, frozen=True):
    """A version of one object, received from the platform or a peer.

    `deleted` marks an object that operators deleted at that revision;
    `ancestors` are the ids of the preceding edits, the latest last.
    """

    name: str
    revision: int
    edit_id: str
    spec: dict
    deleted: bool = False
    ancestors: tuple[str, ...] = ()


class OfferResult(StrEnum):
    """Result of offering a candidate."""

    TAKEN = 'taken'
    SAME = 'same'
    OLDER = 'older'
    BRANCH = 'branch'
    INVALID = 'invalid'


class ActiveSettings(Struct):
    """The active settings objects of one box.

    `offer` is the only way to change them.  An invalid candidate never becomes active:
    the last valid version stays, and `rejected` holds the error.  Each object is
    validated on its own, so that the order in which updates arrive does not matter;
    references between objects are checked before operators may write.  Of a complete tree the
    invalid items are left out, and `left_out` has a problem for each.
    """

    objects: dict[str, Candidate] = field(default_factory=dict)
    rejected: dict[str, str] = field(default_factory=dict)
    left_out: tuple[str, ...] = ()
    tree: Tree = field(default_factory=Tree)
    _specs: dict[str, FleetSpec | WorkspaceSpec | SettingsFile] = field(default_factory=dict)

    def offer(self, candidate: Candidate) -> OfferResult:
        """Activate `candidate` if it is newer and valid."""
        held = self.objects.get(candidate.name)
        if held and candidate.revision <= held.revision:
            return self._classify_old(candidate, held)
        try:
            self._activate(candidate)
        except SettingsInvalid as error:
            self.rejected[candidate.name] = error.detail
            return OfferResult.INVALID
        self.objects[candidate.name] = candidate
        self.rejected.pop(candidate.name, None)
        return OfferResult.TAKEN

    @staticmethod
    def _classify_old(candidate: Candidate, held: Candidate) -> OfferResult:
        """Return whether the candidate is the active edit, an ancestor of it or a branch.

        A branch occurs when the platform was restored from an older copy and an
        operator edited that copy: the edit was accepted, and has yet to be
        reapplied on top of the active version.
        """
        if candidate.edit_id == held.edit_id:
            return OfferResult.SAME
        return OfferResult.OLDER if candidate.edit_id in held.ancestors else OfferResult.BRANCH

    def _activate(self, candidate: Candidate) -> None:
        specs = dict(self._specs)
        left_out = self.left_out
        if candidate.deleted:
            specs.pop(candidate.name, None)
        else:
            spec = candidate.spec
            if candidate.name == TREE_OBJECT:
                valid = valid_items(spec)
                spec, left_out = valid.values, valid.problems
            specs[candidate.name] = check_object(candidate.name, spec)
        self.left_out = left_out
        self._specs = specs
        self.tree = build_tree(specs)

    def revisions(self) -> dict[str, int]:
        """Return the revision of each object by name, as sent in a pull from a peer."""
        return {name: held.revision for name, held in self.objects.items()}

    def newer_than(self, revisions: dict[str, int]) -> list[Candidate]:
        """Return the active objects that are newer than in `revisions`."""
        return [
            held for name, held in self.objects.items() if held.revision > revisions.get(name, 0)
        ]

    def revision_sum(self) -> int:
        """Return the sum of all revisions, which grows with each activation and never shrinks."""
        return sum(held.revision for held in self.objects.values())

    def fingerprint(self) -> int:
        """Return a 64-bit hash that is equal on boxes with the same active versions."""
        text = ','.join(
            f'{name}:{held.revision}:{held.edit_id}' for name, held in sorted(self.objects.items())
        )
        return hash64(text)

    @property
    def ready(self) -> bool:
        """Whether the box may serve: it has the fleet's object or a complete tree."""
        return FLEET_OBJECT in self.objects or TREE_OBJECT in self.objects
