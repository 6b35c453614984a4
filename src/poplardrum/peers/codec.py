"""MessagePack codec for grpclib; needs no generated code."""

import typing

import msgspec
from grpclib.encoding import base

from poplardrum import decoding


class MessagePackCodec(base.CodecBase):
    """Encode and decode msgspec structs."""

    __content_subtype__ = 'msgpack'

    def __init__(self) -> None:
        """Create the encoder; decoders are created once per message type."""
        self.encoder = msgspec.msgpack.Encoder()
        self.decoders: dict[type[typing.Any], typing.Any] = {}

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        """Return the encoded message."""
        return self.encoder.encode(message)

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        """Return the message; raise `msgspec.DecodeError` on malformed data."""
        decoder = self.decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self.decoders[message_type] = decoder
        return decoding.decode_message(decoder, data)
