import sys
from pathlib import Path

from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))

# The same examples in each run, and no example judged by how busy the machine is.
settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
