"""Stand-ins for what is outside: disks, script boxes, discovery, clients. For tests, demo, rehearsals."""
