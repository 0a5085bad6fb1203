"""Leases for tasks of the whole fleet: at most one holder, by the votes of a majority. Pure.

`terms` says for how long and by whose votes, `votes` what a member grants, `holder` how a lease is taken,
kept and given up, `node` is both for one process, `wire` how they talk; `net/leases.py` wires it. Times are
seconds of one forward-only clock of this process alone; nothing here compares the clocks of two.
`docs/design/leases.md` has the promise and the proof.
"""
