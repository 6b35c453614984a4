"""Decoding of documents and messages that other programs have written.

msgspec reports malformed input in three ways; here all are `DecodeError`, which
is a `ValueError`, so that no caller forgets one of them.
"""

import typing

import msgspec

_Document = typing.TypeVar('_Document')

_MAX_INT32: typing.Final = 2**31 - 1
_MAX_WEIGHT: typing.Final = 1e15
_MAX_INT64: typing.Final = 2**63 - 1
_MAX_PORT: typing.Final = 2**16 - 1
_MAX_NAME_LENGTH: typing.Final = 255

# A count or an amount. Sums of many of them still fit into a message.
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT32)]
# A number that only increases, or a time in milliseconds.
Sequence = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
# The port of a service.
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
# A host, an availability zone, a service or an incarnation.
Name = typing.Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]
# A weight or a weighted sum; sums of many of them stay finite.
Weight = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_WEIGHT)]
# A duration in milliseconds.
DurationMs = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_INT32)]


def decode_json(content: bytes, kind: type[_Document]) -> _Document:
    """Decode JSON; raise `msgspec.DecodeError` if it is malformed.

    Nesting beyond the limit of the interpreter counts as malformed.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except (UnicodeError, RecursionError) as error:
        raise msgspec.DecodeError(str(error)) from None


def decode_message(
    decoder: msgspec.msgpack.Decoder[_Document], content: bytes
) -> _Document:
    """Decode MessagePack; raise `msgspec.DecodeError` as `decode_json` does."""
    try:
        return decoder.decode(content)
    except (UnicodeError, RecursionError) as error:
        raise msgspec.DecodeError(str(error)) from None
