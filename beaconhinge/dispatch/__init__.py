"""The life of a request between the listener, the policy and the worker connections; no sockets here."""
