"""An embedded key-value store that survives power cuts and kills: an append-only log in segments, an index in
memory, cleaning of old segments, and recovery.

    store = Store.open(folder)
    await store.commit([Put(b"key", b"value"), Delete(b"other")])   # durable when it returns
    store.get(b"key")

`docs/design/store.md` gives the reasons for the design, `docs/design/store-format.md` the file format.
"""

from .codec import Change, Delete, Put
from .errors import (
    StoreClosed,
    StoreCorrupt,
    StoreError,
    StoreFailed,
    StoreFull,
    StoreLocked,
    StoreTooLarge,
    StoreUnreadable,
    StoreVersion,
)
from .options import Options
from .store import Store

__all__ = [
    "Change",
    "Delete",
    "Options",
    "Put",
    "Store",
    "StoreClosed",
    "StoreCorrupt",
    "StoreError",
    "StoreFailed",
    "StoreFull",
    "StoreLocked",
    "StoreTooLarge",
    "StoreUnreadable",
    "StoreVersion",
]
