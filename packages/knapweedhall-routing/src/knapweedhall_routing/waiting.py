"""Order and bounds of the requests that wait for room at upstreams.

Load that this is meant for: a burst, or the loss of a failure domain, brings
the upstreams of a service to their limits for seconds. Requests that are held
back here can still be overtaken, withdrawn and moved with their key, unlike
those in the queue of an upstream.
"""

from __future__ import annotations

import heapq
import math
import typing

# Share of the latency objective for which holding a request costs nothing
# (users' rules on refusals).
PATIENCE_SHARE = 1 / 8
# Of this many requests that are sent, a waiting kind that is less urgent gets
# one: the share of a tenth that each kind keeps.
LESS_URGENT_PERIOD = 10
# A less urgent kind gets it only below this share of the fraction that is
# served of each more urgent one: it must not be served better, and the
# counts are of the last seconds only.
LESS_URGENT_LIMIT = 0.8
# A kind or workspace goes first below this share of the fraction that is
# served of all requests. The rule is a quarter; the rest allows for the
# requests that are refused before the next one is served.
FLOOR_SHARE = 0.35
# Time constant of the counts of served and refused requests: a burst lasts
# about that long, and an instance gets few requests of one workspace.
COUNT_DECAY_S = 10.0
# The process checks a queue with entries at least every 0.1 s; a longer gap
# is a standstill, in which no request could be sent.
STANDSTILL_S = 0.25
# Groups of which counts are kept. Those without recent requests are dropped
# above that; a configuration may name others with each version.
MAX_TALLIES = 1000
MIN_KEPT_COUNT = 0.01
# Rank of a request whose kind or workspace is below its floor.
FIRST_RANK = -math.inf
# Stale items that a heap may hold for each live one before it is rebuilt.
MAX_STALE_RATIO = 2
MIN_REBUILT_ITEMS = 64

# Reasons of refusals.
FULL = 'queue-full'
NO_ROOM = 'no-room'
TOO_LATE = 'too-late'
OVERTAKEN = 'overtaken'

# A kind of request (its priority) or a workspace (its name).
Group = int | str
_HeapItem = tuple[float, ...]


class Entry(typing.NamedTuple):
    """A request that waits.

    Attributes
    ----------
    number : int
        Number of the call, unique.
    lane : str
        Owner of its key; '' if any upstream of the service can run it.
    priority : int
        0 is the most urgent.
    objective_at : float
        End of its latency objective, seconds.
    patience_until : float
        Until when it may wait without being next in order, seconds.
    send_by : float
        Until when it may wait if it is next in order, seconds.
    size : int
        Size of its body in bytes.
    workspace : str
        Name of its workspace; '' if none.
    """

    number: int
    lane: str
    priority: int
    objective_at: float
    patience_until: float
    send_by: float
    size: int = 0
    workspace: str = ''


class Room(typing.NamedTuple):
    """When this instance can send more requests of a lane.

    Attributes
    ----------
    per_s : float
        Requests per second.
    next_at : float
        When the next one may be sent at the earliest, seconds.
    """

    per_s: float
    next_at: float = -math.inf


class Refusal(typing.NamedTuple):
    """An entry that left the queue unserved, and why."""

    number: int
    reason: str


class _Tally:
    """Decaying counts of the requests of one group.

    Attributes
    ----------
    served, ended : float
        Requests that were sent, and those that were sent or refused.
    promised : int
        Waiting requests that go first because the group is below its floor.
    at : float
        Time of the counts, seconds.
    """

    __slots__ = ('served', 'ended', 'promised', 'at')

    def __init__(self, now: float) -> None:
        self.served = self.ended = 0.0
        self.promised = 0
        self.at = now

    def decay(self, now: float) -> None:
        """Let the counts lose their weight up to now."""
        if now > self.at:
            factor = math.exp((self.at - now) / COUNT_DECAY_S)
            self.served *= factor
            self.ended *= factor
            self.at = now


