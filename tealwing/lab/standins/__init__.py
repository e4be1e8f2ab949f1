"""Stand-ins on real sockets for what the gateway talks to: engines and a coordinator. Loopback only."""
