"""The platform's names occur only in the platform's folder."""

from pathlib import Path

import testtools

ROOT = Path(__file__).parent.parent
FOLDERS = ('packages', 'standins', 'tests', 'scenarios', 'models', 'measure', 'examples')
# Concatenated, so that this file does not contain the names itself.
PLATFORM_WORDS = (
    'X-' + 'Seamhold-',
    '/seamhold' + '/objects',
    '/seamhold' + '/ready',
    'api' + 'Keys',
    'traffic' + 'Split',
    'path' + 'Prefix',
    'Kv-' + 'Fetch',
    'seamhold_' + 'kusina',
)
SUFFIXES = {'.py', '.yaml', '.toml', '.feature', '.proto'}


class TestBoundaries(testtools.TestCase):
    def test_no_other_folder_contains_the_platforms_names(self):
        found = [
            f'{path.relative_to(ROOT)}: {word}'
            for folder in FOLDERS
            for path in sorted((ROOT / folder).rglob('*'))
            if path.suffix in SUFFIXES
            for word in PLATFORM_WORDS
            if word in path.read_text(encoding='utf-8')
        ]
        self.assertEqual([], found)

    def test_the_platforms_folder_is_not_a_package(self):
        self.assertFalse((ROOT / 'platform' / '__init__.py').exists())
