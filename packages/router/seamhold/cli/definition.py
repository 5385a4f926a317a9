"""The commands; fire builds the command line and its help from these classes."""

from collections.abc import Callable
from json import dumps
from pathlib import Path

import yaml

from seamhold_messages.errors import SettingsInvalid
from seamhold_platform import PlatformClient
from seamhold_settings import load_tree

from .. import __version__
from ..box_client import BoxClient
from ..callers import hash_key
from ..config import load_box_config
from ..context import Environment
from ..editing import ApplyResult, SettingsEditor, split_path, to_yaml, tree_values, unified_diff
from ..explaining import LogLine, explain, explain_digest, read_line
from ..logs import setup_logs
from ..status import ExitStatus
from . import constants
from .exceptions import UsageError


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f'{path}: {error}') from error


class SettingsCommands:
    """Read and change the settings tree."""

    def __init__(self, environment: Environment):
        self._environment = environment

    def _editor(self, platform: str) -> SettingsEditor:
        url = platform or self._environment.variables.get(constants.PLATFORM_VARIABLE, '')
        if not url:
            raise UsageError(f'add --platform URL, or set {constants.PLATFORM_VARIABLE}')
        variables = self._environment.variables
        author = variables.get(constants.AUTHOR_VARIABLE, constants.UNKNOWN_AUTHOR)
        return SettingsEditor(PlatformClient(url), self._environment, author)

    def check(self, file: str) -> ExitStatus:
        """Check the settings tree in FILE without writing anything."""
        tree = load_tree(_read_file(file))
        services = len(tree.fleet.services)
        self._environment.print_line(
            f'{file}: valid, {services} services and {len(tree.workspaces)} workspaces'
        )
        return ExitStatus.SUCCESS

    def apply(self, file: str, platform: str = '', prune: bool = False) -> ExitStatus:
        """Write the tree in FILE to the platform; --prune removes objects that are not in it."""
        tree = load_tree(_read_file(file))
        for result in self._editor(platform).apply(tree, prune):
            self._print_result(result)
        return ExitStatus.SUCCESS

    def _print_result(self, result: ApplyResult) -> None:
        what = 'written' if result.changed else 'unchanged'
        self._environment.print_line(
            f'{result.name}: {what}, revision {result.revision}, edit {result.edit_id}'
        )

    def get(self, path: str = '', platform: str = '') -> ExitStatus:
        """Print the tree, or the part at PATH (workspaces.NAME.limits)."""
        value = tree_values(self._editor(platform).read_tree())
        for key in filter(None, str(path).split('.')):
            if not isinstance(value, dict) or key not in value:
                raise SettingsInvalid(f'{path}: not set at this level')
            value = value[key]
        self._environment.print_line(to_yaml(value))
        return ExitStatus.SUCCESS

    def set(self, path: str, value: str, platform: str = '') -> ExitStatus:
        """Change one key: `set workspaces.NAME.limits.requests_in_flight 40`."""
        split_path(path)
        parsed = yaml.safe_load(value) if isinstance(value, str) else value
        self._print_result(self._editor(platform).set(path, parsed))
        return ExitStatus.SUCCESS

    def diff(self, file: str, platform: str = '') -> ExitStatus:
        """Show what applying FILE would change; exits with 7 if there are differences."""
        wanted = tree_values(load_tree(_read_file(file)))
        current = tree_values(self._editor(platform).read_tree())
        text = unified_diff(current, wanted, 'in the platform', file)
        if not text:
            self._environment.print_line('no difference')
            return ExitStatus.SUCCESS
        self._environment.print_line(text)
        return ExitStatus.DIFFERS

    def history(self, name: str = 'fleet', platform: str = '') -> ExitStatus:
        """Show the edits of an object, newest last: `fleet` or `workspace.NAME`."""
        stored = self._editor(platform).read()
        if name not in stored:
            raise SettingsInvalid(f'{name}: no such object; existing: {", ".join(sorted(stored))}')
        envelope = stored[name].envelope
        first = envelope.revision - len(envelope.edits) + 1
        for number, edit in enumerate(envelope.edits, first):
            self._environment.print_line(f'{number}  {edit.at:.0f}  {edit.author}  {edit.id}')
        return ExitStatus.SUCCESS


