"""The operators' YAML file, and the objects it is kept as.

The fleet and each workspace are an object of their own, so that each stays
far below the platform's megabyte and two operators who edit two workspaces
do not meet.
"""

from dataclasses import dataclass
from typing import TypeVar

import yaml
from pydantic import BaseModel, Field, ValidationError

from seamhold_messages.errors import SettingsInvalid

from .resolve import Tree
from .schema import FleetSpec, ForwardedRoute, Strict, WorkspaceSpec

FLEET_OBJECT = 'fleet'
#: A whole tree kept as one object, where operators write it as one.
TREE_OBJECT = 'tree'
WORKSPACE_PREFIX = 'workspace.'

SpecT = TypeVar('SpecT', bound=BaseModel)


class SettingsFile(Strict):
    """The file an operator applies."""

    fleet: FleetSpec = Field(default_factory=FleetSpec)
    workspaces: dict[str, WorkspaceSpec] = Field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SettingsObject:
    """One part of the tree under the name it is kept by."""

    name: str
    spec: dict


def explain(error: ValidationError) -> str:
    """Path, value and rule of each thing that is wrong, a line each."""
    lines = []
    for problem in error.errors():
        path = '.'.join(str(part) for part in problem['loc']) or '(top)'
        lines.append(f'{path}: {problem["msg"]} (got {problem["input"]!r:.80})')
    return '\n'.join(lines)


def check(kind: type[SpecT], values: object) -> SpecT:
    """Read `values` as `kind`, or raise SettingsInvalid that says why."""
    try:
        return kind.model_validate(values)
    except ValidationError as error:
        raise SettingsInvalid(explain(error)) from error


def parse_yaml(text: str) -> object:
    """YAML to plain values, or SettingsInvalid with the line."""
    try:
        return yaml.safe_load(text) or {}
    except yaml.YAMLError as error:
        raise SettingsInvalid(f'not YAML: {error}') from error


def check_references(tree: Tree) -> None:
    """Refuse a workspace that uses a service the fleet does not offer."""
    for name, space in tree.workspaces.items():
        for service in space.services:
            if service not in tree.fleet.services:
                path = f'workspaces.{name}.services.{service}'
                raise SettingsInvalid(f'{path}: the fleet offers no service of this name')
    owners: dict[str, str] = {}
    for name, space in tree.workspaces.items():
        for key in space.keys:
            if owners.setdefault(key, name) != name:
                path = f'workspaces.{name}.keys'
                raise SettingsInvalid(f'{path}: a key of workspace {owners[key]!r}')


def load_tree(text: str) -> Tree:
    """Read and check a whole file."""
    found = check(SettingsFile, parse_yaml(text))
    tree = Tree(found.fleet, dict(found.workspaces))
    check_references(tree)
    return tree


def split(tree: Tree) -> list[SettingsObject]:
    """The objects that together hold `tree`, the fleet first."""
    objects = [SettingsObject(FLEET_OBJECT, dump(tree.fleet))]
    for name, space in sorted(tree.workspaces.items()):
        objects.append(SettingsObject(WORKSPACE_PREFIX + name, dump(space)))
    return objects


def dump(spec: BaseModel) -> dict:
    """Only what was written, so that what is left out stays inherited."""
    return spec.model_dump(mode='json', exclude_unset=True)


def without_unsound_routes(values: dict) -> tuple[dict, list[str]]:
    """A tree's values without the forwarded routes that break the schema.

    One route that cannot be read must not keep the others from coming into
    force; the second part says what was left out and why.
    """
    fleet = dict(values.get('fleet') or {})
    sound, problems = [], []
    for number, route in enumerate(fleet.get('forwarding') or []):
        try:
            check(ForwardedRoute, route)
        except SettingsInvalid as error:
            problems.append(f'fleet.forwarding.{number}: {error.detail}')
        else:
            sound.append(route)
    fleet['forwarding'] = sound
    return values | {'fleet': fleet}, problems


def check_object(name: str, spec: object) -> FleetSpec | WorkspaceSpec | SettingsFile:
    """Read one object's spec by the kind that its name tells."""
    if name == TREE_OBJECT:
        return check(SettingsFile, spec)
    if name == FLEET_OBJECT:
        return check(FleetSpec, spec)
    if name.startswith(WORKSPACE_PREFIX):
        return check(WorkspaceSpec, spec)
    raise SettingsInvalid(f'{name}: neither {FLEET_OBJECT!r} nor {WORKSPACE_PREFIX}NAME')


def join(specs: dict[str, FleetSpec | WorkspaceSpec | SettingsFile]) -> Tree:
    """The tree that checked objects make up; a whole one stands for all."""
    whole = specs.get(TREE_OBJECT)
    if isinstance(whole, SettingsFile):
        return Tree(whole.fleet, dict(whole.workspaces))
    spaces = {
        name.removeprefix(WORKSPACE_PREFIX): spec
        for name, spec in specs.items()
        if name.startswith(WORKSPACE_PREFIX)
    }
    return Tree(specs.get(FLEET_OBJECT, FleetSpec()), spaces)
