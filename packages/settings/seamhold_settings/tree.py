"""The operators' YAML file and the platform objects that it is stored as.

The fleet and each workspace are separate objects, so that each stays far below
the platform's limit of one megabyte and edits of different workspaces do not conflict.
"""

from collections.abc import Iterable

import yaml
from msgspec import field

from seamhold_messages.errors import SettingsInvalid

from .checking import check
from .resolve import SettingsObject, Tree
from .schema import FleetSpec, Strict, WorkspaceSpec

FLEET_OBJECT = 'fleet'
#: A complete tree stored as one object, used where operators write it as one.
TREE_OBJECT = 'tree'
WORKSPACE_PREFIX = 'workspace.'


class SettingsFile(Strict):
    """A settings file as applied by an operator."""

    fleet: FleetSpec = FleetSpec()
    workspaces: dict[str, WorkspaceSpec] = field(default_factory=dict)


def parse_yaml(text: str) -> object:
    """Parse YAML to plain values; raises SettingsInvalid that names the line."""
    try:
        return yaml.safe_load(text) or {}
    except yaml.YAMLError as error:
        raise SettingsInvalid(f'not YAML: {error}') from error


def check_references(tree: Tree) -> None:
    """Raise SettingsInvalid for an unknown service or a key that two workspaces share."""
    for name, workspace_spec in tree.workspaces.items():
        for service in workspace_spec.services:
            if service not in tree.fleet.services:
                path = f'workspaces.{name}.services.{service}'
                raise SettingsInvalid(f'{path}: the fleet offers no service of this name')
    owners: dict[str, str] = {}
    for name, workspace_spec in tree.workspaces.items():
        for key in workspace_spec.keys:
            if owners.setdefault(key, name) != name:
                path = f'workspaces.{name}.keys'
                raise SettingsInvalid(f'{path}: a key also belongs to workspace {owners[key]!r}')


def load_tree(text: str) -> Tree:
    """Parse and validate a settings file, including references between its objects."""
    tree = read_tree(parse_yaml(text))
    check_references(tree)
    return tree


def read_tree(values: dict) -> Tree:
    """Build the tree of a file's values; raises SettingsInvalid."""
    settings_file = check(SettingsFile, values)
    return Tree(settings_file.fleet, dict(settings_file.workspaces), split_into_objects(values))


def split_into_objects(values: dict) -> tuple[SettingsObject, ...]:
    """Split the values of a validated file into objects, the fleet first.

    Values stay as written: omitted keys are not filled in and remain inherited.
    """
    workspaces = values.get('workspaces', {})
    objects = [SettingsObject(FLEET_OBJECT, values.get('fleet', {}))]
    objects += [
        SettingsObject(WORKSPACE_PREFIX + name, workspaces[name]) for name in sorted(workspaces)
    ]
    return tuple(objects)


def check_object(name: str, spec: object) -> FleetSpec | WorkspaceSpec | SettingsFile:
    """Validate an object's spec as the type given by its name; raises SettingsInvalid."""
    if name == TREE_OBJECT:
        return check(SettingsFile, spec)
    if name == FLEET_OBJECT:
        return check(FleetSpec, spec)
    if name.startswith(WORKSPACE_PREFIX):
        return check(WorkspaceSpec, spec)
    raise SettingsInvalid(f'{name}: name is neither {FLEET_OBJECT!r} nor {WORKSPACE_PREFIX}NAME')


def build_tree(
    specs: dict[str, FleetSpec | WorkspaceSpec | SettingsFile],
    objects: Iterable[SettingsObject] = (),
) -> Tree:
    """Build the tree of validated specs; a spec of a complete tree replaces all others.

    `objects` are the objects it was read from, for callers that write it back.
    """
    complete = specs.get(TREE_OBJECT)
    if isinstance(complete, SettingsFile):
        return Tree(complete.fleet, dict(complete.workspaces))
    workspaces = {
        name.removeprefix(WORKSPACE_PREFIX): spec
        for name, spec in specs.items()
        if name.startswith(WORKSPACE_PREFIX)
    }
    return Tree(specs.get(FLEET_OBJECT, FleetSpec()), workspaces, tuple(objects))
