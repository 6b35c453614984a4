"""Table of bounded size with least-recently-used eviction."""

import collections
import typing

Key = typing.TypeVar('Key', bound=typing.Hashable)
Value = typing.TypeVar('Value')


class LruTable(typing.Generic[Key, Value]):
    """Up to `max_rows` values by key."""

    def __init__(
        self,
        max_rows: int,
        factory: typing.Callable[[], Value],
        on_evicted: typing.Callable[[Key], object] | None = None,
    ) -> None:
        """Start empty; `factory` creates the value of a new key.

        `on_evicted` is called with each key that makes room for another.
        """
        self.on_evicted = on_evicted
        self.max_rows = max_rows
        self.factory = factory
        self.rows: collections.OrderedDict[Key, Value] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self.rows)

    def peek(self, key: Key) -> Value | None:
        """Return the value of a key without marking it as used."""
        return self.rows.get(key)

    def get_or_create(self, key: Key) -> Value:
        """Return the value of a key and mark it as used.

        A missing key is added; the least recently used one is evicted if the
        table is full.
        """
        row = self.rows.get(key)
        if row is None:
            row = self.factory()
            self.rows[key] = row
            if len(self.rows) > self.max_rows:
                evicted, _ = self.rows.popitem(last=False)
                if self.on_evicted is not None:
                    self.on_evicted(evicted)
        self.rows.move_to_end(key)
        return row
