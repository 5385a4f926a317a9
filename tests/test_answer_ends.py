"""Whether the end of an answer's bytes is taken for the end of the answer."""

import testtools

from seamhold.answer_ends import confirm_end
from seamhold.framing import Framing
from seamhold.ports import AttemptFailed, Cancellation
from seamhold.probing import Life, find_life
from seamhold_messages.errors import AnswerEndUnproven


class TestConfirmEnd(testtools.TestCase):
    def test_a_body_with_a_length_or_chunks_is_whole_without_a_probe(self):
        for framing in (Framing.LENGTH, Framing.CHUNKS):
            confirm_end(framing, Cancellation(), lambda: self.fail('the server was probed'))

    def test_a_server_that_is_not_shown_to_live_did_not_end_its_answer(self):
        confirm_end(Framing.CONNECTION, Cancellation(), lambda: Life.ALIVE)
        for find in (lambda: Life.ENDED, lambda: Life.UNKNOWN):
            failed = self.assertRaises(
                AttemptFailed, confirm_end, Framing.CONNECTION, Cancellation(), find
            )
            self.assertIsInstance(failed.error, AnswerEndUnproven)

    def test_a_cancelled_call_did_not_end_its_answer(self):
        cancellation = Cancellation()
        cancellation.cancel()
        self.assertRaises(
            AttemptFailed, confirm_end, Framing.CONNECTION, cancellation, lambda: Life.ALIVE
        )


class TestFindLife(testtools.TestCase):
    def test_a_connection_that_times_out_shows_no_life(self):
        def connect():
            raise TimeoutError

        self.assertIs(Life.UNKNOWN, find_life(connect))
