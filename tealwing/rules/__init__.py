"""Versions of the rules: what a version is, and the registry of versions in the replicated log; pure.

The package rollout activates a version at the gateways. Read records, registry_state, coverage, the package
transitions, then registry; for the bundle itself: errors, typed, bundle, levels_section, overlay, affected, check.
"""
