"""Persistent storage of one member: log segments, snapshots and recovery at startup.

Read records, snapshot_files, disk and durability, then store.
"""
