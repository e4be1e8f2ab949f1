"""A member's directory on its disk: the log in segments, snapshots, and what a start reads of them.

Read records, snapshot_files, disk and durability, then store.
"""
