"""The gateway: request handling, the decision modules with their versions and timers, and the assembling daemon."""
