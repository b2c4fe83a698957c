"""Prepares the process before the libraries are imported.

Importing them takes tenths of a second, and seconds on a busy machine. Only
the standard library is used here.
"""

from __future__ import annotations

import os
import signal

# Signals that the process handles; the default action of each ends it.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
_STANDARD_STREAMS = (0, 1, 2)


def block_signals() -> None:
    """Hold signals back while nobody handles them.

    The kernel keeps one signal of each kind until `unblock_signals`.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def unblock_signals() -> None:
    """Receive signals; those that were held back arrive at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)


def take_stop_signal() -> signal.Signals | None:
    """Return a stop signal that is held back, which will not arrive then."""
    received = signal.sigtimedwait(STOP_SIGNALS, 0)
    return signal.Signals(received.si_signo) if received else None


def open_standard_streams() -> None:
    """Open the standard streams that the parent process has closed.

    Otherwise the next socket that is opened gets the number of standard
    output, and log lines are sent to whoever is connected to it.
    """
    for descriptor in _STANDARD_STREAMS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is used, which is this one.
            os.open(os.devnull, os.O_RDWR)
