"""Stand-ins for what is outside: disks, script workers, discovery, clients. For tests, demo, rehearsals."""
