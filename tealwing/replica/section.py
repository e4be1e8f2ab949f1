"""Schema of the section `replica` of the configuration file."""

from __future__ import annotations

from tealwing.conf import values
from tealwing.conf.schema import Block, Report, Section, Spec
from tealwing.replica.plan import ReplicaPlan

SPECS = (
    Spec("folder", "PATH", "Where log and snapshots are kept; on a disk that outlives the process.", values.text,
         needed=True),
    Spec("beat", "DURATION", "Between two words of a leader that has nothing else to say.",
         values.durations(0.02, 5.0), "100ms"),
    Spec("election", "DURATION", "Silence of the leader after which another is elected, at least; up to twice that.",
         values.durations(0.1, 60.0), "600ms"),
    Spec("stale", "COUNT", "Members that may at once come back with an older disk than they had. Each costs a member"
         " more for a quorum while starts are unsure: after a power loss, more than half and so many must return.",
         values.integers(0, 31), "0"),
    Spec("snapshot-entries", "COUNT", "Entries after which a snapshot is written and the log before it goes.",
         values.integers(100, 10_000_000), "10000"),
    Spec("leases", "on|off", "Whether this gateway may do the fleet-wide tasks, each under a lease: see"
         " docs/operating/leases.md.", values.switch, "off"),
    Spec("replace-after", "DURATION", "Silence after which a voter is lost for good and a learner votes in its place;"
         " five times election or more. Absent: never.", values.durations(1.0, 7 * 86400.0)),
    Spec("join", "on|off", "Whether this is a new member that waits to be added (`tealwing replica add`).",
         values.switch, "off"),
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
            f"three beats or more, {values.format_duration(3 * heartbeat_interval)}",
        )
    if plan.replace_after and plan.replace_after < 5 * election_timeout:
        report.add(
            block.place("replace-after", block.entries["folder"][0].place),
            "replace-after",
            values.format_duration(plan.replace_after),
            f"five times election or more, {values.format_duration(5 * election_timeout)}:"
            " before that another may yet lead",
        )
    return plan


SECTION = Section(
    "replica",
    "State that the gateways share, in a replicated log; needs the section `peers`, whose members take part; see"
    " docs/operating/replication.md. Absent: none.",
    SPECS,
    build,
)
