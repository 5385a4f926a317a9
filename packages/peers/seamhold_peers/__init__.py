"""Digests and gRPC calls between boxes."""

from .calls import (
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    ClaimRequest,
    FleetLists,
    LivenessQuery,
    LivenessReply,
    RelayedCall,
    StreamQuery,
    StreamRecordsQuery,
    StreamReply,
)
from .client import PeerClient
from .codec import CasesPage, EndReportsReply
from .datagrams import DigestPort, EncodedDigest
from .digest_codec import MESSAGE_OVERHEAD_BYTES, DigestReader, encode_digest
from .names import NameTable
from .server import PeerHandler, PeerServer
from .tunnel import Tunnel, TunnelFailed, TunnelReply, TunnelRequest

__all__ = [
    'MESSAGE_OVERHEAD_BYTES',
    'AnswerEnd',
    'AnswerHead',
    'AnswerPart',
    'CasesPage',
    'ClaimRequest',
    'DigestPort',
    'DigestReader',
    'EncodedDigest',
    'EndReportsReply',
    'FleetLists',
    'LivenessQuery',
    'LivenessReply',
    'NameTable',
    'PeerClient',
    'PeerHandler',
    'PeerServer',
    'RelayedCall',
    'StreamQuery',
    'StreamRecordsQuery',
    'StreamReply',
    'Tunnel',
    'TunnelFailed',
    'TunnelReply',
    'TunnelRequest',
    'encode_digest',
]