class Fractions:
    """Fractions of the requests that are served, by kind and workspace.

    Attributes
    ----------
    total : _Tally
        Counts of all requests.
    tallies : dict of Group to _Tally
        Counts by group.
    """

    def __init__(self) -> None:
        self.total = _Tally(-math.inf)
        self.tallies: dict[Group, _Tally] = {}

    def record(
        self, groups: typing.Iterable[Group], served: bool, now: float
    ) -> None:
        """Count a request that was sent or refused."""
        for tally in (self.total, *(self._find(each, now) for each in groups)):
            tally.decay(now)
            tally.ended += 1
            tally.served += served

    def promise(self, groups: typing.Iterable[Group], change: int) -> None:
        """Change the number of waiting requests that go first."""
        for group in groups:
            self._find(group, -math.inf).promised += change

    def overall(self, now: float) -> float:
        """Return the fraction that was served of all requests."""
        self.total.decay(now)
        return (self.total.served + 1) / (self.total.ended + 1)

    def of(self, group: Group, now: float) -> float:
        """Return the fraction that was served of a group's requests.

        A group with few requests counts as served like all others.
        """
        overall = self.overall(now)
        tally = self.tallies.get(group)
        if tally is None:
            return overall
        tally.decay(now)
        return (tally.served + tally.promised + overall) / (
            tally.ended + tally.promised + 1
        )

    def is_below_floor(self, group: Group, now: float) -> bool:
        """Return whether too few of a group's requests were served."""
        return self.of(group, now) < FLOOR_SHARE * self.overall(now)

    def _find(self, group: Group, now: float) -> _Tally:
        tally = self.tallies.get(group)
        if tally is None:
            if len(self.tallies) >= MAX_TALLIES:
                self._drop_unused(now)
            tally = self.tallies[group] = _Tally(now)
        return tally

    def _drop_unused(self, now: float) -> None:
        for group, tally in list(self.tallies.items()):
            tally.decay(now)
            if tally.ended < MIN_KEPT_COUNT and not tally.promised:
                del self.tallies[group]


class _Lane:
    """Waiting requests of one owner, or of all upstreams of a service.

    Attributes
    ----------
    heaps : dict of float to list
        Objective and number of the requests, by rank; with stale items.
    counts : dict of float to int
        Number of waiting requests, by rank, in ascending order of ranks.
    """

    __slots__ = ('heaps', 'counts')

    def __init__(self) -> None:
        self.heaps: dict[float, list[_HeapItem]] = {}
        self.counts: dict[float, int] = {}

    def add(self, rank: float, item: _HeapItem) -> None:
        """Add a request."""
        if rank not in self.counts:
            self.counts[rank] = 0
            self.counts = dict(sorted(self.counts.items()))
        self.counts[rank] += 1
        heapq.heappush(self.heaps.setdefault(rank, []), item)

    def discard(self, rank: float) -> None:
        """Count a request as removed."""
        self.counts[rank] -= 1
        if not self.counts[rank]:
            del self.counts[rank], self.heaps[rank]


class _Waiting(typing.NamedTuple):
    """An entry and its rank, which is its priority unless it goes first."""

    entry: Entry
    rank: float


