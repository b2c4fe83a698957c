"""Child processes of a deployment."""

from __future__ import annotations

import asyncio
import ctypes
import pathlib
import signal
import subprocess
import sys
import time

TERMINATE_TIMEOUT_S = 10.0
POLL_PERIOD_S = 0.01
# prctl option that makes the kernel kill a child when its parent dies, so that
# a killed test run leaves no processes behind.
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def _die_with_parent() -> None:
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """A Python module that runs as a process.

    Parameters
    ----------
    name : str
        Name in messages.
    arguments : list of str
        Module and its arguments.
    output : pathlib.Path
        File that standard output and standard error are appended to.

    Attributes
    ----------
    started_at : float
        When the process was started, seconds of the monotonic clock.
    output_bytes : int
        Size of the output file when the process was started.
    sent : set of signal.Signals
        Signals that were sent to the process.
    paused : bool
        Whether the process is stopped by SIGSTOP.
    """

    def __init__(
        self, name: str, arguments: list[str], output: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.output = output
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.output_bytes = 0
        self.sent: set[signal.Signals] = set()
        self.paused = False

    def start(self) -> None:
        """Start the process; its output is appended to the file."""
        self.started_at = time.monotonic()
        self.sent = set()
        with self.output.open('ab') as output:
            self.output_bytes = output.tell()
            self.process = subprocess.Popen(
                [sys.executable, '-m', *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=_die_with_parent,
            )

    @property
    def pid(self) -> int | None:
        """Process ID; None before the start."""
        return self.process.pid if self.process else None

    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def has_written(self) -> bool:
        """Return whether the process has written its first line."""
        return self.output.stat().st_size > self.output_bytes

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.is_running():
            self.sent.add(number)
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def pause(self) -> None:
        """Stop the process by SIGSTOP until `resume` is called."""
        self.paused = True
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self.paused = False
        self.send_signal(signal.SIGCONT)

    async def terminate(
        self, timeout_s: float = TERMINATE_TIMEOUT_S
    ) -> int | None:
        """Shut the process down by SIGTERM; kill it after the timeout.

        Returns
        -------
        int or None
            Exit status; None if the process was never started.
        """
        self.send_signal(signal.SIGTERM)
        self.resume()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.is_running() and loop.time() < deadline:
            await asyncio.sleep(POLL_PERIOD_S)
        self.kill()
        return self.process.returncode if self.process else None

    def has_ended_by_itself(self) -> bool:
        """Return whether the process ended other than as it was told to."""
        if self.process is None or self.is_running():
            return False
        if signal.SIGKILL in self.sent:
            return self.process.returncode not in (0, -signal.SIGKILL)
        return signal.SIGTERM not in self.sent or self.process.returncode != 0

    def last_lines(self, count: int = 20) -> str:
        """Return the last lines of the output file."""
        if not self.output.exists():
            return ''
        lines = self.output.read_text(errors='replace').splitlines()
        return '\n'.join(lines[-count:])
