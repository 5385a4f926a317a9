"""Messages between boxes over gRPC."""

from .calls import (
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    ClaimAsk,
    FleetLists,
    RelayedCall,
)
from .client import PeerClient
from .codec import CasesPage, EndsKnown
from .datagrams import DigestPort, EncodedDigest
from .digest_codec import MESSAGE_OVERHEAD_BYTES, DigestReader, encode_digest
from .names import NameTable
from .server import PeerHandler, PeerServer

__all__ = [
    'MESSAGE_OVERHEAD_BYTES',
    'AnswerEnd',
    'AnswerHead',
    'AnswerPart',
    'CasesPage',
    'ClaimAsk',
    'DigestPort',
    'DigestReader',
    'EncodedDigest',
    'EndsKnown',
    'FleetLists',
    'NameTable',
    'PeerClient',
    'PeerHandler',
    'PeerServer',
    'RelayedCall',
    'encode_digest',
]
