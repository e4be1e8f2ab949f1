"""State that gateways share, in a replicated log (Raft).

Read in this order: messages (between members), raft (the core, pure), commands and state (the state machine, pure),
storage (the directory on disk), forwarding (requests to the leader), membership (who votes), then service (one member
at work, its status and its calls). plan and section are its configuration; group says which log, on which channels.
"""
