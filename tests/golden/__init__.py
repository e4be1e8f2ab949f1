"""Bytes that the program of commit 6fdac00 wrote, to the disk and to its peers, and what they stand for."""
