"""Typed errors of the entry process; each names the remedy."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class SettingFault:
    """One wrong option; `option` is empty if the section itself is wrong."""

    section: str
    option: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        place = f'[{self.section}] {self.option}'.strip()
        return f'{place}: {self.reason}; {self.remedy}'


@dataclasses.dataclass(frozen=True)
class SettingsFault:
    """All faults of one settings file."""

    path: str
    faults: tuple[SettingFault, ...]

    def __str__(self) -> str:
        lines = [f'{self.path}: {len(self.faults)} faults']
        return '\n'.join([*lines, *(f'  {fault}' for fault in self.faults)])