class QuarantineCommands:
    """List requests that ended engines, or allow one to run again."""

    def __init__(self, find_box: Callable[[str, str], BoxClient], environment: Environment):
        self._find_box = find_box
        self._environment = environment

    def list(self, box: str = '', key: str = '') -> ExitStatus:
        """Show the requests in quarantine that the box at URL knows."""
        found = self._find_box(box, key).status().get('quarantine', [])
        self._environment.print_line(to_yaml(found) if found else 'none')
        return ExitStatus.SUCCESS

    def lift(self, request: str, box: str = '', key: str = '') -> ExitStatus:
        """Allow the request with digest REQUEST to run again; exits with 6 if it is unknown."""
        if not self._find_box(box, key).lift(str(request)):
            self._environment.print_line(f'{request}: this request is unknown to the box')
            return ExitStatus.NOT_FOUND
        self._environment.print_line(f'{request}: may run again, on all boxes within seconds')
        return ExitStatus.SUCCESS


class Commands:
    """seamhold: a router fleet between callers and model engines."""

    def __init__(self, environment: Environment):
        self._environment = environment
        self.settings = SettingsCommands(environment)
        self.quarantine = QuarantineCommands(self._box, environment)

    def _box(self, box: str, key: str) -> BoxClient:
        variables = self._environment.variables
        url = box or variables.get(constants.BOX_VARIABLE, '')
        if not url:
            raise UsageError(f'add --box URL, or set {constants.BOX_VARIABLE}')
        return BoxClient(url, key or variables.get(constants.KEY_VARIABLE, ''))

    def serve(self, settings: str) -> ExitStatus:
        """Run a box with the box file SETTINGS until it is stopped."""
        config = load_box_config(settings)
        if config.dialect:
            from ..forwarding.box import serve as serve_forwarding

            serve_forwarding(config, self._environment)
            return ExitStatus.SUCCESS
        # Imported here, because only this kind of box serves CherryPy pages.
        from ..serve import serve

        setup_logs(self._environment.stderr, config.log_level)
        serve(config, self._environment)
        return ExitStatus.SUCCESS

    def status(self, box: str = '', key: str = '') -> ExitStatus:
        """Show the status of the box at URL; exits with 5 if it is not ready."""
        value = self._box(box, key).status()
        self._environment.print_line(to_yaml(value))
        return ExitStatus.SUCCESS if value.get('ready') else ExitStatus.UNAVAILABLE

    def drain(self, box: str = '', key: str = '') -> ExitStatus:
        """Stop the box at URL gracefully: calls in flight are finished, not cut."""
        value = self._box(box, key).drain()
        self._environment.print_line(f'stopping; {value["calls"]} calls to finish')
        return ExitStatus.SUCCESS

    def explain(self, request_id: str, *logs: str, json: bool = False) -> ExitStatus:
        """Explain from the boxes' LOGS what happened to a request; exits with 6 if unknown."""
        lines = self._log_lines(logs)
        explanation = explain(str(request_id), lines)
        if explanation is None:
            self._environment.print_line(
                f'{request_id}: not in the {len(lines)} lines of {len(logs)} logs; '
                'another box may have served it, or the logs are incomplete'
            )
            return ExitStatus.NOT_FOUND
        self._environment.print_line(
            dumps(explanation.as_values()) if json else explanation.as_text()
        )
        return ExitStatus.SUCCESS

    def explain_digest(self, digest: str, *logs: str) -> ExitStatus:
        """Show from the boxes' LOGS what happened to a request that came under many ids."""
        found = explain_digest(str(digest), self._log_lines(logs))
        for line in found:
            self._environment.print_line(
                f'{line.at}  {line.where}  {line.event}  {dumps(line.fields)}'
            )
        engines = {
            line.fields['engine'] for line in found if line.event == 'engine.ended_under_call'
        }
        self._environment.print_line(f'{len(engines)} engines ended under {digest}')
        return ExitStatus.SUCCESS if found else ExitStatus.NOT_FOUND

    @staticmethod
    def _log_lines(logs: tuple[str, ...]) -> list[LogLine]:
        if not logs:
            raise UsageError("add the paths of the boxes' log files")
        return [
            line
            for path in logs
            for text in _read_file(path).splitlines()
            if (line := read_line(text, Path(path).name))
        ]

    def hash(self, key: str) -> ExitStatus:
        """Print the hash of a caller's KEY, as it is written in the settings."""
        self._environment.print_line(hash_key(str(key)))
        return ExitStatus.SUCCESS

    def version(self) -> ExitStatus:
        """Print the version."""
        self._environment.print_line(f'{constants.PROGRAM} {__version__}')
        return ExitStatus.SUCCESS