class Queue:
    """Requests to one service that wait at one instance.

    A request leaves in the order of `take`, when its caller leaves
    (`remove`), or with a refusal from `add`, `expire` or `clear`. Each
    operation costs O(log n), and O(k) for k different priorities.

    Attributes
    ----------
    max_entries, max_bytes : int
        Bounds of the number of entries and of their sizes together.
    bytes : int
        Size of all entries.
    fractions : Fractions
        What was served of each kind and workspace.
    passed : dict of float to int
        Requests that were sent while less urgent ones waited, since the last
        one of these was sent, by the rank of the latter.
    stood_still_s : float
        Length of all standstills; patience does not count them, seconds.
    checked_at : float
        When the queue was last used, seconds.
    """

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.bytes = 0
        self.fractions = Fractions()
        self.passed: dict[float, int] = {}
        self.stood_still_s = 0.0
        self.checked_at = -math.inf
        self._waiting: dict[int, _Waiting] = {}
        self._lanes: dict[str, _Lane] = {}
        # Heaps with stale items: by urgency (the least urgent first), by the
        # end of the patience and by the last time to send.
        self._least_urgent: list[_HeapItem] = []
        self._patience: list[_HeapItem] = []
        self._send_by: list[_HeapItem] = []
        # Entries whose patience is over, as they were next in order then.
        self._overdue: set[int] = set()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def lanes(self) -> list[str]:
        """Return the lanes with waiting requests."""
        return list(self._lanes)

    def has_lane(self, lane: str) -> bool:
        """Return whether requests wait in a lane."""
        return lane in self._lanes

    def count(self, lane: str) -> int:
        """Return how many requests wait in a lane."""
        known = self._lanes.get(lane)
        return 0 if known is None else sum(known.counts.values())

    def lane_of(self, number: int) -> str | None:
        """Return the lane of a request; None if it does not wait."""
        waiting = self._waiting.get(number)
        return None if waiting is None else waiting.entry.lane

    def numbers(self, lane: str | None = None) -> list[int]:
        """Return the numbers of all waiting requests, or of those of a lane.

        Costs O(n).
        """
        return [
            number
            for number, waiting in self._waiting.items()
            if lane is None or waiting.entry.lane == lane
        ]

    def record_sent(self, priority: int, workspace: str, now: float) -> None:
        """Count a request that was sent without waiting."""
        self.fractions.record(_groups(priority, workspace), True, now)

    def record_refused(
        self, priority: int, workspace: str, now: float
    ) -> None:
        """Count a request that was refused without waiting."""
        self.fractions.record(_groups(priority, workspace), False, now)

    def add(
        self, entry: Entry, now: float, room: Room | None = None
    ) -> list[Refusal]:
        """Add a request; return what is refused, which may be itself.

        Parameters
        ----------
        entry : Entry
            The request.
        now : float
            Current time, seconds.
        room : Room or None
            When there will be room in its lane; None if that is not known.
        """
        self.observe(now)
        groups = _groups(entry.priority, entry.workspace)
        rank: float = entry.priority
        if any(self.fractions.is_below_floor(each, now) for each in groups):
            rank = FIRST_RANK
        waiting = _Waiting(entry, rank)
        if entry.send_by <= now:
            return [self._refuse_at_once(entry, TOO_LATE, now)]
        if room is not None and not self._has_chance(waiting, room, now):
            return [self._refuse_at_once(entry, NO_ROOM, now)]
        evicted = self._find_room(waiting)
        if evicted is None:
            return [self._refuse_at_once(entry, FULL, now)]
        refusals = [self._refuse(number, FULL, now) for number in evicted]
        self._insert(waiting)
        return refusals

    def head(self, lane: str, now: float) -> int | None:
        """Return the number of the request that is next in a lane."""
        rank = self._next_rank(lane, now)
        return None if rank is None else self._top(lane, rank)

    def take(self, lane: str, now: float) -> int | None:
        """Remove the next request of a lane, to be sent; return its number."""
        self.observe(now)
        rank = self._next_rank(lane, now)
        if rank is None:
            return None
        number = self._top(lane, rank)
        self._pay(lane, rank)
        entry = self._remove(number)
        self.fractions.record(
            _groups(entry.priority, entry.workspace), True, now
        )
        return number

    def remove(self, number: int) -> Entry | None:
        """Remove a request that is neither sent nor refused."""
        if number not in self._waiting:
            return None
        return self._remove(number)

    def observe(self, now: float) -> bool:
        """Note the time; return whether the process has stood still.

        What waited could not be sent in the meantime, so the patience of all
        entries is extended by a standstill.
        """
        gap_s = now - self.checked_at
        self.checked_at = max(now, self.checked_at)
        if not self._waiting or gap_s <= STANDSTILL_S:
            return False
        self.stood_still_s += gap_s
        return True

    def expire(self, now: float) -> list[Refusal]:
        """Remove the requests that must not wait any longer."""
        refusals = []
        while self._send_by and self._send_by[0][0] <= now:
            number = int(heapq.heappop(self._send_by)[-1])
            waiting = self._waiting.get(number)
            if waiting is not None and waiting.entry.send_by <= now:
                refusals.append(self._refuse(number, TOO_LATE, now))
        patience_time = now - self.stood_still_s
        while self._patience and self._patience[0][0] <= patience_time:
            number = int(heapq.heappop(self._patience)[-1])
            if number in self._waiting:
                self._overdue.add(number)
        for number in list(self._overdue):
            lane = self._waiting[number].entry.lane
            if self.head(lane, now) != number:
                refusals.append(self._refuse(number, OVERTAKEN, now))
        return refusals

    def next_at(self) -> float:
        """Return when `expire` has something to do; inf if never."""
        times = [math.inf]
        if self._send_by:
            times.append(self._send_by[0][0])
        if self._patience:
            times.append(self._patience[0][0] + self.stood_still_s)
        return min(times)

    def clear(self) -> list[int]:
        """Remove all requests; return their numbers."""
        numbers = list(self._waiting)
        for number in numbers:
            self._remove(number)
        return numbers

    def ahead(self, number: int) -> int:
        """Return how many requests are expected to be sent before one."""
        waiting = self._waiting[number]
        counts = self._lanes[waiting.entry.lane].counts
        return sum(
            count for rank, count in counts.items() if rank <= waiting.rank
        )

    def _has_chance(self, waiting: _Waiting, room: Room, now: float) -> bool:
        """Return whether a request is expected to be sent if it is added."""
        entry, rank = waiting
        lane = self._lanes.get(entry.lane)
        counts = {} if lane is None else lane.counts
        alike = counts.get(rank, 0)
        ahead = alike + sum(
            count for each, count in counts.items() if each < rank
        )
        sent_at = max(now, room.next_at)
        if not ahead:
            return sent_at < entry.send_by
        ahead = min(ahead, (alike + 1) * LESS_URGENT_PERIOD)
        sent_at += ahead / room.per_s if room.per_s > 0 else math.inf
        return sent_at < min(entry.patience_until, entry.send_by)

    def _find_room(self, waiting: _Waiting) -> list[int] | None:
        """Return what has to leave for a request; None if it has no room."""
        own = _urgency_item(waiting)
        entries, size = len(self._waiting) + 1, self.bytes + waiting.entry.size
        popped: list[_HeapItem] = []
        evicted: list[int] = []
        while entries > self.max_entries or size > self.max_bytes:
            if not self._least_urgent or self._least_urgent[0] > own:
                for item in popped:
                    heapq.heappush(self._least_urgent, item)
                return None
            item = heapq.heappop(self._least_urgent)
            known = self._waiting.get(-int(item[-1]))
            if known is None or _urgency_item(known) != item:
                continue
            popped.append(item)
            evicted.append(known.entry.number)
            entries -= 1
            size -= known.entry.size
        return evicted

    def _insert(self, waiting: _Waiting) -> None:
        entry, rank = waiting
        self._waiting[entry.number] = waiting
        self.bytes += entry.size
        lane = self._lanes.setdefault(entry.lane, _Lane())
        lane.add(rank, (entry.objective_at, entry.number))
        heapq.heappush(self._least_urgent, _urgency_item(waiting))
        # Standstills before this entry came don't extend its patience.
        patience_until = entry.patience_until - self.stood_still_s
        heapq.heappush(self._patience, (patience_until, entry.number))
        heapq.heappush(self._send_by, (entry.send_by, entry.number))
        if rank == FIRST_RANK:
            self._promise(entry, 1)

    def _remove(self, number: int) -> Entry:
        entry, rank = self._waiting.pop(number)
        self.bytes -= entry.size
        self._overdue.discard(number)
        lane = self._lanes[entry.lane]
        lane.discard(rank)
        if not lane.counts:
            del self._lanes[entry.lane]
        if rank == FIRST_RANK:
            self._promise(entry, -1)
        if not self._waiting:
            self.passed.clear()
        self._drop_stale(lane, rank)
        return entry

    def _promise(self, entry: Entry, change: int) -> None:
        groups = _groups(entry.priority, entry.workspace)
        self.fractions.promise(groups, change)

    def _drop_stale(self, lane: _Lane, rank: float) -> None:
        """Rebuild heaps in which most items are stale, at O(1) per item."""
        live = len(self._waiting)
        for heap in (self._least_urgent, self._patience, self._send_by):
            if len(heap) > MAX_STALE_RATIO * live + MIN_REBUILT_ITEMS:
                heap[:] = {
                    item
                    for item in heap
                    if abs(int(item[-1])) in self._waiting
                }
                heapq.heapify(heap)
        heap = lane.heaps.get(rank, [])
        if len(heap) > MAX_STALE_RATIO * live + MIN_REBUILT_ITEMS:
            heap[:] = {item for item in heap if item[-1] in self._waiting}
            heapq.heapify(heap)

    def _refuse(self, number: int, reason: str, now: float) -> Refusal:
        return self._refuse_at_once(self._remove(number), reason, now)

    def _refuse_at_once(
        self, entry: Entry, reason: str, now: float
    ) -> Refusal:
        self.record_refused(entry.priority, entry.workspace, now)
        return Refusal(entry.number, reason)

    def _top(self, lane_name: str, rank: float) -> int:
        """Return the number of the first live request of a rank."""
        heap = self._lanes[lane_name].heaps[rank]
        while True:
            number = int(heap[0][-1])
            waiting = self._waiting.get(number)
            if waiting is not None and waiting.rank == rank:
                if waiting.entry.lane == lane_name:
                    return number
            heapq.heappop(heap)

    def _next_rank(self, lane_name: str, now: float) -> float | None:
        """Return the rank that is next in a lane; None if it is empty.

        That is the most urgent one, unless a less urgent one has not yet had
        its share. No kind is served better than a more urgent one.
        """
        lane = self._lanes.get(lane_name)
        if lane is None:
            return None
        first, *others = lane.counts
        if first == FIRST_RANK:
            return first
        least = self.fractions.of(int(first), now)
        for rank in others:
            served = self.fractions.of(int(rank), now)
            if self.passed.get(rank, 0) >= LESS_URGENT_PERIOD - 1:
                if served <= least * LESS_URGENT_LIMIT:
                    return rank
            least = min(least, served)
        return first

    def _pay(self, lane_name: str, sent_rank: float) -> None:
        """Update the shares of less urgent kinds for a request to be sent."""
        for rank in self._lanes[lane_name].counts:
            if rank == sent_rank:
                self.passed[rank] = 0
            elif rank > sent_rank:
                self.passed[rank] = self.passed.get(rank, 0) + 1


def patience_until(added_at: float, objective_s: float) -> float:
    """Return until when a request may wait without being next in order."""
    return added_at + PATIENCE_SHARE * objective_s


def _groups(priority: int, workspace: str) -> tuple[Group, ...]:
    return (priority, workspace) if workspace else (priority,)


def _urgency_item(waiting: _Waiting) -> _HeapItem:
    """Return a key that is smaller the less urgent a request is."""
    entry = waiting.entry
    return (-waiting.rank, -entry.objective_at, -entry.number)
