"""Times within which an effect must show, in seconds.

They come from sections 2, 3 and 5 of docs/design.md.
"""

from __future__ import annotations

# "In force everywhere within 6 s."
CONFIGURATION_S = 6.0
# "No new work after a few seconds" is bounded by the same propagation time.
LEAVING_S = 6.0
# Limit of a planned stop, section 6.17.
STOP_S = 30.0
# An upstream that turns cold without warning is noticed by its own responses
# or by the next probe; 0.5 s is the time after which it is declared lost.
COLD_NOTICE_S = 0.5
# An upstream that is awake notices the end of its grant within one probe
# period; a longer overlap means that it still considered itself the owner.
EXPIRY_LAG_S = 0.25
