"""Quotas of workspaces over the sum of all instances.

Load: 58 instances, 289 requests/s of 71 workspaces; some send 3 to 8 times
their usual demand for 6 to 8 s while instances are lost, join or have no
coordinator. In any window of 5 s, at most `(rate * 5 + burst) * 1.1 + 20`
requests of a workspace may run.

Each instance owns 1/N of the rate of each workspace. A coordinator pools the
shares of the instances that are connected to it and leases tokens to them;
others use their own share. A share is in use at one place at a time.
"""

from __future__ import annotations

import collections
import math
import random
import typing
import zlib

from knapweedhall_routing import model

# Window of the bound.
WINDOW_S = 5.0
# Time for which a token may be used once it is due. A window of 5 s then has
# the tokens of 5.4 s; the 10% that the bound allows are those of 5.5 s.
TOKEN_LIFETIME_S = 0.4
# Time for which an instance that is lost to the coordinators counts as one
# that uses its own share.
LOST_S = 60.0
# Time for which such an instance uses it. Instance and coordinator notice the
# loss up to 2 s apart.
OWN_SHARE_S = 55.0
# Time from the end of a connection to the use of the own share. The
# coordinator's pool follows its connections within 0.05 s.
OWN_SHARE_DELAY_S = 0.1
# Time after the heartbeat that the last report of an instance answers at which
# its share is no longer pooled. Instances close a connection that is silent
# for 1.5 s.
MAX_HEARTBEAT_AGE_S = 1.0
# Time for which a heartbeat with a new number of sharers may be on its way.
HEARTBEAT_TRANSIT_S = 3.0
# Requests of the near future for which a busy instance leases tokens ahead.
# Shorter than the lifetime, as tokens that are not used are lost.
LEASE_AHEAD_S = 0.25
# Tokens that a deputy's bucket begins with. Without one, nearly every first
# request is refused; with up to 7 failure domains it is a third of what the
# bound allows beyond the quota.
DEPUTY_TOKENS = 1.0
# Time constant of the demand that an instance expects.
DEMAND_S = 1.0
# Share of the burst that leases ahead leave in the pool.
RESERVED_SHARE = 0.5
# Share of a route's objective for which a request waits for a token; longer
# waits have a cost.
WAIT_SHARE = 1 / 8
# Shortest time between two messages about a workspace that had no token.
DENIAL_S = 0.05
# Longest delay that is suggested to refused callers. Those with a time limit
# of 12 s honor up to 4 s.
MAX_RETRY_S = 4.0
# Bounds of the delay suggested while an instance has no coordinator: a retry
# reaches another instance, which may have one.
LINKLESS_RETRY_S = (0.1, 0.4)
# Delay suggested while the coordinator does not know the workspace yet: it
# relays the configuration within this time.
UNKNOWN_RETRY_S = 0.3
# Shortest delay that is suggested: the round trip time to a caller.
MIN_RETRY_S = 0.02
# Round trip between two failure domains; a token that becomes due at the end
# of the wait would come too late.
ROUND_TRIP_S = 0.005
# Largest values that are accepted from another instance.
MAX_COUNT = 10_000
MAX_DELAY_S = 10.0


class Quota(typing.NamedTuple):
    """Requests per second, and requests beyond that at once.

    A rate of 0 means no limit.
    """

    rate_per_s: float
    burst: float


class Ask(typing.NamedTuple):
    """Request of an instance for tokens of one workspace.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    needed, extra : int
        Tokens for requests that wait, and for those expected soon.
    max_wait_s : float
        How long the requests may wait for their tokens, seconds.
    refused : int
        Requests that the instance refused since it last asked.
    """

    workspace: str
    needed: int
    extra: int
    max_wait_s: float
    refused: int = 0


class Grant(typing.NamedTuple):
    """Tokens of one workspace for an instance.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    tokens, due_now : int
        Number of tokens, and how many of them may be used at once.
    delay_s, spacing_s : float
        Time until the first of the other tokens may be used, and between two
        of them, seconds.
    retry_from_s, retry_until_s : float
        Period in which tokens for the refused requests become available,
        seconds from now.
    """

    workspace: str
    tokens: int
    due_now: int
    delay_s: float
    spacing_s: float
    retry_from_s: float
    retry_until_s: float


class Token(typing.NamedTuple):
    """Right to send one request between two times, seconds."""

    due_at: float
    expires_at: float


