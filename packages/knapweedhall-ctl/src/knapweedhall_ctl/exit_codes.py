"""Exit codes of `knapweedhallctl`; docs/knapweedhallctl.md lists them."""

from __future__ import annotations

OK = 0
# Another version came into force first, nothing matches the query, instances
# have different configurations, or a request would be refused.
NEGATIVE = 1
# Invalid arguments; argparse exits with this code.
USAGE = 2
INVALID_INPUT = 3
# The platform or an instance did not answer, and nothing was appended.
PLATFORM_UNAVAILABLE = 4
# The record was sent, but whether it was appended could not be read back.
OUTCOME_UNKNOWN = 5
