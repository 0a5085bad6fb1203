"""An embedded store that survives cuts: an append-only log in segments, an index in memory, cleaning,
recovery.

    store = Store.open(folder)
    await store.commit([Put(b"key", b"value"), Delete(b"other")])   # durable when it returns
    store.get(b"key")

`docs/design/store.md` tells why it is as it is, `docs/design/store-format.md` its bytes.
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
