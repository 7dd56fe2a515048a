"""Flow tokens, sealed for one flow and verified without shared state."""

import hashlib
import hmac
from typing import Final

import msgspec

from currantshore.errors import TokenError

_TAG_SIZE_BYTES: Final = 8


class FlowToken(msgspec.Struct, frozen=True, array_like=True):
    """Content of a flow token.

    ``executor_id`` and ``executor_incarnation`` identify the executor, the
    only process that may run non-repeatable requests of this token until it
    hands over its request ids. Request ids below ``first_request_id`` belong
    to an earlier token.
    """

    service_id: str
    backend_id: str
    executor_id: str
    executor_incarnation: int
    first_request_id: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FlowToken)


class TokenSealer:
    """Seals and unseals tokens with the pool's key.

    The tag covers the flow key, so a token copied by another caller is
    rejected. Sealing and unsealing each compute one keyed BLAKE2b hash.
    """

    __slots__ = ('_key',)

    def __init__(self, key: bytes) -> None:
        """Initialize with the pool's key (1 to 64 bytes)."""
        self._key = key

    def seal(self, token: FlowToken, flow_key: int) -> bytes:
        """Return the bytes that the caller sends with its messages."""
        body = _encoder.encode(token)
        return self._tag(body, flow_key) + body

    def unseal(self, sealed: bytes, flow_key: int, service: str) -> FlowToken:
        """Return the token if ``sealed`` is valid for the flow and service.

        Raises ``TokenError`` otherwise.
        """
        body = sealed[_TAG_SIZE_BYTES:]
        tag = self._tag(body, flow_key)
        if not hmac.compare_digest(sealed[:_TAG_SIZE_BYTES], tag):
            raise TokenError(
                'the token is damaged, belongs to another flow or was sealed '
                'with another key'
            )
        try:
            token = _decoder.decode(body)
        except (msgspec.DecodeError, ValueError) as error:
            raise TokenError(str(error)) from error
        if token.service_id != service:
            raise TokenError(
                f'the token belongs to service {token.service_id!r}, '
                f'not to {service!r}',
            )
        return token

    def _tag(self, body: bytes, flow_key: int) -> bytes:
        return hashlib.blake2b(
            body,
            digest_size=_TAG_SIZE_BYTES,
            key=self._key,
            salt=flow_key.to_bytes(8, 'big'),
        ).digest()
