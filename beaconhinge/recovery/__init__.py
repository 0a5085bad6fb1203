"""What a process may still believe after it was away. Pure; `net/recovery.py` wires it."""
