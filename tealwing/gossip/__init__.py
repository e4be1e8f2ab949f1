"""Gossip between instances: membership, failure detection and health reports on engines. Off unless configured.

Read it in this order: `messages` (the wire) with `errors`; `members` and `suspicion` (the member list and its rules);
`identity`, `rumour_queue`, `send_queue` and `dissemination` (what is sent); `failure_detector`, `membership`,
`anti_entropy` and `health_reports` with `health_estimator` (the parts of the protocol, which share `context`, report
`events` and check by `verification` and `replay_protection`); `node`, which combines them without I/O or a clock.
`service` runs a node on a socket, with `config`, `keys`, `persisted_state`, `control` and `local_evidence`; `section`
reads the operators' file. Only `service`, `keys`, `persisted_state` and `control` do I/O.
"""
