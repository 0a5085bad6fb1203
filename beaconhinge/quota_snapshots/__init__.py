"""A dispatcher's books, kept over a restart: what tenants used, what the fleet takes, what others were heard
to say.

`record` turns the module's books into a versioned record and back, without I/O; `keeper` writes and reads it.
"""
