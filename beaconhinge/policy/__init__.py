"""The policy of a dispatcher that pushes jobs to workers. It uses no clock, I/O or global state.

`dispatcher` passes each event to the modules below. Each owns its state; `context` holds shared data.

- Which workers exist: `membership`, `workers`.
- Whether a job is admitted: `arrivals`, `admission` (fleet rate), `quotas` (tenants), `peer_reports`.
- Which worker gets a job: `placement`, `routing`, `load_probing`, `request_queue`, `request_table`.
- How many jobs a worker gets: `concurrency_limits`, `slow_start`, `work_estimates`.
- Faulty workers: `outlier_detection`, `stall_detection`, `attempt_outcomes`, `progress_notices`.
- Further attempts: `retries`, `hedging`.
"""

from .dispatcher import Dispatcher
from .interface import Settings

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.1.0"
