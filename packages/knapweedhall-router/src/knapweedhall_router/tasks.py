"""Keeps background tasks running."""

from __future__ import annotations

import asyncio
import traceback
import typing

from knapweedhall_router import logs

# Pause before a task that failed is started again, so that a lasting fault
# does not take the processor time that requests need.
RESTART_PAUSE_S = 0.5
# Whoever wrote the input may have written part of the message, too.
MAX_ERROR_CHARS = 300

Work = typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]]


async def supervise(name: str, work: Work) -> None:
    """Run a background task until cancelled; start it again when it fails.

    Without one of its tasks, a process would serve with a state that is no
    longer updated. Ending the process instead would give up the running
    requests, on all instances at once if they have the same input.

    Parameters
    ----------
    name : str
        Name for the log.
    work : callable
        Returns the coroutine of the task.
    """
    while True:
        try:
            await work()
            reason = 'ended'
        except Exception as error:
            reason = describe(error)
        logs.warning('task_fault', task=name, reason=reason)
        await asyncio.sleep(RESTART_PAUSE_S)


def describe(error: BaseException) -> str:
    """Return an error and where it was raised, for the log."""
    if isinstance(error, BaseExceptionGroup):
        return ', '.join(describe(each) for each in error.exceptions)
    frames = traceback.extract_tb(error.__traceback__)
    place = f' at {frames[-1].name}:{frames[-1].lineno}' if frames else ''
    return f'{repr(error)[:MAX_ERROR_CHARS]}{place}'
