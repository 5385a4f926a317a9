"""Runs the examples of docs/EMBEDDING.md unchanged."""

import re
from pathlib import Path

import testtools

PAGE = Path(__file__).parent.parent / 'docs' / 'EMBEDDING.md'
BLOCK = re.compile(r'## (?P<title>[^\n]+)\n[^#]*?```python\n(?P<code>.*?)```', re.DOTALL)


class TestExamples(testtools.TestCase):
    def test_each_example(self):
        found = list(BLOCK.finditer(PAGE.read_text(encoding='utf-8')))
        self.assertEqual(7, len(found))
        for match in found:
            exec(compile(match['code'], match['title'], 'exec'), {})
