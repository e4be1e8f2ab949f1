"""The encoder of the simulator's binary protocol: writes actions as the records of a reply."""

from __future__ import annotations

import math
import struct
from enum import IntEnum

from tealwing import interface as api
from tealwing.wire.decoder import NS

ALL_PEERS = 0xFFFFFFFF  # receiver number of a message to all peers
MAX_TIMER_NS = 71 * 60 * NS  # longer delays are cut to it
MAX_TEXT_BYTES = 0xFFFF  # the length field has 16 bits


class ActionCode(IntEnum):
    """The codes of the records of a reply."""

    SEND = 10
    REJECT = 20
    FAIL = 30
    CANCEL_ATTEMPT = 40
    SET_TIMER = 50
    CHECK_HEALTH = 60
    CLOSE_IDLE_CONNECTIONS = 70
    SEND_TO_PEER = 80
    LOG = 90
    BUG = 100
    SUBSCRIBE = 110
    FETCH_ENGINE_LIST = 120
    SET_RESOURCES = 130


_REPLY_HEAD = struct.Struct(">II")  # count of records, length of the rest
_BARE_ACTION = struct.Struct(">BH")
_NUMBER_ACTION = struct.Struct(">BHI")  # with a request id or an engine number
_SEND = struct.Struct(">BHIqI")
_REJECT = struct.Struct(">BHIQ")
_CANCEL_ATTEMPT = struct.Struct(">BHIH")
_SET_TIMER = struct.Struct(">BHQQ")
_SET_RESOURCES = struct.Struct(">BHIBf")
_SEND_TO_PEER = struct.Struct(">BHIH")
_SUBSCRIBE = struct.Struct(">BHB")
_TEXT_ACTION = struct.Struct(">BHH")


def _ns(seconds: float) -> int:
    return max(0, math.ceil(seconds * NS))


def _text(code: int, instance: int, text: str) -> bytes:
    raw = text.encode()[:MAX_TEXT_BYTES]
    return _TEXT_ACTION.pack(code, instance, len(raw)) + raw


def bug(instance: int, text: str) -> bytes:
    """Return the record that reports an exception in the decision module."""
    return _text(ActionCode.BUG, instance, text)


def encode(instance: int, action: api.Action) -> bytes:
    """Return the record of one action. Raises TypeError for any other object."""
    match action:
        case api.Send(id_, engine, timeout):
            return _SEND.pack(ActionCode.SEND, instance, id_, int(timeout * NS), engine)
        case api.SetResources(id_, priority, memory):
            return _SET_RESOURCES.pack(ActionCode.SET_RESOURCES, instance, id_, priority, memory)
        case api.SetTimer(delay, token):
            return _SET_TIMER.pack(ActionCode.SET_TIMER, instance, min(_ns(delay), MAX_TIMER_NS), token)
        case api.Reject(id_, retry_after, _):
            return _REJECT.pack(ActionCode.REJECT, instance, id_, _ns(retry_after))
        case api.Fail(id_):
            return _NUMBER_ACTION.pack(ActionCode.FAIL, instance, id_)
        case api.CancelAttempt(id_, attempt):
            return _CANCEL_ATTEMPT.pack(ActionCode.CANCEL_ATTEMPT, instance, id_, attempt)
        case _:
            return _encode_rare(instance, action)


def _encode_rare(instance: int, action: api.Action) -> bytes:
    match action:
        case api.CheckHealth(engine):
            return _NUMBER_ACTION.pack(ActionCode.CHECK_HEALTH, instance, engine)
        case api.CloseIdleConnections(engine):
            return _NUMBER_ACTION.pack(ActionCode.CLOSE_IDLE_CONNECTIONS, instance, engine)
        case api.SendToPeer(peer, data):
            receiver = ALL_PEERS if peer is None else peer
            return _SEND_TO_PEER.pack(ActionCode.SEND_TO_PEER, instance, receiver, len(data)) + data
        case api.Log(text):
            return _text(ActionCode.LOG, instance, text)
        case api.Subscribe(enabled):
            return _SUBSCRIBE.pack(ActionCode.SUBSCRIBE, instance, enabled)
        case api.FetchEngineList():
            return _BARE_ACTION.pack(ActionCode.FETCH_ENGINE_LIST, instance)
    raise TypeError(f"expected an action of tealwing.interface, got {action!r}")


def reply(records: list[bytes]) -> bytes:
    """Return the complete reply that contains the records."""
    body = b"".join(records)
    return _REPLY_HEAD.pack(len(records), len(body)) + body
