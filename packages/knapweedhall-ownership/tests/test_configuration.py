"""Stores of readers that take different ways through the same log."""

from __future__ import annotations

import collections
import itertools
import random
import unittest

from knapweedhall_ownership import checkpoints
from knapweedhall_ownership import configuration
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors

Log = list[tuple[int, bodies.Record | errors.Refusal]]


def record(
    name: str, version: int, replaces: int, number: int, writer: str = 'w'
) -> bodies.Record:
    """Return a mark record."""
    return bodies.Record(
        'mark', 2, name, version, replaces, writer, 1, number,
        bodies.Mark('out'),
    )  # fmt: skip


def related(
    rng: random.Random, store: configuration.Store, number: int
) -> bodies.Record:
    """Return a service, or a plan that may contradict it."""
    name, slices = rng.choice('abc'), rng.choice([1, 2])
    limits = bodies.Limits(4, 100)
    kind, body = rng.choice([
        ('service', bodies.Service('divided', limits, slices)),
        ('plan', bodies.Plan(('u',), ((0,),) * slices)),
    ])  # fmt: skip
    known = store.get(kind, name)
    base = known.version if known else 0
    return bodies.Record(kind, 2, name, base + 1, base, 'w', 1, number, body)


def random_log(rng: random.Random, length: int) -> Log:
    """Return a log with races, repeats, invalid records and checkpoints."""
    store, log = configuration.Store(), []
    sent: list[bodies.Record] = []
    for offset in range(length):
        entry: bodies.Record | errors.Refusal
        if sent and rng.random() < 0.3:
            entry = rng.choice(sent)
        elif rng.random() < 0.3:
            entry = related(rng, store, offset)
            sent.append(entry)
        elif rng.random() < 0.05:
            entry = errors.MalformedRecord('x', 'y')
        else:
            name = f'domain/{rng.randrange(3)}'
            known = store.get('mark', name)
            base = (known.version if known else 0) + rng.randrange(-1, 3)
            base = max(0, base)
            entry = record(name, base + 1, base, offset)
            sent.append(entry)
        store.apply(offset, entry)
        log.append((offset, entry))
    return log


def read(log: Log, store: configuration.Store | None = None) -> str:
    """Return the digest of a reader."""
    store = store or configuration.Store()
    for offset, entry in log:
        if offset >= store.next_offset:
            store.apply(offset, entry)
    return store.digest()


class StoreTest(unittest.TestCase):
    """Decisions on records."""

    def test_lower_offset_wins_a_race(self) -> None:
        """Guards against two operators who both think they have won."""
        store = configuration.Store()
        first, second = record('domain/a', 1, 0, 1), record(
            'domain/a', 2, 0, 2
        )
        self.assertEqual(
            configuration.InForce(first, None), store.apply(0, first)
        )
        self.assertEqual(
            configuration.Superseded(second, 1), store.apply(1, second)
        )
        self.assertEqual(configuration.Repeated(first), store.apply(2, first))

    def test_readers_from_a_checkpoint_agree(self) -> None:
        """Guards against a tail decided differently after a checkpoint."""
        rng = random.Random(7)
        differing = 0
        for _ in range(150):
            log = random_log(rng, 60)
            cut = rng.randrange(60)
            full, early = configuration.Store(), configuration.Store()
            expected = read(log, full)
            read(log[:cut], early)
            snapshot = early.snapshot()
            late = configuration.Store()
            late.load(snapshot)
            self.assertEqual(expected, read(log, late))
            # Without the records that replace future versions.
            poor = configuration.Store()
            poor.load(snapshot._replace(ahead=()))
            differing += read(log, poor) != expected
        self.assertGreater(differing, 0)

    def test_readers_with_records_from_peers_agree(self) -> None:
        """Guards against records decided against a later version."""
        differing: collections.Counter[str] = collections.Counter()
        for seed, missing in itertools.product(
            range(150), ('nothing', 'offset', 'first')
        ):
            rng = random.Random(seed)
            log = random_log(rng, 60)
            peer, reader = configuration.Store(), configuration.Store()
            read(log[: rng.randrange(30, 60)], peer)
            read(log[: rng.randrange(30)], reader)
            entries = peer.newer_than(reader.versions())
            if missing != 'nothing':
                entries = [each._replace(**{missing: -1}) for each in entries]
            reader.load(configuration.Snapshot(0, tuple(entries)))
            differing[missing] += read(log, reader) != read(log)
        self.assertEqual(0, differing['nothing'])
        self.assertGreater(differing['offset'], 0)
        self.assertGreater(differing['first'], 0)

    def test_load_never_goes_back(self) -> None:
        """Guards against a peer that lags or a stale checkpoint."""
        store = configuration.Store()
        store.apply(0, record('domain/a', 1, 0, 1))
        old = store.snapshot()
        store.apply(1, record('domain/a', 2, 1, 2))
        digest = store.digest()
        self.assertEqual([], store.load(old))
        self.assertEqual((digest, 2), (store.digest(), store.next_offset))


class CheckpointTest(unittest.TestCase):
    """Chunks of checkpoints on the log."""

    def chunks(
        self, store: configuration.Store, writer: str, number: int = 0
    ) -> list[bodies.Record]:
        """Return a store's checkpoint as records."""
        return [
            bodies.Record(
                'checkpoint', 2, str(body.chunk), 1, 0, writer, 1,
                number + body.chunk, body,
            )
            for body in checkpoints.divide(store.snapshot())
        ]  # fmt: skip

    def store(self, marks: int) -> configuration.Store:
        """Return a store with long records and a lost future one."""
        store = configuration.Store()
        for i in range(marks):
            name = f'domain/{"é" if i % 2 else "e"}{"x" * 150}{i}'
            store.apply(i, record(name, 1, 0, i))
        store.apply(marks, record('domain/a', 9, 8, marks))
        return store

    def test_chunks_fit_and_join(self) -> None:
        """Guards against quoting that makes a chunk too long for the log."""
        store = self.store(900)
        assembler, found = checkpoints.Assembler(), None
        chunks = self.chunks(store, 'w')
        self.assertGreater(len(chunks), 2)
        for chunk in chunks:
            encoded = codec.encode(chunk)
            self.assertLess(len(encoded), codec.MAX_RECORD_BYTES)
            self.assertIsNone(found)
            decoded = codec.decode(encoded)
            assert isinstance(decoded, bodies.Record)
            found = assembler.add(decoded)
        self.assertEqual(store.snapshot(), found)

    def test_chunks_of_two_writers_are_not_mixed(self) -> None:
        """Guards against half a checkpoint of each of two writers."""
        one, two = self.store(900), self.store(901)
        assembler = checkpoints.Assembler()
        first, second = self.chunks(one, 'v'), self.chunks(two, 'w')
        for chunk in [*first[:1], *second[1:]]:
            self.assertIsNone(assembler.add(chunk))
        self.assertEqual(two.snapshot(), assembler.add(second[0]))

    def test_start_from_the_retained_log(self) -> None:
        """Guards against a reader that overlooks expired records."""
        rng = random.Random(3)
        log = random_log(rng, 40)
        early = configuration.Store()
        read(log[:20], early)
        place = 30
        chunk = self.chunks(early, 'w', 1000)
        kept: Log = [*log[15:place], *((place, each) for each in chunk)]
        kept += [(offset + 1, each) for offset, each in log[place:]]
        store = checkpoints.start(15, kept)
        assert store is not None
        self.assertEqual(read(log), store.digest())
        self.assertIsNone(checkpoints.start(15, kept[: place - 16]))
