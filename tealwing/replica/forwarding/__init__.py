"""Requests to the leader: proposals and reads of other threads and members, and the replies that they wait for.

Read protocol, pending and reads, then batching and client.
"""
