"""Tests of the settings."""

from __future__ import annotations

import pathlib
import tempfile
import typing
import unittest

from knapweedhall_entry import errors
from knapweedhall_entry import settings
from knapweedhall_traffic import selection

EXAMPLE = pathlib.Path(__file__).parents[3] / 'docs' / 'knapweedhall.ini'


class SettingsTest(unittest.TestCase):
    """Guards against settings that are misread or silently ignored."""

    def load(self, text: str) -> settings.Settings | errors.SettingsFault:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'instance.ini'
            path.write_text(text)
            return settings.load(path)

    def faults(self, text: str) -> set[tuple[str, str]]:
        loaded = self.load(text)
        assert isinstance(loaded, errors.SettingsFault)
        return {(fault.section, fault.option) for fault in loaded.faults}

    def test_example_names_every_option_with_its_default(self) -> None:
        """Guards against an example file that lags behind the schema."""
        loaded = settings.load(EXAMPLE)
        assert isinstance(loaded, settings.Settings), str(loaded)
        parser = settings.read_file(EXAMPLE)
        assert not isinstance(parser, errors.SettingsFault)
        self.assertEqual(set(parser.sections()), set(settings.SECTIONS))
        for name, section in settings.SECTIONS.items():
            with self.subTest(section=name):
                kind = typing.cast(typing.Any, section)
                self.assertEqual(
                    set(parser[name]), set(settings.option_types(section))
                )
                value = getattr(loaded, name)
                for option, default in kind._field_defaults.items():
                    self.assertEqual(getattr(value, option), default, option)

    def test_all_faults_are_reported_at_once(self) -> None:
        """Guards against an operator who needs one run for each fault."""
        text = EXAMPLE.read_text()
        text = text.replace('name = entry-1', 'name = two words')
        text = text.replace('drain_wait_ms = 2000', 'drain_wait_ms = soon')
        text = text.replace('peer_address = 127.0.1.1:8083', 'port = 1')
        text += '\n[extra]\nx = 1\n'
        self.assertEqual(
            self.faults(text),
            {
                ('instance', 'name'),
                ('stop', 'drain_wait_ms'),
                ('listen', 'peer_address'),
                ('listen', 'port'),
                ('extra', ''),
            },
        )

    def test_choice_policies_are_the_rules_of_the_data_path(self) -> None:
        """Guards against a policy that is accepted and then unknown."""
        self.assertEqual(
            set(typing.get_args(settings.ChoicePolicy)), set(selection.RULES)
        )
        text = EXAMPLE.read_text().replace('= least_of_two', '= fastest')
        self.assertEqual(self.faults(text), {('traffic', 'choice_policy')})

    def test_bad_addresses_are_faults(self) -> None:
        """Guards against names and ports that cannot be bound."""
        for wrong in ('localhost:80', '127.0.0.1', '127.0.0.1:0', '::1:80'):
            text = EXAMPLE.read_text().replace('127.0.0.1:8000', wrong)
            with self.subTest(address=wrong):
                self.assertEqual(self.faults(text), {('platform', 'address')})

    def test_unreadable_file_is_a_fault(self) -> None:
        """Guards against a traceback instead of a message."""
        self.assertEqual(self.faults('no section'), {('', '')})
        loaded = settings.load(pathlib.Path('/nonexistent/instance.ini'))
        self.assertIsInstance(loaded, errors.SettingsFault)
