"""What operators ask of a running dispatcher. Pure: no sockets, no clock."""
