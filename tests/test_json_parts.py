"""JSON texts that are split before they are decoded."""

import json

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold_messages.errors import PlatformUnreadable
from seamhold_platform import JsonUnreadable, ObjectKind, PlatformClient, json_parts
from seamhold_platform.json_parts import DEPTH_MAX, decode, elements, members
from standins.platform import Platform

HOST = '127.0.0.1'
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=12,
)
SPACES = st.sampled_from(['', ' ', '\n\t ', '\r'])


def split_and_decode(value: object, text: bytes) -> object:
    """Decode part by part what `json.loads` decodes as a whole."""
    if isinstance(value, dict):
        return {name: decode(part) for name, part in members(text).items()}
    if isinstance(value, list):
        return [decode(part) for part in elements(text)]
    return decode(text)


class TestJsonParts(testtools.TestCase):
    @given(VALUES, SPACES, st.booleans())
    def test_parts_of_any_text_have_the_values_of_the_whole(self, value, space, ascii_only):
        text = json.dumps(value, ensure_ascii=ascii_only, separators=(f'{space},', f'{space}:'))
        spaced = (space + text + space).encode('utf-8', 'replace')
        self.assertEqual(json_parts.decode(spaced), split_and_decode(value, spaced.strip()))

    @given(st.binary(max_size=40) | st.text('[]{}",:\\ax1', max_size=40).map(str.encode))
    def test_any_other_text_is_a_typed_error(self, text):
        for read in (decode, members, elements):
            try:
                read(text)
            except JsonUnreadable:
                continue

    def test_depth_and_size_are_limited(self):
        deepest = b'[' * DEPTH_MAX + b']' * DEPTH_MAX
        decode(deepest)
        self.assertRaises(JsonUnreadable, decode, b'[' + deepest + b']')
        decode(b'"12345678"', max_bytes=10)
        self.assertRaises(JsonUnreadable, decode, b'"123456789"', max_bytes=10)

    def test_a_string_without_an_end_is_scanned_once(self):
        for text in (b'{"' + b'\\"' * 1_000_000, b'["' + b'"\\' * 1_000_000):
            self.assertRaises(JsonUnreadable, members, text)
            self.assertRaises(JsonUnreadable, elements, text)

    def test_halves_of_surrogate_pairs_are_replaced(self):
        self.assertEqual(['\ufffd', '\U0001f600'], decode(b'["\\ud83d", "\\uD83D\\uDE00"]'))


class TestPlatformClient(testtools.TestCase):
    """The client of the product's own protocol."""

    def setUp(self):
        super().setUp()
        self.platform = Platform().start()
        self.addCleanup(self.platform.stop)
        self.unnamed: list[bytes] = []
        self.client = PlatformClient(
            f'http://{HOST}:{self.platform.port}',
            on_unnamed=lambda text, error: self.unnamed.append(text),
        )
        self.addCleanup(self.client.close)
        self.store = self.platform.store
        deep: list = []
        for _ in range(2 * DEPTH_MAX):
            deep = [deep]
        self.at = self.client.list(ObjectKind.ENGINES).version
        for name, extra in (('a', 1), ('deep', deep), ('b', 1)):
            spec = {'service': 's', 'extra': extra}
            self.store.write('engines', {'metadata': {'name': name}, 'spec': spec}, True)
        self.store.write('engines', {'metadata': {'name': None}, 'spec': {}}, True)

    def test_an_entry_that_cannot_be_decoded_keeps_no_other_entry_from_a_list(self):
        listed = self.client.list(ObjectKind.ENGINES).objects
        self.assertEqual(['a', 'b'], [item.name for item in listed if not item.unreadable])
        self.assertEqual(['deep'], [item.name for item in listed if item.unreadable])
        self.assertEqual((1, 1), (self.client.unnamed, len(self.unnamed)))

    def test_an_entry_that_cannot_be_decoded_does_not_end_a_watch(self):
        events = self.client.watch(ObjectKind.ENGINES, self.at, 0.2)
        changed = [event.object for event in events if event.object.name]
        self.assertEqual(['a', 'b'], [item.name for item in changed if not item.unreadable])

    def test_an_object_that_cannot_be_decoded_is_not_read_as_an_empty_one(self):
        self.assertRaises(PlatformUnreadable, self.client.get, ObjectKind.ENGINES, 'deep')
