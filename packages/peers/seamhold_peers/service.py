"""gRPC calls between boxes: paths and message types."""

from enum import StrEnum
from typing import Any

from grpclib.client import Channel, StreamStreamMethod, UnaryStreamMethod, UnaryUnaryMethod

from seamhold_attempts.streams import StreamPage
from seamhold_messages.work import BoxRetries
from seamhold_quarantine import Permission, TrialRequest, TrialResult

from . import codec
from .calls import (
    ClaimRequest,
    LivenessQuery,
    LivenessReply,
    RelayedCall,
    StreamQuery,
    StreamRecordsQuery,
    StreamReply,
)
from .tunnel import TunnelMessage


class Path(StrEnum):
    """gRPC path of each call."""

    PULL_SETTINGS = '/seamhold.peers.v1.Peers/PullSettings'
    PULL_LISTS = '/seamhold.peers.v1.Peers/PullLists'
    PULL_LEARNED = '/seamhold.peers.v1.Peers/PullLearned'
    PULL_RETRIES = '/seamhold.peers.v1.Peers/PullRetries'
    DISPATCH = '/seamhold.peers.v1.Peers/Dispatch'
    CLAIM = '/seamhold.peers.v1.Peers/Claim'
    PULL_CASES = '/seamhold.peers.v1.Peers/PullCases'
    TELL_CASES = '/seamhold.peers.v1.Peers/TellCases'
    ENGINE_ENDED = '/seamhold.peers.v1.Peers/ReportEnds'
    ASK_TRIAL = '/seamhold.peers.v1.Peers/AskTrial'
    END_TRIAL = '/seamhold.peers.v1.Peers/EndTrial'
    RECORD_STREAMS = '/seamhold.peers.v1.Peers/RecordStreams'
    PULL_STREAMS = '/seamhold.peers.v1.Peers/PullStreams'
    FIND_STREAM = '/seamhold.peers.v1.Peers/FindStream'
    FIND_LIVENESS = '/seamhold.peers.v1.Peers/FindLiveness'
    TUNNEL = '/seamhold.peers.v1.Peers/Tunnel'


class PeerStub:
    """Client stub of the calls on one channel."""

    def __init__(self, channel: Channel):
        self.pull_settings = UnaryUnaryMethod(
            channel, Path.PULL_SETTINGS, codec.SettingsRequest, codec.SettingsPage
        )
        self.pull_lists = UnaryUnaryMethod(
            channel, Path.PULL_LISTS, codec.ListsRequest, codec.PackedLists
        )
        self.pull_learned = UnaryUnaryMethod(
            channel, Path.PULL_LEARNED, codec.LearnedRequest, codec.PackedHoldings
        )
        self.pull_retries = UnaryUnaryMethod(
            channel, Path.PULL_RETRIES, codec.RetriesRequest, BoxRetries
        )
        self.dispatch = UnaryStreamMethod(channel, Path.DISPATCH, RelayedCall, codec.AnswerMessage)
        self.claim = UnaryUnaryMethod(channel, Path.CLAIM, ClaimRequest, codec.ClaimReply)
        self.pull_cases = UnaryUnaryMethod(
            channel, Path.PULL_CASES, codec.CasesRequest, codec.CasesPage
        )
        self.send_cases = UnaryUnaryMethod(
            channel, Path.TELL_CASES, codec.CasesPage, codec.Acknowledgement
        )
        self.engine_ended = UnaryUnaryMethod(
            channel, Path.ENGINE_ENDED, codec.EndReports, codec.EndReportsReply
        )
        self.request_trial = UnaryUnaryMethod(channel, Path.ASK_TRIAL, TrialRequest, Permission)
        self.end_trial = UnaryUnaryMethod(
            channel, Path.END_TRIAL, TrialResult, codec.Acknowledgement
        )
        self.record_streams = UnaryUnaryMethod(
            channel, Path.RECORD_STREAMS, codec.StreamRecords, codec.Acknowledgement
        )
        self.pull_streams = UnaryUnaryMethod(
            channel, Path.PULL_STREAMS, StreamRecordsQuery, StreamPage
        )
        self.find_stream = UnaryUnaryMethod(channel, Path.FIND_STREAM, StreamQuery, StreamReply)
        self.find_liveness = UnaryUnaryMethod(
            channel, Path.FIND_LIVENESS, LivenessQuery, LivenessReply
        )
        message_type: Any = TunnelMessage
        self.tunnel: StreamStreamMethod = StreamStreamMethod(
            channel, Path.TUNNEL, message_type, message_type
        )
