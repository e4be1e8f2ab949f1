"""Forwarding of proposals and reads from other threads and members to the leader, and the calls pending there.

Read in this order: protocol, pending, reads, batching, client.
"""
