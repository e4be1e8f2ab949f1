"""Measurements that are too long for the tests; docs hold their results, with seeds and commit."""
