"""State that gateways share through a replicated log (Raft).

Read in this order: messages (between members), raft (the core, pure), commands and state (the state machine, pure),
storage (the directory on disk), forwarding (requests to the leader), membership (choice of the voters), then service
(the runtime of one member, its status and its control calls). plan and section are its configuration; group defines
the Raft groups and their channels.
"""
