"""Leases for fleet-wide tasks: a lease has at most one holder, granted by a majority of the council. Pure.

`terms` defines spans and councils, `votes` decides what a member grants, `holder` acquires, renews and
releases a lease, `node` combines both for one process, `wire` encodes the messages; `net/leases.py` connects
them to sockets, timers and the disk. Times are seconds of one forward-only clock of this process alone;
clocks of two processes are never compared. `docs/design/leases.md` has the guarantee and its proof.
"""
