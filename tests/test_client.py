"""The unmodified OpenAI client works against the chat completions API."""

import openai
import testtools

from tests.utils.stack import KEY, MODEL, Stack


class TestStockClient(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stack = Stack()
        self.addCleanup(self.stack.close)
        self.client = openai.OpenAI(
            api_key=KEY, base_url=f'{self.stack.url}/v1', max_retries=0, timeout=10
        )
        self.addCleanup(self.client.close)

    def test_models(self):
        self.assertEqual([MODEL], [model.id for model in self.client.models.list()])

    def test_answer_that_is_not_streamed(self):
        answer = self.client.chat.completions.create(
            model=MODEL, messages=[{'role': 'user', 'content': 'hi'}], max_tokens=4
        )
        self.assertEqual(4, len(answer.choices[0].message.content.split()))

    def test_streamed_answer(self):
        stream = self.client.chat.completions.create(
            model=MODEL, messages=[{'role': 'user', 'content': 'hi'}], max_tokens=4, stream=True
        )
        chunks = [chunk.choices[0].delta.content or '' for chunk in stream]
        self.assertEqual(4, len(''.join(chunks).split()))

    def test_a_broken_stream_raises(self):
        self.stack.engine.set_faults({'die_after_tokens': 2})
        stream = self.client.chat.completions.create(
            model=MODEL, messages=[{'role': 'user', 'content': 'hi'}], stream=True
        )
        self.assertRaises(openai.APIError, list, stream)

    def test_an_error_has_its_code(self):
        error = self.assertRaises(
            openai.NotFoundError,
            self.client.chat.completions.create,
            model='no-such-model',
            messages=[],
        )
        self.assertEqual('unknown_model', error.code)

    def test_a_wrong_key_is_unauthorized(self):
        wrong = openai.OpenAI(api_key='wrong', base_url=f'{self.stack.url}/v1', max_retries=0)
        self.addCleanup(wrong.close)
        self.assertRaises(openai.AuthenticationError, wrong.models.list)
