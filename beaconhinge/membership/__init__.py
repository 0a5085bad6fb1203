"""The list of workers: when discovery is called, what is taken of its answers, and how long it counts."""
