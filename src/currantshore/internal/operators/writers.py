"""Writer ids of operators: ``OPERATOR/KIND-RANDOM``."""

import re
from typing import Final

from currantshore.errors import InvalidArgumentError

_OPERATOR: Final = re.compile(r'[A-Za-z0-9_.@+-]{1,64}')


def check_operator(operator: str) -> None:
    """Raise ``InvalidArgumentError`` unless ``operator`` fits a writer id."""
    if _OPERATOR.fullmatch(operator) is None:
        raise InvalidArgumentError.from_value(
            'operator',
            operator,
            '1 to 64 letters, digits and the characters _ . @ + -',
        )


def operator_of(writer: str) -> str:
    """Return the operator of a writer id."""
    return writer.partition('/')[0]
