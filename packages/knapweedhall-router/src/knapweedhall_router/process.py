"""Runs the router process from its settings to its end."""

from __future__ import annotations

import asyncio
import gc
import pathlib
import time

from knapweedhall_router import application
from knapweedhall_router import logs
from knapweedhall_router import settings as settings_module
from knapweedhall_router import tasks

EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2
# Time for which settings that can't be used are read again at the start: the
# platform may be rewriting the file.
SETTINGS_WAIT_S = 1.0
SETTINGS_RETRY_S = 0.1


def check_settings(path: pathlib.Path) -> int:
    """Log all faults of the settings; return the exit status."""
    logs.configure('knapweedhall')
    loaded = settings_module.read(path)
    if isinstance(loaded, settings_module.Faults):
        application.log_faults(loaded)
        return EXIT_INVALID_SETTINGS
    return 0


def run(path: pathlib.Path) -> int:
    """Run the router; return the exit status."""
    logs.configure('knapweedhall')
    settings = _wait_for_settings(path)
    if settings is None:
        logs.warning(
            'start_failed', reason='settings', status=EXIT_INVALID_SETTINGS
        )
        return EXIT_INVALID_SETTINGS
    logs.configure(settings.name)
    # Imported objects live as long as the process; exclude them from garbage
    # collection. The deployment disables it while they are imported.
    gc.freeze()
    gc.enable()
    try:
        asyncio.run(application.Application(settings, path).run())
    except Exception as error:
        logs.warning(
            'process_failed', reason=tasks.describe(error), status=EXIT_FAILED
        )
        return EXIT_FAILED
    return 0


def _wait_for_settings(
    path: pathlib.Path,
) -> settings_module.Settings | None:
    give_up_at = time.monotonic() + SETTINGS_WAIT_S
    while True:
        loaded = settings_module.read(path)
        if isinstance(loaded, settings_module.Settings):
            return loaded
        if loaded.fallback or time.monotonic() >= give_up_at:
            # Defaults stand in for faulty values that have one.
            application.log_faults(loaded)
            return loaded.fallback
        time.sleep(SETTINGS_RETRY_S)
