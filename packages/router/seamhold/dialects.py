"""Loads the dialect that a box file names, from its entry point."""

from importlib.metadata import entry_points

from seamhold_messages.errors import SettingsInvalid

from .ports import Dialect

ENTRY_POINT_GROUP = 'seamhold.dialects'


def find_dialect(name: str) -> Dialect:
    """Load a dialect by name; raises SettingsInvalid that lists the installed ones."""
    installed = {point.name: point for point in entry_points(group=ENTRY_POINT_GROUP)}
    if name not in installed:
        names = ', '.join(sorted(installed)) or 'none'
        raise SettingsInvalid(f'dialect: {name!r} is not installed; installed: {names}')
    return installed[name].load()()
