"""Failure scripts; each runs beside the load and ends with all healed."""

from __future__ import annotations

import asyncio

from knapweedhall_bench.failures import stage

STAY = 'ledger'
HANDOVER = 'reminders'
CHOICE = 'uploads'
# Longer than every lease, permit and grant.
LONG_S = 4.0
SHORT_S = 2.0
# Longer than the time within which new work has to end.
LEAVING_S = 8.0


def mark(name: str, state: str) -> dict[str, object]:
    """Return the draft of a mark."""
    body = {'state': state, 'out_wait_ms': 1000}
    return {'kind': 'mark', 'schema': 2, 'name': name, 'body': body}


async def owner_killed(scene: stage.Stage) -> None:
    """SIGKILL of one upstream of each divided service."""
    scene.running.kill(scene.upstreams(STAY)[0])
    await asyncio.sleep(SHORT_S)
    scene.running.kill(scene.upstreams(HANDOVER)[0])
    await asyncio.sleep(LONG_S)


async def owner_frozen(scene: stage.Stage) -> None:
    """SIGSTOP of an owner beyond its grants, then SIGCONT."""
    names = scene.upstreams(STAY)[0], scene.upstreams(HANDOVER)[0]
    for name in names:
        scene.running.stop(name)
    await asyncio.sleep(LONG_S)
    for name in names:
        scene.running.resume(name)
    await asyncio.sleep(SHORT_S)


async def coordinator_killed(scene: stage.Stage) -> None:
    """SIGKILL of the coordinator of a failure domain."""
    name = await scene.coordinator(scene.domain_group(1))
    scene.unbalance(name)
    scene.running.kill(name)
    await asyncio.sleep(LONG_S)


async def coordinator_frozen(scene: stage.Stage) -> None:
    """SIGSTOP of the coordinator beyond its lease, then SIGCONT."""
    name = await scene.coordinator(scene.domain_group(1))
    scene.unbalance(name)
    scene.running.stop(name)
    await asyncio.sleep(LONG_S)
    scene.running.resume(name)
    await asyncio.sleep(SHORT_S)
    scene.balance(name)


async def entry_frozen(scene: stage.Stage) -> None:
    """SIGSTOP of an instance that still gets requests, then SIGCONT."""
    holder = await scene.coordinator(scene.domain_group(1))
    others = [each for each in scene.entries(1) if each != holder]
    scene.running.stop(others[0])
    await asyncio.sleep(LONG_S)
    scene.running.resume(others[0])
    await asyncio.sleep(SHORT_S)


async def entry_replaced(scene: stage.Stage) -> None:
    """SIGKILL of an instance and a new start without any state."""
    name = scene.entries(2)[0]
    scene.unbalance(name)
    scene.running.kill(name)
    await asyncio.sleep(SHORT_S)
    scene.running.start_child(name)
    await scene.running.wait_ready(name)
    scene.balance(name)
    await asyncio.sleep(SHORT_S)


async def log_down_owner_killed(scene: stage.Stage) -> None:
    """The log is down beyond every lease; an owner dies meanwhile."""
    await scene.running.set_platform_faults(down=True, list_down=True)
    await asyncio.sleep(SHORT_S)
    scene.running.kill(scene.upstreams(STAY)[0])
    await asyncio.sleep(LONG_S)
    await scene.running.set_platform_faults()
    await asyncio.sleep(SHORT_S)


async def log_down_coordinator_killed(scene: stage.Stage) -> None:
    """The log is down; a coordinator and then an owner die."""
    await scene.running.set_platform_faults(down=True, list_down=True)
    name = await scene.coordinator(scene.domain_group(1))
    scene.unbalance(name)
    scene.running.kill(name)
    await asyncio.sleep(LONG_S)
    scene.running.kill(scene.upstreams(STAY, 1)[0])
    await asyncio.sleep(LONG_S)
    await scene.running.set_platform_faults()
    await asyncio.sleep(SHORT_S)


