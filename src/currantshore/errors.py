"""The exception hierarchy of currantshore."""

from collections.abc import Sequence


class CurrantshoreError(Exception):
    """Base class of all exceptions that this package raises deliberately."""


class InvalidArgumentError(CurrantshoreError, ValueError):
    """Raised when a public function is called with an invalid argument."""

    @classmethod
    def from_value(
        cls,
        name: str,
        given: object,
        accepted: str,
    ) -> 'InvalidArgumentError':
        """Build the error for argument ``name`` with the bad value ``given``.

        ``accepted`` describes in words which values are accepted.
        """
        return cls(f'{name}={given!r} is not accepted; expected {accepted}')


class SettingsError(CurrantshoreError):
    """Raised at start when one or more settings are invalid.

    The message lists every bad setting, its value and what is accepted.
    """

    def __init__(self, problems: Sequence[str]) -> None:
        """Initialize with one message for each bad setting."""
        super().__init__('; '.join(problems))
        self.problems = tuple(problems)


class DeclarationError(CurrantshoreError):
    """Raised when declarations are invalid; lists every fault."""

    def __init__(self, problems: Sequence[str]) -> None:
        """Initialize with one message for each fault.

        Each names the file, the path, the value and what is accepted.
        """
        super().__init__('\n'.join(problems))
        self.problems = tuple(problems)


class WireFormatError(CurrantshoreError):
    """Raised when a framed datagram cannot be decoded to a known message."""


class TokenError(CurrantshoreError):
    """Raised when a flow token is forged, damaged or from another flow."""


class PlanRefusedError(CurrantshoreError):
    """Raised when a planned change would break a guarantee to users."""

    def __init__(self, problems: Sequence[str]) -> None:
        """Initialize with one message for each broken guarantee."""
        super().__init__('\n'.join(problems))
        self.problems = tuple(problems)


class PlatformError(CurrantshoreError):
    """Base class of failures of the platform's object API."""


class PlatformUnavailableError(PlatformError):
    """Raised when the object API does not answer; the outcome is unknown."""


class VersionConflictError(PlatformError):
    """Raised when a conditional write finds another version of the object."""


class CallFailedError(CurrantshoreError):
    """Raised when an HTTP call gets no complete answer.

    The server may have processed the call.
    """

    @classmethod
    def from_call(
        cls,
        call: str,
        server: object,
        cause: BaseException,
    ) -> 'CallFailedError':
        """Build the error of a ``call`` that failed because of ``cause``."""
        return cls(f'{call} at {server}: {type(cause).__name__}: {cause}')


class AnswerUnreadableError(CurrantshoreError):
    """Raised when a complete answer of the store cannot be decoded."""


class StoreRefusedError(CurrantshoreError):
    """Raised when the platform's store answers with an error status."""

    def __init__(self, call: str, status: int) -> None:
        """Initialize with the HTTP ``status`` of the answer to ``call``."""
        super().__init__(f'{call}: status {status}')
        self.status = status


class HistoryLostError(CurrantshoreError):
    """Raised when objects have to be listed again before they are watched.

    The store does not keep the history that a watch starts from, or was
    restored from a copy since.
    """


class ChartError(CurrantshoreError):
    """Raised when a state chart file cannot be compiled."""
