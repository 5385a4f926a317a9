"""Finds the dialect that a box file names, by entry point."""

from importlib.metadata import entry_points

from seamhold_messages.errors import SettingsInvalid

from .ports import Dialect

GROUP = 'seamhold.dialects'


def find_dialect(name: str) -> Dialect:
    """The dialect of this name, or SettingsInvalid that names those installed."""
    installed = {point.name: point for point in entry_points(group=GROUP)}
    if name not in installed:
        known = ', '.join(sorted(installed)) or 'none'
        raise SettingsInvalid(f'dialect: no {name!r} is installed; there are: {known}')
    return installed[name].load()()
