"""Client side of the engine protocol: RESP messages, the connections to one engine, and the pool of all engines."""
