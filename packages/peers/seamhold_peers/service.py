"""The calls between boxes: their paths and the types of their messages."""

from enum import StrEnum

from grpclib.client import Channel, UnaryStreamMethod, UnaryUnaryMethod

from seamhold_quarantine import EndReport, Permission, TrialRequest, TrialResult

from . import codec
from .calls import ClaimAsk, RelayedCall


class Path(StrEnum):
    """Where each call is sent."""

    PULL_SETTINGS = '/seamhold.peers.v1.Peers/PullSettings'
    PULL_LISTS = '/seamhold.peers.v1.Peers/PullLists'
    PULL_LEARNED = '/seamhold.peers.v1.Peers/PullLearned'
    DISPATCH = '/seamhold.peers.v1.Peers/Dispatch'
    CLAIM = '/seamhold.peers.v1.Peers/Claim'
    PULL_CASES = '/seamhold.peers.v1.Peers/PullCases'
    TELL_CASES = '/seamhold.peers.v1.Peers/TellCases'
    ENGINE_ENDED = '/seamhold.peers.v1.Peers/EngineEnded'
    ASK_TRIAL = '/seamhold.peers.v1.Peers/AskTrial'
    END_TRIAL = '/seamhold.peers.v1.Peers/EndTrial'


class PeerStub:
    """The client's side of the calls, on one channel."""

    def __init__(self, channel: Channel):
        self.pull_settings = UnaryUnaryMethod(
            channel, Path.PULL_SETTINGS, codec.SettingsKnown, codec.SettingsPage
        )
        self.pull_lists = UnaryUnaryMethod(
            channel, Path.PULL_LISTS, codec.ListsWanted, codec.PackedLists
        )
        self.pull_learned = UnaryUnaryMethod(
            channel, Path.PULL_LEARNED, codec.LearnedWanted, codec.PackedHoldings
        )
        self.dispatch = UnaryStreamMethod(channel, Path.DISPATCH, RelayedCall, codec.AnswerMessage)
        self.claim = UnaryUnaryMethod(channel, Path.CLAIM, ClaimAsk, codec.ClaimReply)
        self.pull_cases = UnaryUnaryMethod(
            channel, Path.PULL_CASES, codec.CasesWanted, codec.CasesPage
        )
        self.tell_cases = UnaryUnaryMethod(channel, Path.TELL_CASES, codec.CasesPage, codec.Heard)
        self.engine_ended = UnaryUnaryMethod(channel, Path.ENGINE_ENDED, EndReport, codec.EndsKnown)
        self.ask_trial = UnaryUnaryMethod(channel, Path.ASK_TRIAL, TrialRequest, Permission)
        self.end_trial = UnaryUnaryMethod(channel, Path.END_TRIAL, TrialResult, codec.Heard)
