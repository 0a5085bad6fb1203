"""The endpoint list: when discovery is called, which answers are applied, and when a list may be acted on.

Everything here is pure: time, jitter and parsed answers are arguments. `net/discovery.py` does the I/O.
"""
