"""The decisions of a dispatcher that pushes jobs to workers: pure, without clock, I/O or global state.

`dispatcher` maps each event to the parts below; each part owns its state, and `context` holds what all share.

- Which workers there are: `membership`, `workers`.
- Whether a job may come in: `arrivals`, `admission` (fleet rate), `quotas` (tenants), `peer_reports`.
- Where it goes: `placement`, `routing`, `load_probing`, `request_queue`, `request_table`.
- How much a worker may have: `concurrency_limits`, `slow_start`, `work_estimates`.
- Workers at fault: `outlier_detection`, `stall_detection`, `attempt_outcomes`, `progress_notices`.
- Further attempts: `retries`, `hedging`.
"""

from .dispatcher import Dispatcher
from .interface import Settings

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.1.0"
