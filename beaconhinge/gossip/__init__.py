"""What dispatchers tell each other about load, demand and workers: state and datagram codec, no I/O."""
