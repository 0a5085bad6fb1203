"""beaconhinge: a dispatcher (load balancer) that carries out the decisions of `beaconhinge.policy`."""

__version__ = "0.1.0"
