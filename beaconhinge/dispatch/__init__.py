"""Handles requests between the listener, the policy and the worker connections. Opens no sockets itself."""
