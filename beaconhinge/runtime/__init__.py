"""Services that every part uses: the clock, the timer wheel, counters, log lines and supervised tasks."""
