"""Entry point of the router process.

The modules that need libraries are imported when the process is prepared for
signals and has written its first log line.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import sys

from knapweedhall_adapter import names
from knapweedhall_router import early_logs
from knapweedhall_router import startup

DEFAULT_SETTINGS = '/etc/knapweedhall/node.ini'
EXIT_IMPORT_FAILED = 3


def main(arguments: list[str] | None = None) -> int:
    """Run the router; return the exit status."""
    parser = argparse.ArgumentParser(prog='knapweedhall')
    parser.add_argument(
        '--settings',
        type=pathlib.Path,
        default=os.environ.get(names.SETTINGS_VARIABLE, DEFAULT_SETTINGS),
        help=f'INI file; the default is ${names.SETTINGS_VARIABLE}',
    )
    parser.add_argument(
        '--check-config',
        action='store_true',
        help='report all faults of the settings and exit',
    )
    options = parser.parse_args(arguments)
    startup.open_standard_streams()
    if not options.check_config:
        startup.block_signals()
        early_logs.info(
            'starting',
            pid=os.getpid(),
            python=sys.version.split()[0],
            machine=os.uname().machine,
        )
    try:
        from knapweedhall_router import process
    except Exception as error:
        early_logs.warning(
            'start_failed',
            reason=f'{type(error).__name__}: {error}',
            status=EXIT_IMPORT_FAILED,
        )
        return EXIT_IMPORT_FAILED
    path = pathlib.Path(options.settings)
    if options.check_config:
        return process.check_settings(path)
    return process.run(path)
