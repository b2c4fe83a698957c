"""Runs the unit tests of all packages and prints a summary line.

Tests that KNOWN-RED.txt lists are run and printed, but their failures do not
change the exit status.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import typing
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
# Tests that start processes need cores of their own, so few packages run at
# once.
MAX_PARALLEL_PACKAGES = 3
PACKAGE_TIMEOUT_S = 480
# Packages whose test modules are divided among several processes, as their
# tests mostly wait for whole fleets.
SHARDS = {'knapweedhall-router': 6}


class PackageResult(typing.NamedTuple):
    """Test results of one package.

    Attributes
    ----------
    package : str
        Name of the package's folder.
    run : int
        Number of tests that were run.
    skipped, red : list of str
        Full IDs of the skipped and of the failed tests.
    output : str
        Output of the test process.
    """

    package: str
    run: int
    skipped: list[str]
    red: list[str]
    output: str


class Shard(typing.NamedTuple):
    """A part of the test modules of a package.

    Attributes
    ----------
    package : pathlib.Path
        Folder of the package.
    number, count : int
        Which of how many parts.
    """

    package: pathlib.Path
    number: int
    count: int


def load_tests(shard: Shard) -> unittest.TestSuite:
    """Return the tests of a shard; the working folder is the package's."""
    suite = unittest.defaultTestLoader.discover('tests', top_level_dir='.')
    # One suite for each module.
    modules = [each for each in suite if each.countTestCases()]
    return unittest.TestSuite(modules[shard.number :: shard.count])


def run_in_this_process(shard: Shard, report: pathlib.Path) -> None:
    """Run the tests of one shard and write the results as JSON."""
    os.chdir(shard.package)
    suite = load_tests(shard)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    # Subtests count as their test, which is what KNOWN-RED.txt lists.
    red = [
        getattr(test, 'test_case', test).id()
        for test, _ in result.failures + result.errors
    ]
    red += [test.id() for test in result.unexpectedSuccesses]
    skipped = [test.id() for test, _ in result.skipped]
    report.write_text(
        json.dumps({'run': result.testsRun, 'skipped': skipped, 'red': red})
    )


def run_shard(shard: Shard) -> PackageResult:
    """Run the tests of one shard in a separate process."""
    package = shard.package
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.json'
        command = [sys.executable, __file__, '--inside', str(package)]
        command += ['--shard', str(shard.number), str(shard.count)]
        try:
            completed = subprocess.run(
                [*command, '--report', str(report)],
                env=dict(os.environ, PYTHONHASHSEED='0'),
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=PACKAGE_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired as expired:
            output = (expired.stdout or b'').decode(errors='replace')
            return PackageResult(package.name, 0, [], ['timed out'], output)
        if not report.exists():
            return PackageResult(
                package.name, 0, [], ['no report'], completed.stdout
            )
        results = json.loads(report.read_text())
    return PackageResult(package.name, **results, output=completed.stdout)


def read_known_red() -> set[str]:
    """Return the tests in KNOWN-RED.txt as ``package:test id``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def find_packages(names: typing.Sequence[str]) -> list[pathlib.Path]:
    """Return the sorted folders of the named packages that have tests.

    Without names, all packages are returned.
    """
    return sorted(
        folder
        for folder in [ROOT / 'platform', *(ROOT / 'packages').iterdir()]
        if list(folder.glob('tests/**/test_*.py'))
        and (not names or folder.name in names)
    )


def run_packages(names: typing.Sequence[str]) -> int:
    """Run the tests of the named packages or of all; return a status."""
    known_red = read_known_red()
    run = failed = skipped = 0
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_PACKAGES) as pool:
        shards = [
            Shard(package, number, SHARDS.get(package.name, 1))
            for package in find_packages(names)
            for number in range(SHARDS.get(package.name, 1))
        ]
        for result in pool.map(run_shard, shards):
            red = {f'{result.package}:{test}' for test in result.red}
            for test in sorted(red & known_red):
                print(f'known red: {test}')
            unexpected = red - known_red
            print(f'{result.package}: {result.run} run, {len(red)} red')
            if unexpected:
                print(result.output)
            run += result.run
            failed += len(unexpected)
            skipped += len(result.skipped) + len(red & known_red)
    passed = run - failed - skipped
    print(f'{passed} passed, {failed} failed, {skipped} skipped')
    return 1 if failed else 0


def main() -> int:
    """Run the tests; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('packages', nargs='*', help='names of packages')
    parser.add_argument('--inside', type=pathlib.Path, help=argparse.SUPPRESS)
    parser.add_argument('--shard', type=int, nargs=2, help=argparse.SUPPRESS)
    parser.add_argument('--report', type=pathlib.Path, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.inside:
        shard = Shard(arguments.inside, *arguments.shard)
        run_in_this_process(shard, arguments.report)
        return 0
    return run_packages(arguments.packages)


if __name__ == '__main__':
    sys.exit(main())
