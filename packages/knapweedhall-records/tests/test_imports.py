"""Checks imports against the table in section 4 of docs/design.md."""

from __future__ import annotations

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[3]
PREFIX = 'knapweedhall_'
# Modules for I/O and clocks, which decision logic must not import.
IMPURE = {
    'aiohttp',
    'asyncio',
    'datetime',
    'loguru',
    'os',
    'pathlib',
    'pynng',
    'socket',
    'subprocess',
    'threading',
    'time',
}
PURE_PACKAGES = ('records', 'routing')
# The package in the folder platform has another name, because a package named
# platform would shadow the module of the standard library.
FOLDERS = {'adapter': ROOT / 'platform'}


def allowed_imports() -> dict[str, set[str]]:
    """Return the packages that each package may import."""
    rows = re.findall(
        rf'^\| {PREFIX}(\w+) \| [^|]+ \| ([^|]+) \|',
        (ROOT / 'docs' / 'design.md').read_text(),
        re.MULTILINE,
    )
    names = [name for name, _ in rows]
    table = {}
    for name, cell in rows:
        if 'all above but' in cell:
            above = set(names[: names.index(name)])
            table[name] = above - set(re.findall(r'\w+', cell.split('but')[1]))
        else:
            table[name] = set(re.findall(r'\w+', cell)) & set(names)
    return table


def imported_modules(package: str) -> set[str]:
    """Return the top-level modules that a package's sources import."""
    modules = set()
    folder = ROOT / 'packages' / f'knapweedhall-{package}'
    folder = FOLDERS.get(package, folder) / 'src'
    for path in folder.rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                modules |= {alias.name.split('.')[0] for alias in node.names}
            elif isinstance(node, ast.ImportFrom) and node.module:
                modules.add(node.module.split('.')[0])
    return modules


class ImportsTest(unittest.TestCase):
    """Imports between the packages."""

    def test_only_allowed_packages_are_imported(self) -> None:
        """Guards against import cycles and unplanned dependencies."""
        table = allowed_imports()
        folders = {
            folder.name.removeprefix('knapweedhall-')
            for folder in (ROOT / 'packages').iterdir()
            if (folder / 'src').exists()
        }
        self.assertEqual(folders | set(FOLDERS), set(table))
        for package, allowed in table.items():
            with self.subTest(package=package):
                imported = {
                    module.removeprefix(PREFIX)
                    for module in imported_modules(package)
                    if module.startswith(PREFIX)
                }
                self.assertEqual(set(), imported - allowed - {package})

    def test_decision_logic_is_pure(self) -> None:
        """Guards against decision logic that a model or replay can't run."""
        for package in PURE_PACKAGES:
            with self.subTest(package=package):
                self.assertEqual(set(), imported_modules(package) & IMPURE)
