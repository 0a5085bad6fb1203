"""State that a process may still rely on after a restart or a stall. Pure; `net/recovery.py` connects it."""