class Denial(typing.NamedTuple):
    """A request is over its workspace's quota, as far as is known.

    Attributes
    ----------
    reason : {'quota', 'quota-unknown'}
        Whether the quota is used up, or no token could be got.
    retry_after_s : float
        Time until a token is available for it, seconds.
    """

    reason: str
    retry_after_s: float


def quotas(configuration: model.Configuration) -> dict[str, Quota]:
    """Return the quotas of all workspaces, by name."""
    return {
        workspace.name: Quota(workspace.rate_per_s, workspace.burst)
        for workspace in configuration.workspaces or ()
    }


class _Lost(typing.NamedTuple):
    """An instance that may use its own share.

    Attributes
    ----------
    share : float
        Its share of each rate.
    until : float
        Until when it may, seconds.
    """

    share: float
    until: float


class Sharers:
    """The instances among which the rates are divided, for a coordinator.

    Attributes
    ----------
    connected : set of str
        Instances that are connected.
    lost : dict of str to _Lost
        Instances that are not connected and may use their own shares.
    informed : set of str
        Instances that may know a number of sharers. Others use no share when
        they are lost.
    told, told_before : int
        Number of sharers that the instances were last told, and before that;
        0 for none.
    told_at : float
        When `told` was first sent, seconds.
    """

    def __init__(self, former: typing.Collection[str], now: float) -> None:
        """Begin with the sharers in the record of the former term."""
        self.connected: set[str] = set()
        self.lost: dict[str, _Lost] = {}
        for name in former:
            self.lost[name] = _Lost(1 / len(former), now + LOST_S)
        self.informed = set(former)
        self.told, self.told_before = len(former), 0
        self.told_at = -math.inf

    def update(self, connected: typing.Collection[str], now: float) -> None:
        """Record which instances are connected."""
        for name in self.connected.difference(connected):
            if name in self.informed:
                share = self._own_share(now)
                self.lost[name] = _Lost(share, now + LOST_S)
        self.connected = set(connected)
        self.lost = {
            name: lost
            for name, lost in self.lost.items()
            if name not in self.connected and now < lost.until
        }

    def tell(self, recorded: typing.Collection[str], now: float) -> int:
        """Return the number of sharers to tell the instances.

        Parameters
        ----------
        recorded : collection of str
            Sharers in the stored record of the term. The next term divides by
            their number.
        now : float
            Current time, seconds.

        Returns
        -------
        int
            The number; 0 if not all of them are recorded.
        """
        if not (self.connected | self.lost.keys()).issubset(recorded):
            return 0
        if len(recorded) != self.told:
            self.told_before, self.told = self.told, len(recorded)
            self.told_at = now
        self.informed |= self.connected
        return self.told

    def pooled_share(self, fresh: typing.Collection[str], now: float) -> float:
        """Return the share of each rate that the coordinator may use.

        Parameters
        ----------
        fresh : collection of str
            Connected instances that answered a recent heartbeat.
        now : float
            Current time, seconds.
        """
        if not fresh:
            return 0.0
        silent = (self.connected & self.informed).difference(fresh)
        elsewhere = sum(lost.share for lost in self.lost.values())
        elsewhere += len(silent) * self._own_share(now)
        # Sums of shares are inexact.
        return max(0.0, 1 - elsewhere) if elsewhere < 1 - 1e-9 else 0.0

    def _own_share(self, now: float) -> float:
        """Return the largest share that a connected instance may know of."""
        count = self.told
        if self.told_before and now - self.told_at < HEARTBEAT_TRANSIT_S:
            count = min(count, self.told_before)
        return 1 / count if count else 0.0


class Deputies:
    """The instances of a failure domain that have no coordinator.

    One of them, the deputy, pools the shares that they own. Each alone would
    have a token of a small workspace only every few seconds.

    Attributes
    ----------
    shares : dict of str to float
        Share that each connected instance owns, by name.
    heard_at : dict of str to float
        When each was last heard, seconds.
    used_at : float
        When a pool was last used, seconds.
    """

    def __init__(self) -> None:
        self.used_at = -math.inf
        self.shares: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}

    def join(self, name: str, sharers: int, now: float) -> None:
        """Add the share of an instance that knows the number of sharers."""
        self.shares[name] = 1 / sharers if sharers > 0 else 0.0
        self.heard_at[name] = now

    def new_pool(self, now: float) -> Pool:
        """Return a pool; its buckets have tokens once in a window."""
        is_first = now - self.used_at > WINDOW_S
        self.used_at = now
        return Pool(now, DEPUTY_TOKENS if is_first else 0.0)

    def leave(self, name: str) -> None:
        """Remove the share of an instance."""
        self.shares.pop(name, None)
        self.heard_at.pop(name, None)

    def pooled_share(self, now: float) -> float:
        """Return the sum of the shares of those that were heard recently."""
        return min(
            1.0,
            sum(
                share
                for name, share in self.shares.items()
                if now - self.heard_at[name] <= MAX_HEARTBEAT_AGE_S
            ),
        )


