"""Stand-ins for disks, workers, discovery and clients, used by tests, the demo and rehearsals."""
