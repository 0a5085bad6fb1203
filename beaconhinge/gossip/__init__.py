"""Exchange of load, demand and worker failures between dispatchers: state and datagram codec, no I/O."""
