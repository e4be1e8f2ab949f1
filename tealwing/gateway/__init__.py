"""The gateway: the life of a request, the decisions and their versions and timers, and the daemon round them."""
