"""Exit codes of `knapweedhallctl`; docs/knapweedhallctl.md lists them."""

from __future__ import annotations

OK = 0
# The record lost against another one, or a trace breaks an invariant.
NEGATIVE = 1
# Wrong arguments; argparse uses the same number.
USAGE = 2
INVALID_INPUT = 3
# The platform did not respond and nothing was appended.
PLATFORM_UNAVAILABLE = 4
# The record was sent, but its outcome could not be read back.
OUTCOME_UNKNOWN = 5
