"""Tests of the limits on parsing a response."""

from __future__ import annotations

import unittest

from knapweedhall_routing import parse_budget

MIB = 1024 * 1024


class ParseBudgetTest(unittest.TestCase):
    """One response, part by part."""

    def setUp(self) -> None:
        """Create the budget."""
        self.budget = parse_budget.ParseBudget()

    def test_empty_lines_end_a_response(self) -> None:
        """Guards against empty lines that are read without end."""
        self.budget.add_empty_lines(2)
        self.assertEqual('', self.budget.find_excess(0))
        self.budget.add_empty_lines(parse_budget.MAX_EMPTY_LINE_BYTES)
        self.assertEqual('too-many-empty-lines', self.budget.find_excess(0))

    def test_interim_responses_end_a_response(self) -> None:
        """Guards against heads that take a processor for few bytes."""
        for _ in range(parse_budget.MAX_PARTS):
            self.budget.add_part(19)
        self.assertEqual('', self.budget.find_excess(0))
        self.budget.add_part(19)
        self.assertEqual('too-many-parts', self.budget.find_excess(0))

    def test_body_in_small_packets(self) -> None:
        """Guards against a body that fails as it is sent line by line."""
        for count in range(1, 100_000):
            self.budget.add_part(80)
            self.assertEqual('', self.budget.find_excess(80 * count))

    def test_body_in_packets_of_one_byte(self) -> None:
        """Guards against a wakeup of the process for each byte."""
        count = 0
        while not self.budget.find_excess(count):
            self.budget.add_part(1)
            count += 1
        self.assertLess(count, 2 * parse_budget.MAX_PARTS)

    def test_tiny_chunks_end_a_response(self) -> None:
        """Guards against chunks of one byte, of five bytes of framing."""
        count = 0
        while not self.budget.find_excess(count):
            self.budget.add_framing(5)
            count += 1
        self.assertLess(5 * count, 2 * parse_budget.MAX_FRAMING_BYTES)

    def test_body_in_small_chunks(self) -> None:
        """Guards against a limit of framing that cuts a proper response."""
        for count in range(1, 20_000):
            self.budget.add_part(106)
            self.budget.add_framing(6)
            self.assertEqual('', self.budget.find_excess(100 * count))

    def test_body_that_is_not_parsed_yet(self) -> None:
        """Guards against a slow reader's body that counts as framing."""
        self.budget.add_part(65536)
        self.budget.add_framing(65536)
        self.assertEqual('', self.budget.find_excess(0, True))
        self.budget.add_framing(-65536)
        self.assertEqual('', self.budget.find_excess(65536))

    def test_large_heads_end_a_response(self) -> None:
        """Guards against late responses and heads that add up."""
        for _ in range(8):
            self.budget.add_part(16384)
        self.assertEqual('', self.budget.find_excess(0))
        self.budget.add_part(1)
        self.assertEqual('too-many-bytes', self.budget.find_excess(0))
