"""A randomized soak test that injects faults into daemon processes.

It checks the promises to callers from the outcomes that callers, targets and
the store observe.
"""
