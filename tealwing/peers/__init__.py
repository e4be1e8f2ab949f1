"""The peer link: framed messages over TCP between the gateways that the operators' file lists as members.

Read in this order: `plan` and `section` (the settings), `frames` and `messages` (the wire), `peer_table` (failure
detection, pure), `send_queue`, `inbound`, `outbound` and `link` (sockets and threads), `ping` (a call across the link),
`control` (the control address and its client), `clock`, `errors`.
"""
