"""Persistent storage of one member: log segments, snapshots and recovery at startup.

Read in this order: records, snapshot_files, disk, durability, store.
"""
