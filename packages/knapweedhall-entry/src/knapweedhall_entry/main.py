"""Command line of the entry process."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import typing

import loguru

from knapweedhall_entry import errors
from knapweedhall_entry import factory
from knapweedhall_entry import settings

EXIT_WRONG_SETTINGS = 2
LOG_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}'


def parse_arguments(
    arguments: typing.Sequence[str] | None,
) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(
        prog='knapweedhall', description='Runs one entry instance.'
    )
    parser.add_argument(
        '--config',
        type=pathlib.Path,
        required=True,
        metavar='FILE',
        help='INI file; docs/knapweedhall.ini shows every option',
    )
    parser.add_argument(
        '--check-config',
        action='store_true',
        help='check the file, print all faults and exit',
    )
    return parser.parse_args(arguments)


def main(arguments: typing.Sequence[str] | None = None) -> int:
    """Run an instance; return the process's exit status."""
    parsed = parse_arguments(arguments)
    loaded = settings.load(parsed.config)
    if isinstance(loaded, errors.SettingsFault):
        print(loaded, file=sys.stderr)
        return EXIT_WRONG_SETTINGS
    if parsed.check_config:
        print(f'{parsed.config}: no faults')
        return 0
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, level=loaded.log.level, format=LOG_FORMAT)
    return asyncio.run(factory.run(loaded))


if __name__ == '__main__':
    sys.exit(main())
