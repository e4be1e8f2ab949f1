"""Trials of real processes under faults.

Read history, process, trial, samples, fault_log, process_faults, director, loads, runs and report, in this order.
"""
