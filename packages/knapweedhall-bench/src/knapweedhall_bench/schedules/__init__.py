"""Randomized schedules of instances and upstreams, in simulated real time.

Messages are lost, delayed, duplicated and reordered, processes pause, and
clocks run at rates within 0.2%. The checks use real time, which no process
sees.
"""
