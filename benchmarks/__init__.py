"""Measurements that take too long for the test suite; docs/ holds their results with seeds and commit."""
