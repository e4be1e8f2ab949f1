"""Rollout: activate a version of the rules (package rules) at all gateways or at none.

Read agent (what one gateway does), leader (what the log's leader does), admission (the gate that requests pass) and
effects (disk, checks, log); then observed_state, local_gateway, runtime (the threads), setup, control_calls and status.
"""
