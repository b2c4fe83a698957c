"""Calls of the launcher to the platform, the upstreams and the relay."""

from __future__ import annotations

import typing

import aiohttp

Row = dict[str, typing.Any]


class CallFailed(RuntimeError):
    """A process answered a call of the launcher with a refusal."""


class Control:
    """HTTP client of the launcher.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to use; the caller closes it.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def send(
        self, method: str, url: str, value: typing.Any = None
    ) -> typing.Any:
        """Send JSON and return the JSON answer.

        Raises
        ------
        CallFailed
            If the status is 400 or above.
        """
        async with self.session.request(method, url, json=value) as answer:
            text = await answer.text()
            if answer.status >= 400:
                raise CallFailed(
                    f'{method} {url}: status {answer.status}: {text}'
                )
            return await answer.json()

    async def is_up(self, url: str) -> bool:
        """Return whether a URL answers with status 200."""
        try:
            async with self.session.get(url) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
