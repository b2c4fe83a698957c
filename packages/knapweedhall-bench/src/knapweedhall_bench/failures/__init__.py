"""Failure scenarios on separate processes, judged by the trace checker."""
