"""What every part runs on: the clock, the timer wheel, counters, log lines and supervised tasks."""
