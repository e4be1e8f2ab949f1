"""The link between gateways: framed messages over TCP among the members that the operators' file names.

Read in this order: `plan` and `section` (the settings), `frames` and `messages` (the wire), `peer_table` (failure
detection, pure), `send_queue`, `inbound`, `outbound` and `link` (sockets and threads), `ping` (a call across the link),
`control` (the control address and its client), `clock`, `errors`.
"""
