"""The exception tree of currantshore."""

from collections.abc import Sequence


class CurrantshoreError(Exception):
    """Base class of every exception that this package raises on purpose."""


class InvalidArgumentError(CurrantshoreError, ValueError):
    """Raised when a public function is called with an unusable argument."""

    @classmethod
    def from_value(
        cls,
        name: str,
        given: object,
        accepted: str,
    ) -> 'InvalidArgumentError':
        """Build the error for argument ``name`` with the bad value ``given``.

        ``accepted`` says in words what the argument may be.
        """
        return cls(f'{name}={given!r} is not accepted; expected {accepted}')


class SettingsError(CurrantshoreError):
    """Raised at start when one or more settings are unusable.

    The message lists every bad setting, its value and what is accepted.
    """

    def __init__(self, problems: Sequence[str]) -> None:
        """Store ``problems``, one sentence for each bad setting."""
        super().__init__('; '.join(problems))
        self.problems = tuple(problems)


class DeclarationError(CurrantshoreError):
    """Raised when declarations are invalid; lists every fault at once."""

    def __init__(self, problems: Sequence[str]) -> None:
        """Store ``problems``, each with file, path, value and accepted."""
        super().__init__('\n'.join(problems))
        self.problems = tuple(problems)


class WireFormatError(CurrantshoreError):
    """Raised when a framed datagram does not decode to a known message."""


class TokenError(CurrantshoreError):
    """Raised when a flow token is forged, damaged or of another flow."""


class PlanRefusedError(CurrantshoreError):
    """Raised when a planned change would break a promise to users."""

    def __init__(self, problems: Sequence[str]) -> None:
        """Store ``problems``, one sentence for each broken promise."""
        super().__init__('\n'.join(problems))
        self.problems = tuple(problems)


class PlatformError(CurrantshoreError):
    """Base class of failures of the platform's object API."""


class PlatformUnavailableError(PlatformError):
    """Raised when the object API does not answer; the outcome is unknown."""


class VersionConflictError(PlatformError):
    """Raised when a conditional write finds another version in place."""


class CallFailedError(CurrantshoreError):
    """Raised when an HTTP call gets no complete answer; it may have run."""

    @classmethod
    def from_call(
        cls,
        call: str,
        server: object,
        cause: BaseException,
    ) -> 'CallFailedError':
        """Build the error of ``call`` to ``server``, which ``cause`` ended."""
        return cls(f'{call} at {server}: {type(cause).__name__}: {cause}')


class AnswerUnreadableError(CurrantshoreError):
    """Raised when a complete answer of the store has an unknown shape."""


class StoreRefusedError(CurrantshoreError):
    """Raised when the platform's store answers a call with a refusal."""

    def __init__(self, call: str, status: int) -> None:
        """Store the HTTP ``status`` that answered ``call``."""
        super().__init__(f'{call}: status {status}')
        self.status = status


class HistoryLostError(CurrantshoreError):
    """Raised when a watch starts before the history that the store keeps."""


class ChartError(CurrantshoreError):
    """Raised when a state chart file cannot be compiled."""
