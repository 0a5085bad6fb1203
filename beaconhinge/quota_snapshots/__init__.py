"""Snapshots that outlast a restart: what tenants used, what the fleet takes, what peers have reported.

`record` turns that state of the policy into a versioned record and back, without I/O; `writer` stores it.
"""
