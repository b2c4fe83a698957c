"""Publishes records as operators do."""

from __future__ import annotations

import asyncio
import importlib.util
import pathlib
import sys
import time
import typing

import msgspec

from knapweedhall_bench import deployment
from knapweedhall_bench import instance_settings
from knapweedhall_records import codec
from knapweedhall_records import errors

OPERATOR_MODULE = 'knapweedhall_ctl.main'
WRITER = 'bench'

Draft = dict[str, typing.Any]


class PublishFailed(RuntimeError):
    """A record was not accepted."""


def service_draft(
    name: str, slots: int, connections: int, **body: typing.Any
) -> Draft:
    """Return the record of a service, in schema version 2.

    Parameters
    ----------
    name : str
        Name of the service.
    slots, connections : int
        Limits of each upstream.
    **body
        Further fields of the body.
    """
    limits = {'slots': slots, 'connections': connections}
    fields = {'mode': 'divided', 'limits': limits, **body}
    return {'kind': 'service', 'schema': 2, 'name': name, 'body': fields}


async def publish(running: deployment.Deployment, draft: Draft) -> str:
    """Publish a record with the operators' command.

    Returns
    -------
    str
        What the command printed.

    Raises
    ------
    PublishFailed
        If the record was not accepted.
    """
    if importlib.util.find_spec('knapweedhall_ctl') is None or (
        importlib.util.find_spec(OPERATOR_MODULE) is None
    ):
        return await append(running, draft)
    name = draft['name'].replace('/', '-')
    path = running.folder / f'{draft["kind"]}-{name}.json'
    path.write_bytes(msgspec.json.format(msgspec.json.encode(draft)))
    return await run_operator_command(
        'publish',
        str(path),
        '--platform',
        running.platform[0],
        '--stream',
        instance_settings.STREAM,
        '--trace',
        str(running.trace_path('operator')),
    )


async def run_operator_command(*words: str) -> str:
    """Run `knapweedhallctl` and return what it printed."""
    command = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        OPERATOR_MODULE,
        *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await command.communicate()
    text = output.decode(errors='replace').strip()
    if command.returncode != 0:
        raise PublishFailed(f'status {command.returncode}: {text}')
    return text


def complete(draft: Draft) -> bytes:
    """Return the record of a draft that replaces nothing.

    Raises
    ------
    PublishFailed
        If the record is invalid.
    """
    envelope = {
        'version': 1,
        'replaces': 0,
        'writer': WRITER,
        'incarnation': time.time_ns() // 1000,
        'number': 1,
    }
    record = codec.decode(msgspec.json.encode({**envelope, **draft}))
    if isinstance(record, errors.Refusal):
        raise PublishFailed(str(record))
    return codec.encode(record)


async def append(running: deployment.Deployment, draft: Draft) -> str:
    """Append a record to the log without the operators' command."""
    path: pathlib.Path = running.folder / 'appended.json'
    raw = complete(draft)
    path.write_bytes(raw)
    stream = f'/streams/{instance_settings.STREAM}/records'
    url = f'http://{running.platform[0]}{stream}'
    async with running.session.post(url, data=raw) as answer:
        text = await answer.text()
        if answer.status != 201:
            raise PublishFailed(f'status {answer.status}: {text}')
    return text
