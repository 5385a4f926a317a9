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
from .codec import MESSAGE_OVERHEAD_BYTES, NameTable, decode_digest, encode_digest
from .server import PeerHandler, PeerServer

__all__ = [
    'MESSAGE_OVERHEAD_BYTES',
    'AnswerEnd',
    'AnswerHead',
    'AnswerPart',
    'ClaimAsk',
    'FleetLists',
    'NameTable',
    'PeerClient',
    'PeerHandler',
    'PeerServer',
    'RelayedCall',
    'decode_digest',
    'encode_digest',
]
