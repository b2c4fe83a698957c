"""Processes that a deployment starts; each is ended by its own id."""

from __future__ import annotations

import asyncio
import ctypes
import pathlib
import signal
import subprocess
import sys

STOP_LIMIT_S = 10.0
POLL_S = 0.01
# prctl option by which the kernel ends a child when its parent has died, so
# that a killed test run leaves no processes behind.
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def _end_with_parent() -> None:
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """One Python module that runs as a process.

    Parameters
    ----------
    name : str
        Name for messages and for the output file.
    arguments : list of str
        Module and its arguments.
    output : pathlib.Path
        File that gets standard output and standard error.

    Attributes
    ----------
    paused : bool
        Whether it stands still.
    """

    def __init__(
        self, name: str, arguments: list[str], output: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.output = output
        self.process: subprocess.Popen[bytes] | None = None
        self.paused = False

    def start(self) -> None:
        """Start the process; its output is appended to the file."""
        with self.output.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, '-m', *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=_end_with_parent,
            )

    @property
    def pid(self) -> int | None:
        """Process id, None before the start."""
        return self.process.pid if self.process else None

    def is_running(self) -> bool:
        """Return whether the process has been started and not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def stop(self) -> None:
        """Freeze the process."""
        self.paused = True
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process run again."""
        self.paused = False
        self.send(signal.SIGCONT)

    async def terminate(self, limit_s: float = STOP_LIMIT_S) -> int | None:
        """Ask for a planned end; kill the process after a limit.

        Returns
        -------
        int or None
            Exit status, None if the process was never started.
        """
        self.send(signal.SIGTERM)
        self.resume()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        while self.is_running() and loop.time() < deadline:
            await asyncio.sleep(POLL_S)
        self.kill()
        return self.process.returncode if self.process else None

    def last_lines(self, count: int = 20) -> str:
        """Return the end of the output."""
        if not self.output.exists():
            return ''
        lines = self.output.read_text(errors='replace').splitlines()
        return '\n'.join(lines[-count:])