class _Bucket:
    """Tokens of one workspace.

    Attributes
    ----------
    level : float
        Tokens; negative while tokens are leased that are not due yet.
    filled_at : float
        When tokens were last added, seconds.
    promised_at : float
        End of the period in which refused callers were told to retry,
        seconds.
    """

    __slots__ = ('level', 'filled_at', 'promised_at')

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.filled_at = now
        self.promised_at = now

    def fill(self, quota: Quota, share: float, now: float) -> None:
        """Add the tokens that became due since the last call."""
        elapsed_s = max(0.0, now - self.filled_at)
        self.filled_at = max(now, self.filled_at)
        self.level += quota.rate_per_s * share * elapsed_s
        # With less, a workspace without a burst would never get a token.
        max_level = max(1.0, quota.burst * share) if share else 0.0
        self.level = min(self.level, max_level)


class Pool:
    """Token buckets of the coordinator; they are empty as its term begins.

    Attributes
    ----------
    begun_at : float
        Begin of the term, seconds.
    first_level : float
        Tokens that buckets begin with.
    quotas : dict of str to Quota
        Quotas by workspace.
    share : float
        Share of each rate that is pooled.
    buckets : dict of str to _Bucket
        Buckets by workspace.
    """

    def __init__(self, now: float, first_level: float = 0.0) -> None:
        self.begun_at = now
        self.first_level = first_level
        self.quotas: dict[str, Quota] = {}
        self.share = 0.0
        self.buckets: dict[str, _Bucket] = {}

    def configure(self, new: dict[str, Quota], now: float) -> None:
        """Put quotas in force; what exceeds a lowered burst is dropped."""
        if new == self.quotas:
            return
        self._fill_all(now)
        self.quotas = new
        for name in self.buckets.keys() - new.keys():
            del self.buckets[name]
        # A workspace that is new to a former term too has not used its burst.
        is_new = now - self.begun_at > WINDOW_S
        for name, quota in new.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                bucket = self.buckets[name] = _Bucket(now)
                bucket.level = quota.burst if is_new else self.first_level
            bucket.fill(quota, self.share, now)

    def set_share(self, share: float, now: float) -> None:
        """Put a share of all rates in force.

        The buckets hold at most the share of the burst, so what a coordinator
        that stood still would have pooled is dropped with its share.
        """
        if share == self.share:
            return
        self._fill_all(now)
        self.share = share
        self._fill_all(now)

    def _fill_all(self, now: float) -> None:
        for name, bucket in self.buckets.items():
            bucket.fill(self.quotas[name], self.share, now)

    def grant(self, ask: Ask, now: float) -> Grant:
        """Return the tokens for an instance, which become due in time."""
        name = ask.workspace
        needed = _clamp_count(ask.needed)
        extra = _clamp_count(ask.extra)
        quota = self.quotas.get(name)
        if quota is None or (quota.rate_per_s and not self.share):
            return Grant(name, 0, 0, 0.0, 0.0, DENIAL_S, UNKNOWN_RETRY_S)
        if not quota.rate_per_s:
            return Grant(name, needed, needed, 0.0, 0.0, 0.0, 0.0)
        bucket = self.buckets[name]
        bucket.fill(quota, self.share, now)
        rate = quota.rate_per_s * self.share
        ready = bucket.level + rate * _clamp_delay(ask.max_wait_s)
        count = min(needed, max(0, int(ready)))
        if count == needed:
            reserved = RESERVED_SHARE * quota.burst * self.share
            left = bucket.level - count - reserved
            count += min(extra, max(0, int(left)))
        due_now = min(count, max(0, int(bucket.level)))
        delay_s = max(0.0, (due_now + 1 - bucket.level) / rate)
        bucket.level -= count
        wait_s = min(max(0.0, (1 - bucket.level) / rate), MAX_RETRY_S)
        refused = max(0, needed - count) + _clamp_count(ask.refused)
        bucket.promised_at = max(bucket.promised_at, now + wait_s)
        bucket.promised_at = min(
            bucket.promised_at + refused / rate, now + MAX_RETRY_S
        )
        return Grant(
            name,
            count,
            due_now,
            delay_s,
            1 / rate,
            wait_s,
            bucket.promised_at - now,
        )


