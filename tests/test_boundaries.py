"""Nothing outside the platform's folder knows the platform's names."""

from pathlib import Path

import testtools

ROOT = Path(__file__).parent.parent
FOLDERS = ('packages', 'standins', 'tests', 'scenarios', 'models', 'measure', 'examples')
# Put together here, so that this file does not hold them.
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
    def test_the_platforms_names_stay_in_its_folder(self):
        found = [
            f'{path.relative_to(ROOT)}: {word}'
            for folder in FOLDERS
            for path in sorted((ROOT / folder).rglob('*'))
            if path.suffix in SUFFIXES
            for word in PLATFORM_WORDS
            if word in path.read_text(encoding='utf-8')
        ]
        self.assertEqual([], found)

    def test_the_platforms_folder_is_no_package_of_that_name(self):
        self.assertFalse((ROOT / 'platform' / '__init__.py').exists())
