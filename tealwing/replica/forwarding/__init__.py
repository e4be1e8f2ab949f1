"""Forwarding of proposals and reads from other threads and members to the leader, and the pending replies.

Read protocol, pending and reads, then batching and client.
"""
