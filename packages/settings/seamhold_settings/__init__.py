"""The operators' settings tree: schema, inheritance and versions."""

from .resolve import ResolvedRoute, SettingsObject, Tree, resolve
from .schema import (
    FleetSpec,
    Limits,
    Placement,
    Policy,
    RouteSpec,
    ServiceKind,
    ServiceSpec,
    WorkspaceSpec,
)
from .tree import SettingsFile, load_tree, read_tree
from .versions import ActiveSettings, Candidate, OfferResult

__all__ = [
    'ActiveSettings',
    'Candidate',
    'FleetSpec',
    'Limits',
    'OfferResult',
    'Placement',
    'Policy',
    'ResolvedRoute',
    'RouteSpec',
    'ServiceKind',
    'ServiceSpec',
    'SettingsFile',
    'SettingsObject',
    'Tree',
    'WorkspaceSpec',
    'load_tree',
    'read_tree',
    'resolve',
]
