"""A request's progress as a stream of events. Does no I/O.

`feed` orders the events, `codec` encodes them, and `registry` keeps the streams that clients may return to.
"""
