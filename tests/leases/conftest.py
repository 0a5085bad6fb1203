"""Lets the tests of this folder import the helper modules beside them."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
