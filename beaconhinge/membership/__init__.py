"""The endpoint list: when discovery is called, which answers are applied, and whether work may be sent by it.

Everything here is pure: time, jitter and parsed answers are arguments. `net/discovery.py` does the I/O.

A dispatcher *counts as notified* of a change of the list some time after discovery made it, whether or not it
has received the change. From then on it must not send jobs to a worker that the change takes out of service.
Many timeouts here are chosen so that the change is received before that time.
"""
