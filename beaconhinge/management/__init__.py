"""Operators' calls, and the state that an upgrade hands over. Pure: no sockets, no clock."""
