"""Changes the settings tree for operators: conditional writes, each with an edit id."""

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

#: Attempts at a write whose answer was lost, and the pause between them.
WRITE_ATTEMPTS = 6
RETRY_SECONDS = 0.3


class StoredObject(Struct, frozen=True):
    """One object as the platform stores it."""

    envelope: Envelope
    version: str


class ApplyResult(Struct, frozen=True):
    """The result of writing one object."""

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

    def read(self) -> dict[str, StoredObject]:
        """Return all stored objects by name."""
        page = self._platform.list(ObjectKind.SETTINGS)
        found = {}
        for item in page.objects:
            found[item.name] = StoredObject(Envelope.from_spec(item.name, item.spec), item.version)
        return found

    def read_tree(self) -> Tree:
        """Return the tree that the platform stores."""
        return self._tree_of(self.read())

    @staticmethod
    def _tree_of(stored: dict[str, StoredObject]) -> Tree:
        objects = [
            SettingsObject(name, entry.envelope.value)
            for name, entry in sorted(stored.items())
            if not entry.envelope.deleted
        ]
        specs = {item.name: check_object(item.name, item.spec) for item in objects}
        return build_tree(specs, objects)

    def apply(self, tree: Tree, prune: bool = False) -> list[ApplyResult]:
        """Write the objects of `tree` that differ from the stored ones.

        Objects that are not in `tree` stay unless `prune` is set.  Raises
        SettingsConflict when another operator wrote first; objects written before
        that stay written, and applying again continues from there.
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

    def set(self, path: str, value: object) -> ApplyResult:
        """Change one key: `fleet.a.b` or `workspaces.NAME.a.b`."""
        name, keys = split_path(path)
        stored = self.read()
        current = stored.get(name)
        changed = copy.deepcopy(current.envelope.value) if current else {}
        node = changed
        for key in keys[:-1]:
            node = node.setdefault(key, {})
            if not isinstance(node, dict):
                raise SettingsInvalid(f'{path}: {key} is not a mapping')
        node[keys[-1]] = value
        check_object(name, changed)
        stored[name] = StoredObject(first_version(name, self._edit(), changed), '')
        check_references(self._tree_of(stored))
        return self._write(name, current, changed)

    def _edit(self) -> Edit:
        return Edit(self._environment.new_id(), self._environment.unix_time(), self._author)

    def _write(
        self, name: str, current: StoredObject | None, value: dict, deleted: bool = False
    ) -> ApplyResult:
        check_object(name, value)
        if current and current.envelope.value == value and current.envelope.deleted == deleted:
            last = current.envelope.edits[-1]
            return ApplyResult(name, current.envelope.revision, last.id, False)
        edit = self._edit()
        if current:
            envelope = current.envelope.next_version(edit, value, deleted)
        else:
            envelope = first_version(name, edit, value)
        self._put(envelope, current.version if current else '', edit)
        return ApplyResult(name, envelope.revision, edit.id, True)

    def _put(self, envelope: Envelope, version: str, edit: Edit) -> None:
        """Write until it is known whether the edit was applied.

        The write is conditional on the version, so it can succeed only once and is
        safe to retry.  After a lost answer the edit's id shows whether it was applied.
        """
        item = PlatformObject(envelope.name, envelope.to_spec(), version)
        lost = False
        for _ in range(WRITE_ATTEMPTS):
            try:
                self._platform.put(ObjectKind.SETTINGS, item)
                return
            except PlatformConflict as error:
                if lost and self._was_applied(envelope.name, edit):
                    return
                raise SettingsConflict(self._conflict(envelope)) from error
            except PlatformUnavailable:
                lost = True
                self._environment.sleep(RETRY_SECONDS)
        raise PlatformUnavailable(
            f'{envelope.name}: the platform did not answer; edit {edit.id} may be applied. '
            'Apply again when it is available: nothing is written twice.'
        )

    def _was_applied(self, name: str, edit: Edit) -> bool:
        found = self._platform.get(ObjectKind.SETTINGS, name)
        edits = Envelope.from_spec(name, found.spec).edits
        return any(written.id == edit.id for written in edits)

    def _conflict(self, mine: Envelope) -> str:
        try:
            found = self._platform.get(ObjectKind.SETTINGS, mine.name)
        except (PlatformNotFound, PlatformUnavailable):
            return f'{mine.name}: changed by another operator'
        theirs = Envelope.from_spec(mine.name, found.spec)
        last = theirs.edits[-1]
        text = unified_diff(theirs.value, mine.value, 'in the platform', 'yours')
        return f'{mine.name}: {last.author} changed it first (edit {last.id})\n{text}'


def split_path(path: str) -> tuple[str, list[str]]:
    """Return the name of the object that a path is in, and the keys inside it."""
    first, *keys = path.split('.')
    if first == 'fleet' and keys:
        return FLEET_OBJECT, keys
    if first == 'workspaces' and len(keys) >= 2:
        return WORKSPACE_PREFIX + keys[0], keys[1:]
    raise SettingsInvalid(f'{path}: begin with "fleet." or "workspaces.NAME."')


def tree_values(tree: Tree) -> dict:
    """Return the tree as the mapping of an operator's settings file."""
    values: dict = {'fleet': {}, 'workspaces': {}}
    for item in tree.objects:
        if item.name == FLEET_OBJECT:
            values['fleet'] = item.spec
        else:
            values['workspaces'][item.name.removeprefix(WORKSPACE_PREFIX)] = item.spec
    return {'fleet': values['fleet'], 'workspaces': values['workspaces']}


def to_yaml(value: object) -> str:
    """Return a value as readable YAML, without an end marker."""
    text = yaml.safe_dump(value, sort_keys=False, allow_unicode=True).rstrip()
    # PyYAML ends a bare scalar with the document end marker "...".
    return text.removesuffix('...').rstrip()


def unified_diff(old: object, new: object, old_name: str, new_name: str) -> str:
    """Return a unified diff of two values as YAML; empty if they are equal."""
    lines = difflib.unified_diff(
        to_yaml(old).splitlines(), to_yaml(new).splitlines(), old_name, new_name, lineterm=''
    )
    return '\n'.join(lines)
