"""Scale tests: what each part of the program costs as the fleet grows, measured at several sizes and fitted.

    python -m benchmarks.capacity --list
    python -m benchmarks.capacity [NAME ...] [--small] [--seed N] [--json FILE]

One module a slope; `registry.py` lists them. `docs/CAPACITY.md` is made from the JSON by `page.py`.
"""
