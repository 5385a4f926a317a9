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
from .schema import FleetSpec, Strict, WorkspaceSpec

FLEET_OBJECT = 'fleet'
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


def check_object(name: str, spec: object) -> FleetSpec | WorkspaceSpec:
    """Read one object's spec by the kind that its name tells."""
    if name == FLEET_OBJECT:
        return check(FleetSpec, spec)
    if name.startswith(WORKSPACE_PREFIX):
        return check(WorkspaceSpec, spec)
    raise SettingsInvalid(f'{name}: neither {FLEET_OBJECT!r} nor {WORKSPACE_PREFIX}NAME')


def join(specs: dict[str, FleetSpec | WorkspaceSpec]) -> Tree:
    """The tree that checked objects make up."""
    spaces = {
        name.removeprefix(WORKSPACE_PREFIX): spec
        for name, spec in specs.items()
        if name.startswith(WORKSPACE_PREFIX)
    }
    return Tree(specs.get(FLEET_OBJECT, FleetSpec()), spaces)
