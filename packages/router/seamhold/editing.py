"""How operators change the tree: conditional writes, each with an edit id."""

import copy
import difflib

import yaml
from msgspec import Struct

from seamhold_messages.errors import (
    PlatformConflict,
    PlatformNotFound,
    PlatformUnavailable,
    SettingsConflict,
    SettingsInvalid,
)
from seamhold_platform import ObjectKind, PlatformClient, PlatformObject
from seamhold_settings import SettingsObject, Tree
from seamhold_settings.envelope import Edit, Envelope, first_version
from seamhold_settings.tree import (
    FLEET_OBJECT,
    WORKSPACE_PREFIX,
    build_tree,
    check_object,
    check_references,
)

from .context import Environment

#: Tries at a write whose answer was lost, and the pause between them.
WRITE_TRIES = 6
RETRY_SECONDS = 0.3


class Stored(Struct, frozen=True):
    """One object as the platform holds it."""

    envelope: Envelope
    version: str


class Applied(Struct, frozen=True):
    """What became of one object."""

    name: str
    revision: int
    edit_id: str
    changed: bool


class SettingsEditor:
    """Reads and writes the tree on behalf of one operator."""

    def __init__(self, platform: PlatformClient, environment: Environment, author: str):
        self._platform = platform
        self._environment = environment
        self._author = author

    def read(self) -> dict[str, Stored]:
        """All objects by name."""
        page = self._platform.list(ObjectKind.SETTINGS)
        found = {}
        for item in page.objects:
            found[item.name] = Stored(Envelope.from_spec(item.name, item.spec), item.version)
        return found

    def read_tree(self) -> Tree:
        """The tree that the platform holds."""
        return self._tree_of(self.read())

    @staticmethod
    def _tree_of(stored: dict[str, Stored]) -> Tree:
        objects = [
            SettingsObject(name, held.envelope.value)
            for name, held in sorted(stored.items())
            if not held.envelope.deleted
        ]
        specs = {item.name: check_object(item.name, item.spec) for item in objects}
        return build_tree(specs, objects)

    def apply(self, tree: Tree, prune: bool = False) -> list[Applied]:
        """Bring the platform to `tree`, object by object.

        Objects that are not in `tree` stay unless `prune` is set.  Raises
        SettingsConflict when another operator was first; objects written
        before that stay written, and applying again goes on from there.
        """
        check_references(tree)
        stored = self.read()
        applied = []
        wanted = {item.name: item.spec for item in tree.objects}
        for name, value in wanted.items():
            applied.append(self._write(name, stored.get(name), value))
        if prune:
            for name in sorted(set(stored) - set(wanted)):
                if not stored[name].envelope.deleted:
                    applied.append(self._write(name, stored[name], {}, deleted=True))
        return applied

    def set(self, path: str, value: object) -> Applied:
        """Change one key: `fleet.a.b` or `workspaces.NAME.a.b`."""
        name, keys = split_path(path)
        stored = self.read()
        held = stored.get(name)
        changed = copy.deepcopy(held.envelope.value) if held else {}
        place = changed
        for key in keys[:-1]:
            place = place.setdefault(key, {})
            if not isinstance(place, dict):
                raise SettingsInvalid(f'{path}: {key} holds no keys')
        place[keys[-1]] = value
        check_object(name, changed)
        stored[name] = Stored(first_version(name, self._edit(), changed), '')
        check_references(self._tree_of(stored))
        return self._write(name, held, changed)

    def _edit(self) -> Edit:
        return Edit(self._environment.fresh_id(), self._environment.unix_time(), self._author)

    def _write(self, name: str, held: Stored | None, value: dict, deleted: bool = False) -> Applied:
        check_object(name, value)
        if held and held.envelope.value == value and held.envelope.deleted == deleted:
            last = held.envelope.edits[-1]
            return Applied(name, held.envelope.revision, last.id, False)
        edit = self._edit()
        if held:
            envelope = held.envelope.next_version(edit, value, deleted)
        else:
            envelope = first_version(name, edit, value)
        self._put(envelope, held.version if held else '', edit)
        return Applied(name, envelope.revision, edit.id, True)

    def _put(self, envelope: Envelope, version: str, edit: Edit) -> None:
        """Write until it is known whether the edit stands.

        The condition makes it safe to write again: it can succeed once.  A
        lost answer is resolved by looking for the edit's id.
        """
        item = PlatformObject(envelope.name, envelope.to_spec(), version)
        lost = False
        for _ in range(WRITE_TRIES):
            try:
                self._platform.put(ObjectKind.SETTINGS, item)
                return
            except PlatformConflict as error:
                if lost and self._stands(envelope.name, edit):
                    return
                raise SettingsConflict(self._conflict(envelope)) from error
            except PlatformUnavailable:
                lost = True
                self._environment.sleep(RETRY_SECONDS)
        raise PlatformUnavailable(
            f'{envelope.name}: the platform did not answer; the edit {edit.id} may stand. '
            'Apply again when it does: nothing is written twice.'
        )

    def _stands(self, name: str, edit: Edit) -> bool:
        found = self._platform.get(ObjectKind.SETTINGS, name)
        edits = Envelope.from_spec(name, found.spec).edits
        return any(held.id == edit.id for held in edits)

    def _conflict(self, mine: Envelope) -> str:
        try:
            found = self._platform.get(ObjectKind.SETTINGS, mine.name)
        except (PlatformNotFound, PlatformUnavailable):
            return f'{mine.name}: changed by another operator'
        theirs = Envelope.from_spec(mine.name, found.spec)
        last = theirs.edits[-1]
        text = difference(theirs.value, mine.value, 'in the platform', 'yours')
        return f'{mine.name}: {last.author} changed it first (edit {last.id})\n{text}'


def split_path(path: str) -> tuple[str, list[str]]:
    """The object that a path is in, and the keys inside it."""
    first, *keys = path.split('.')
    if first == 'fleet' and keys:
        return FLEET_OBJECT, keys
    if first == 'workspaces' and len(keys) >= 2:
        return WORKSPACE_PREFIX + keys[0], keys[1:]
    raise SettingsInvalid(f'{path}: begin with "fleet." or "workspaces.NAME."')


def tree_values(tree: Tree) -> dict:
    """The tree as the file an operator would write."""
    values: dict = {'fleet': {}, 'workspaces': {}}
    for item in tree.objects:
        if item.name == FLEET_OBJECT:
            values['fleet'] = item.spec
        else:
            values['workspaces'][item.name.removeprefix(WORKSPACE_PREFIX)] = item.spec
    return {'fleet': values['fleet'], 'workspaces': values['workspaces']}


def to_yaml(value: object) -> str:
    """YAML as a person would write it."""
    text = yaml.safe_dump(value, sort_keys=False, allow_unicode=True).rstrip()
    # A value on its own is closed by a mark that a person has no use for.
    return text.removesuffix('...').rstrip()


def difference(old: object, new: object, old_name: str, new_name: str) -> str:
    """What changed, as a unified diff of YAML; empty if nothing did."""
    lines = difflib.unified_diff(
        to_yaml(old).splitlines(), to_yaml(new).splitlines(), old_name, new_name, lineterm=''
    )
    return '\n'.join(lines)