async def answers_lost(scene: stage.Stage) -> None:
    """Appends take effect and their answers are lost."""
    await scene.running.set_platform_faults(lose_answers=3)
    await scene.publish(mark('instance/nobody', 'out'))
    scene.running.kill(scene.upstreams(STAY)[0])
    await asyncio.sleep(SHORT_S)
    await scene.running.set_platform_faults(lose_answers=2)
    await scene.publish(mark('instance/nobody', 'in'))
    await asyncio.sleep(SHORT_S)


async def cut_from_platform(scene: stage.Stage) -> None:
    """A failure domain cannot reach the platform; a record is published."""
    await scene.running.set_platform_faults(cut_domains=[1])
    await scene.publish(mark('instance/nobody', 'out'))
    await asyncio.sleep(LONG_S)
    await scene.running.set_platform_faults()
    await asyncio.sleep(SHORT_S)


async def cut_from_peers(scene: stage.Stage) -> None:
    """A failure domain is cut off from the others."""
    await scene.running.cut_links((1, 2), (1, 3))
    await asyncio.sleep(LONG_S)
    await scene.running.cut_links()
    await asyncio.sleep(SHORT_S)


async def cut_from_both(scene: stage.Stage) -> None:
    """A failure domain is cut off from the others and from the platform."""
    await scene.running.set_platform_faults(cut_domains=[1])
    await scene.running.cut_links((1, 2), (1, 3))
    await asyncio.sleep(LONG_S)
    scene.running.kill(scene.upstreams(STAY, 1)[0])
    await asyncio.sleep(SHORT_S)
    await scene.running.cut_links()
    await scene.running.set_platform_faults()
    await asyncio.sleep(SHORT_S)


async def domain_lost(scene: stage.Stage) -> None:
    """SIGKILL of every process of a failure domain, then the out mark."""
    scene.unbalance(*scene.entries(1))
    for name in [*scene.entries(1), *scene.running.upstreams]:
        node = scene.running.upstreams.get(name)
        if node is None or node.domain == 1:
            scene.running.kill(name)
    await asyncio.sleep(LONG_S)
    await scene.publish(mark('domain/domain-1', 'out'))
    await asyncio.sleep(LONG_S)


async def operators_race(scene: stage.Stage) -> None:
    """Two operators publish on the same predecessor at once."""
    drafts = [mark('instance/nobody', state) for state in ('out', 'in')]
    await asyncio.gather(*(scene.publish(draft) for draft in drafts))
    await asyncio.sleep(SHORT_S)


async def domain_out_and_back(scene: stage.Stage) -> None:
    """An operator takes a living failure domain out, and brings it back."""
    await scene.publish(mark('domain/domain-1', 'out'))
    await asyncio.sleep(LEAVING_S)
    await scene.publish(mark('domain/domain-1', 'in'))
    await asyncio.sleep(LONG_S)


async def upstream_leaves(scene: stage.Stage) -> None:
    """The platform lists an upstream as leaving, then it ends."""
    name = scene.upstreams(STAY)[0]
    await scene.running.register(name, 'leaving')
    await asyncio.sleep(LEAVING_S)
    await scene.running.terminate(name)
    await scene.running.unregister(name)
    await asyncio.sleep(SHORT_S)


async def planned_stop(scene: stage.Stage) -> None:
    """SIGTERM of the coordinator of a failure domain."""
    name = await scene.coordinator(scene.domain_group(1))
    ending = asyncio.create_task(scene.running.terminate(name))
    await asyncio.sleep(0.1)
    scene.unbalance(name)
    await ending
    await asyncio.sleep(SHORT_S)


async def cold_start(scene: stage.Stage) -> None:
    """An upstream turns cold without telling."""
    name = scene.upstreams(STAY)[0]
    await scene.running.set_upstream_faults(name, cold_ms=3000, silent=True)
    await asyncio.sleep(LONG_S)


ALL = {
    script.__name__: script
    for script in (
        owner_killed,
        owner_frozen,
        coordinator_killed,
        coordinator_frozen,
        entry_frozen,
        entry_replaced,
        log_down_owner_killed,
        log_down_coordinator_killed,
        answers_lost,
        cut_from_platform,
        cut_from_peers,
        cut_from_both,
        domain_lost,
        operators_race,
        domain_out_and_back,
        upstream_leaves,
        planned_stop,
        cold_start,
    )
}
