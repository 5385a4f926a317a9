"""structlog, set up for people or for machines.

No prompt, answer or key is ever logged: callers of the logger pass ids,
names, codes and numbers only.
"""

import logging
from typing import TextIO

import structlog


def setup_logs(stream: TextIO, level: str = 'info') -> None:
    """JSON lines on `stream`, from `level` up."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=False,
    )


def logger(task: str):
    """A logger that names the task that speaks."""
    return structlog.get_logger(task=task)
