"""Scale tests: the cost of each part of the program as the fleet grows, measured at several sizes and fitted.

    python -m benchmarks.capacity --list
    python -m benchmarks.capacity [NAME ...] [--small] [--seed N] [--json FILE]

A slope is one scale test: a cost as a function of size. Each has a module of its own; `registry.py` lists them.
`page.py` generates the tables of `docs/CAPACITY.md` from the JSON.
"""
