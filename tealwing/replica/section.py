"""Schema of the section `replica` of the configuration file."""

from __future__ import annotations

from tealwing.conf import values
from tealwing.conf.schema import Block, Report, Section, Spec
from tealwing.replica.plan import ReplicaPlan

SPECS = (
    Spec("folder", "PATH", "Directory of the log and the snapshots, on a disk that outlives the process.", values.text,
         needed=True),
    Spec("beat", "DURATION", "Interval between heartbeats of an idle leader.", values.durations(0.02, 5.0), "100ms"),
    Spec("election", "DURATION", "Minimum time without a message from a leader after which a member starts an election;"
         " randomized up to twice that.", values.durations(0.1, 60.0), "600ms"),
    Spec("stale", "COUNT", "Maximum number of members that may return with an outdated disk at the same time. A quorum"
         " needs up to that many members more while restarted members are unconfirmed: after a power loss, a majority"
         " and that many more must return.", values.integers(0, 31), "0"),
    Spec("snapshot-entries", "COUNT", "Entries after which a snapshot is written and the log before it is discarded.",
         values.integers(100, 10_000_000), "10000"),
    Spec("leases", "on|off", "Whether this gateway may run the fleet-wide tasks, each under a lease: see"
         " docs/operating/leases.md.", values.switch, "off"),
    Spec("replace-after", "DURATION", "Silence after which a voter counts as permanently lost and a learner is promoted"
         " in its place; at least five times `election`. Absent: never.", values.durations(1.0, 7 * 86400.0)),
    Spec("join", "on|off", "Whether this is a new member that starts empty and waits to be added with"
         " `tealwing replica add`.", values.switch, "off"),
)  # fmt: skip


def build(block: Block, report: Report) -> ReplicaPlan:
    """Return the plan of a checked section; inconsistent values are added to the report."""
    heartbeat_interval, election_timeout = block.one("beat"), block.one("election")
    plan = ReplicaPlan(
        block.one("folder"),
        heartbeat_interval,
        election_timeout,
        block.one("stale"),
        block.one("snapshot-entries"),
        block.one("leases"),
        block.one("join"),
        block.one("replace-after") or 0.0,
    )
    if election_timeout < 3 * heartbeat_interval:
        report.add(
            block.place("election", block.place("folder", block.entries["folder"][0].place)),
            "election",
            values.format_duration(election_timeout),
            f"three times beat or more, {values.format_duration(3 * heartbeat_interval)}",
        )
    if plan.replace_after and plan.replace_after < 5 * election_timeout:
        report.add(
            block.place("replace-after", block.entries["folder"][0].place),
            "replace-after",
            values.format_duration(plan.replace_after),
            f"five times election or more, {values.format_duration(5 * election_timeout)}:"
            " within a shorter time an election may still be in progress",
        )
    return plan


SECTION = Section(
    "replica",
    "The replicated log (Raft) of the state that gateways share. Requires the section `peers`, which lists its members;"
    " see docs/operating/replication.md. Absent: no replicated state.",
    SPECS,
    build,
)