def _clamp_count(count: int) -> int:
    return min(max(0, count), MAX_COUNT)


def _clamp_delay(delay_s: float) -> float:
    """Return a delay within the bounds; 0 for what is no number."""
    return min(max(0.0, delay_s), MAX_DELAY_S) if delay_s == delay_s else 0.0


class OwnShare:
    """Tokens of an instance without a coordinator.

    The tokens of all instances are evenly spaced: each has one in N. A token
    may be used for as long as the burst takes to become due, so that all
    instances together hold no more than the burst.

    Attributes
    ----------
    next_at : float
        When the next unused token is due, seconds.
    period_s, lifetime_s : float
        Time between two tokens, and for which a token may be used.
    """

    def __init__(
        self, quota: Quota, sharers: int, rank: int, begin_at: float
    ) -> None:
        self.period_s = sharers / quota.rate_per_s
        self.lifetime_s = max(1.0, quota.burst) / quota.rate_per_s
        self.next_at = begin_at + (rank % sharers + 1) / quota.rate_per_s

    def take(self, now: float, until: float) -> Token | None:
        """Take the next token that is due by a time; None if there is none."""
        late_s = now - self.lifetime_s - self.next_at
        if late_s > 0:
            self.next_at += math.ceil(late_s / self.period_s) * self.period_s
        if self.next_at > until:
            return None
        due_at = self.next_at
        self.next_at += self.period_s
        lifetime_s = min(self.lifetime_s, TOKEN_LIFETIME_S)
        return Token(due_at, max(due_at, now) + lifetime_s)


class _Waiter(typing.NamedTuple):
    """A request that waits for a token until a time, seconds."""

    request: int
    until: float


class _Account:
    """What an instance knows of one workspace's quota.

    Attributes
    ----------
    quota : Quota
        The quota in force.
    tokens : list of Token
        Leased tokens that are not used yet.
    waiters : collections.deque of _Waiter
        Requests for which no token was asked yet.
    asked : list of _Waiter
        Requests for which tokens were asked.
    demand, demand_at : float
        Decaying number of requests, and when it was updated, seconds.
    ask_at : float
        When to ask again after a denial, seconds.
    retry_from, retry_until : float
        Period in which refused callers should retry, seconds.
    refused : int
        Requests that were refused since tokens were last asked for.
    own : OwnShare or None
        The own share; None before it is used.
    """

    def __init__(self, quota: Quota) -> None:
        self.quota = quota
        self.tokens: list[Token] = []
        self.waiters: collections.deque[_Waiter] = collections.deque()
        self.asked: list[_Waiter] = []
        self.demand = 0.0
        self.demand_at = 0.0
        self.ask_at = -math.inf
        self.retry_from = self.retry_until = -math.inf
        self.refused = 0
        self.own: OwnShare | None = None

    def count_demand(self, now: float) -> None:
        """Count a request for the expected demand."""
        self.demand = self.expected(now) * DEMAND_S + 1
        self.demand_at = now

    def expected(self, now: float) -> float:
        """Return the expected requests per second."""
        age_s = max(0.0, now - self.demand_at)
        return self.demand * math.exp(-age_s / DEMAND_S) / DEMAND_S

    def take(self, now: float, until: float) -> Token | None:
        """Take the leased token that is due first; None without one."""
        self.tokens = [each for each in self.tokens if each.expires_at > now]
        token = min(self.tokens, default=None)
        if token is None or token.due_at > until:
            return None
        self.tokens.remove(token)
        return token


