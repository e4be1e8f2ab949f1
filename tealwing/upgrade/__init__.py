"""The processes of one gateway: during an upgrade a new process serves while the old one drains.

They share the clients' listening socket, so a client's KILL can reach another process than its request did. Read
`messages` (pure), `process_directory` (numbers and inboxes on disk), then `kill_relay`. The package is imported only
where the platform hands over the listening socket (`$LB_ACCEPT_FD`).
"""
