"""beaconhinge: a dispatcher (load balancer) on real sockets round the decisions in `beaconhinge.policy`."""

__version__ = "0.1.0"
