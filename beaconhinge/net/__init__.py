"""Network I/O: connections to clients, workers, discovery and other dispatchers."""