class Leases:
    """An instance's side: its tokens, and the requests that wait for them.

    Attributes
    ----------
    name : str
        Name of the instance.
    accounts : dict of str to _Account
        Workspaces with a quota, by name.
    connected : bool
        Whether there is a connection to a coordinator or a deputy.
    asked_at : float or None
        When the message that is not answered yet was sent, seconds.
    sharers : int
        Number of instances that divide the rates; 0 if it is not known.
    rank : int
        Place of this instance among them.
    own_from, heard_at : float
        When the use of the own share begins, and when the coordinator was last
        heard, seconds.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.rng = rng
        self.accounts: dict[str, _Account] = {}
        self.connected = False
        self.asked_at: float | None = None
        self.sharers = 0
        self.rank = 0
        self.own_from = self.heard_at = -math.inf

    def is_limited(self, workspace: str) -> bool:
        """Return whether a workspace has a quota."""
        account = self.accounts.get(workspace)
        return account is not None and account.quota.rate_per_s > 0

    def configure(self, new: dict[str, Quota]) -> None:
        """Put quotas in force; leased tokens of a lowered one are dropped."""
        for name, quota in new.items():
            account = self.accounts.get(name)
            if account is None:
                if quota.rate_per_s:
                    self.accounts[name] = _Account(quota)
                continue
            if account.quota == quota:
                continue
            lowered = 0 < quota.rate_per_s < account.quota.rate_per_s
            if lowered or quota.burst < account.quota.burst:
                account.tokens.clear()
            account.quota, account.own = quota, None
        for name in self.accounts.keys() - new.keys():
            self.accounts[name].quota = Quota(0.0, 0.0)
        self.accounts = {
            name: account
            for name, account in self.accounts.items()
            if account.quota.rate_per_s or account.waiters or account.asked
        }

    def connect(self, now: float) -> None:
        """Record that a coordinator answers."""
        if now - self.heard_at > OWN_SHARE_S:
            self.sharers = 0
        self.connected = True
        self._wait_again()

    def owns_share(self, now: float) -> bool:
        """Return whether this instance may use its own share."""
        if not self.sharers or now < self.own_from:
            return False
        return now - self.heard_at <= OWN_SHARE_S

    def join_deputy(self) -> None:
        """Record that a deputy pools the own share."""
        self.connected = True
        self._wait_again()

    def leave_deputy(self, now: float) -> None:
        """Record that the connection to a deputy ended."""
        self.connected = False
        self.own_from = now + OWN_SHARE_DELAY_S
        self._wait_again()

    def _wait_again(self) -> None:
        """Let requests wait whose tokens were asked for elsewhere."""
        self.asked_at = None
        for account in self.accounts.values():
            account.waiters.extendleft(reversed(account.asked))
            account.asked.clear()
            account.ask_at = -math.inf
            account.own = None

    def disconnect(self, now: float, heard_at: float) -> None:
        """Record that the connection to the coordinator ended.

        Parameters
        ----------
        now, heard_at : float
            Current time, and when the coordinator was last heard, seconds.
            The process may have stood still in between.
        """
        if not self.connected:
            return
        self.heard_at = heard_at
        self.leave_deputy(now)

    def set_sharers(
        self, sharers: int, instances: typing.Collection[str]
    ) -> None:
        """Record what a heartbeat tells of the sharers.

        Parameters
        ----------
        sharers : int
            Their number; 0 if it is unchanged.
        instances : collection of str
            Names of the live instances, which give the place of this one.
        """
        if sharers > 0:
            self.sharers = sharers
            self.rank = sum(1 for name in instances if name < self.name)

    def request(
        self, workspace: str, number: int, now: float, until: float
    ) -> Token | Denial | None:
        """Return the token for a request.

        Parameters
        ----------
        workspace : str
            Name of a workspace with a quota.
        number : int
            Number of the request.
        now, until : float
            Current time, and until when the request waits, seconds.

        Returns
        -------
        Token or Denial or None
            None if it waits; `receive` then returns its token, or `give_up`
            has to be called.
        """
        account = self.accounts[workspace]
        account.count_demand(now)
        token = account.take(now, until)
        if token is not None:
            return token
        if self.connected and account.ask_at >= until:
            account.refused += 1
            return self._deny(account, now)
        if not self.connected:
            token = self._take_own(workspace, account, now, until)
            if token is not None:
                return token
        account.waiters.append(_Waiter(number, until))
        return None

    def _take_own(
        self, workspace: str, account: _Account, now: float, until: float
    ) -> Token | None:
        if not account.quota.rate_per_s or not self.owns_share(now):
            return None
        if account.own is None:
            offset = zlib.crc32(workspace.encode())
            account.own = OwnShare(
                account.quota,
                self.sharers,
                self.rank + offset,
                self.own_from,
            )
        return account.own.take(now, until)

    def _deny(self, account: _Account, now: float) -> Denial:
        """Refuse a request by what the coordinator last said."""
        at = self.rng.uniform(
            max(now, account.retry_from), max(now, account.retry_until)
        )
        return Denial('quota', max(MIN_RETRY_S, at - now))

    def give_up(self, workspace: str, number: int, now: float) -> Denial:
        """Return the refusal of a request that has waited long enough."""
        account = self.accounts.get(workspace)
        if account is None:
            return Denial('quota-unknown', UNKNOWN_RETRY_S)
        account.waiters = collections.deque(
            waiter for waiter in account.waiters if waiter.request != number
        )
        account.asked = [
            waiter for waiter in account.asked if waiter.request != number
        ]
        if self.connected and account.retry_until > now:
            account.refused += 1
            return self._deny(account, now)
        return Denial('quota-unknown', self.rng.uniform(*LINKLESS_RETRY_S))

    def give_back(self, workspace: str, token: Token, now: float) -> None:
        """Return the token of a request that was not sent."""
        account = self.accounts.get(workspace)
        if account is not None and token.expires_at > now:
            account.tokens.append(token)

    def ask_at(self) -> float:
        """Return when `ask` has to be called, seconds; inf for never."""
        if not self.connected or self.asked_at is not None:
            return math.inf
        return min(
            (
                account.ask_at
                for account in self.accounts.values()
                if account.waiters
            ),
            default=math.inf,
        )

    def ask(self, now: float) -> list[Ask]:
        """Return what to ask the coordinator for now; it has to be sent.

        One message is on its way at a time, so that requests that come in the
        meantime share the next one.
        """
        if not self.connected or self.asked_at is not None:
            return []
        asks = []
        for name, account in self.accounts.items():
            if not account.waiters or account.ask_at > now:
                continue
            account.asked = list(account.waiters)
            account.waiters.clear()
            ahead = account.expected(now) * LEASE_AHEAD_S
            latest = max(waiter.until for waiter in account.asked)
            asks.append(
                Ask(
                    name,
                    len(account.asked),
                    int(ahead),
                    round(max(0.0, latest - now - ROUND_TRIP_S), 4),
                    account.refused,
                )
            )
            account.refused = 0
        if asks:
            self.asked_at = now
        return asks

    def receive(
        self, grants: typing.Iterable[Grant], now: float
    ) -> list[tuple[int, Token | Denial]]:
        """Return the results of waiting requests after an answer."""
        asked_at, self.asked_at = self.asked_at, None
        if asked_at is None:
            return []
        results: list[tuple[int, Token | Denial]] = []
        for grant in grants:
            account = self.accounts.get(grant.workspace)
            if account is not None:
                results += self._receive(account, grant, asked_at, now)
        for account in self.accounts.values():
            # The answer lacks them.
            account.waiters.extendleft(reversed(account.asked))
            account.asked.clear()
        return results

    def _receive(
        self, account: _Account, grant: Grant, asked_at: float, now: float
    ) -> list[tuple[int, Token | Denial]]:
        delay_s = _clamp_delay(grant.delay_s)
        spacing_s = _clamp_delay(grant.spacing_s)
        for index in range(_clamp_count(grant.tokens)):
            later = index - grant.due_now
            wait_s = 0.0 if later < 0 else delay_s + later * spacing_s
            # The coordinator answered between `asked_at` and now. A token is
            # not used before it is due, nor longer than its lifetime.
            account.tokens.append(
                Token(now + wait_s, asked_at + wait_s + TOKEN_LIFETIME_S)
            )
        asked, account.asked = account.asked, []
        results: list[tuple[int, Token | Denial]] = []
        account.retry_from = now + _clamp_delay(grant.retry_from_s)
        account.retry_until = now + _clamp_delay(grant.retry_until_s)
        for waiter in asked:
            # The answer may be read late, after a standstill.
            token = account.take(now, max(now, waiter.until))
            if token is not None:
                results.append((waiter.request, token))
                continue
            if now - asked_at > TOKEN_LIFETIME_S:
                # The tokens expired while the process stood still.
                account.waiters.append(waiter)
                continue
            wait_s = max(0.0, waiter.until - now)
            account.ask_at = max(
                now + DENIAL_S, account.retry_from - wait_s, account.ask_at
            )
            if account.ask_at < waiter.until and not grant.spacing_s:
                # The coordinator has no shares or no quota yet.
                account.waiters.append(waiter)
            else:
                results.append((waiter.request, self._deny(account, now)))
        return results
