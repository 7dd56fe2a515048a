"""Structured logging to standard error."""

import logging
import sys
from typing import Any, Final

import structlog

LOG_FORMATS: Final = ('json', 'console')
LOG_LEVELS: Final = ('debug', 'info', 'warning', 'error')

_LEVEL_STEP: Final = 10


def configure_logs(log_format: str, log_level: str) -> None:
    """Set up structlog for the whole process."""
    renderer: Any = structlog.processors.JSONRenderer()
    if log_format == 'console':
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            (LOG_LEVELS.index(log_level) + 1) * _LEVEL_STEP,
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    # Libraries log through the standard ``logging`` module.
    logging.basicConfig(handlers=[_Forwarder()], level=logging.WARNING)


def get_logger(component: str) -> Any:
    """Return a logger that adds ``component`` to each line."""
    return structlog.get_logger(component=component)


class _Forwarder(logging.Handler):
    """Formats the log records of libraries like all other lines."""

    def emit(self, record: logging.LogRecord) -> None:
        get_logger(record.name).log(
            record.levelno,
            record.getMessage(),
            exc_info=record.exc_info,
        )
