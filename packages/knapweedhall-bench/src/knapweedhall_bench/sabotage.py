"""Runs the router without one safeguard, so that the soak must fail."""

from __future__ import annotations

import sys

from aiohttp import web

from knapweedhall_adapter import outcomes
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_router.control import feed
from knapweedhall_router.control import followers
from knapweedhall_router.control import order_sender
from knapweedhall_router import main
from knapweedhall_router.serving import exchange
from knapweedhall_router.serving import frontend
from knapweedhall_router import state
from knapweedhall_routing import directory
from knapweedhall_routing import health
from knapweedhall_routing import holdings
from knapweedhall_routing import model
from knapweedhall_routing import workspaces


def without_fence() -> None:
    """Give all orders the same fencing token."""
    holdings.FencingTokens.next = lambda self: 1  # type: ignore[method-assign]


def without_wait() -> None:
    """Reassign keys without waiting until their grants expire."""
    holdings.grant_expiry = lambda sent_at: sent_at
    order_sender.holdings.grant_expiry = lambda sent_at: sent_at


def without_duplicate_check() -> None:
    """Treat all requests as idempotent, so that they may run twice."""
    model.Route.is_idempotent = (  # type: ignore[method-assign]
        lambda self, method: True
    )


def without_not_run_rule() -> None:
    """Answer failed requests as if they had not run (status 503)."""
    original = frontend.Frontend._refuse

    def refuse(
        self: frontend.Frontend,
        request: web.BaseRequest,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> web.Response:
        wrong_status = 503 if status in (502, 504) else status
        return original(self, request, wrong_status, reason, retry_after_s)

    frontend.Frontend._refuse = refuse  # type: ignore[method-assign]


def without_version_check() -> None:
    """Apply all records and configurations, also older ones."""
    original = state.State.configure
    feed.Feed.is_stale = (  # type: ignore[method-assign]
        lambda self, topic, next_offset: False
    )
    feed.Feed.newer_records = (  # type: ignore[method-assign]
        lambda self, topic, records: list(records)
    )

    def apply_record(
        self: followers.RecordFollower, record: outcomes.Record
    ) -> None:
        decoded = codec.decode(record.value)
        if isinstance(decoded, bodies.Record):
            self.records[record.key] = decoded

    def configure(self: state.State, new: model.Configuration) -> bool:
        self.configuration = None
        return original(self, new)

    state.State.configure = configure  # type: ignore[method-assign]
    followers.RecordFollower._apply_record = (  # type: ignore[method-assign]
        apply_record
    )


def without_leaving() -> None:
    """Ignore that upstreams say in their responses that they are leaving."""
    directory.Directory.record_leaving = (  # type: ignore[method-assign]
        lambda self, name, now, born_ms=None: False
    )


def without_pauses() -> None:
    """Ignore for how long upstreams want no requests."""
    health.Health.record_pause = (  # type: ignore[method-assign]
        lambda self, pause_s, now: None
    )


def without_response_ids() -> None:
    """Take each response for that to the current request."""
    exchange.is_foreign = lambda headers, request_id: False


def without_key_removal() -> None:
    """Keep serving the keys of earlier configurations."""
    original = workspaces.Directory.identify
    known: dict[str | None, model.Workspace] = {}

    def identify(
        self: workspaces.Directory, key: str | None
    ) -> model.Workspace | None:
        found = original(self, key)
        if found is not None:
            known[key] = found
        return known.get(key)

    workspaces.Directory.identify = identify  # type: ignore[method-assign]


SAFEGUARDS = {
    'fence': without_fence,
    'wait': without_wait,
    'duplicate': without_duplicate_check,
    'not-run': without_not_run_rule,
    'version': without_version_check,
    'leaving': without_leaving,
    'pauses': without_pauses,
    'response-ids': without_response_ids,
    'key-removal': without_key_removal,
}

if __name__ == '__main__':
    SAFEGUARDS[sys.argv[1]]()
    sys.exit(main.main(sys.argv[2:]))
