"""Versions of the rules; read records, digests, kept, cover, registry with its parts, then bundle and what takes it."""
