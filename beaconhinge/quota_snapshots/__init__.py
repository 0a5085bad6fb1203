"""Snapshots of quota state that survive a restart: usage by tenant, the fleet rate, and reports of peers.

`record` converts that state of the policy to a versioned record and back, without I/O; `writer` stores it.
"""
