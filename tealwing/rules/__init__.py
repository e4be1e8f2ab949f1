"""Versions of the rules: records, bundle, registry, cover, touch, check, overlay, errors; all pure."""
