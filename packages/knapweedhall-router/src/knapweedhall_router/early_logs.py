"""Writes log lines before the libraries are imported.

An import may fail, for example if they were built for another processor. Only
the standard library is used here.
"""

from __future__ import annotations

import json
import os
import time

from knapweedhall_events import catalogue

PROCESS = 'knapweedhall'
_STANDARD_OUTPUT = 1


def info(event: str, **fields: str | int) -> None:
    """Log an event of normal operation."""
    _emit('INFO', event, fields)


def warning(event: str, **fields: str | int) -> None:
    """Log an event that may need an operator's attention."""
    _emit('WARNING', event, fields)


def _emit(level: str, event: str, fields: dict[str, str | int]) -> None:
    line = {
        'at': round(time.time(), 4),
        'level': level,
        'process': PROCESS,
        'event': event,
        'number': catalogue.BY_NAME[event].number,
        **fields,
    }
    try:
        os.write(_STANDARD_OUTPUT, (json.dumps(line) + '\n').encode())
    except OSError:
        # Nobody reads the log; that is no reason not to serve.
        pass
