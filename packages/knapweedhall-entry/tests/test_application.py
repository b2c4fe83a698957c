"""Tests of ending an instance."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from knapweedhall_entry import application


class CancelTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a planned stop that never ends."""

    async def test_task_that_drops_a_cancellation_ends(self) -> None:
        """Guards against a library call that swallows the cancellation."""
        dropped = asyncio.Event()

        async def work() -> None:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.Event().wait()
            dropped.set()
            await asyncio.Event().wait()

        task = asyncio.create_task(work())
        await asyncio.sleep(0)
        await application.cancel_all([task])
        self.assertTrue(dropped.is_set())
        self.assertTrue(task.cancelled())
