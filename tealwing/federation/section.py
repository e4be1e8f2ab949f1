"""Schema of the section `federation` of the operators' file."""

from __future__ import annotations

from tealwing.conf import values
from tealwing.conf.schema import Block, Entry, Report, Section, Spec
from tealwing.federation.plan import Plan

MIN_SITES = 3  # with two sites, the loss of one leaves no majority of the federation's log
MAX_SITES = 32  # each has voters in the federation's log, whose leader sends every entry to all of them


def _site(arguments: values.Arguments) -> tuple[str, tuple[str, ...]]:
    if len(arguments) < 2:
        raise values.InvalidValueError(
            "the site's name as in the engine list, then its gateways, such as: bloemfontein n0 n1 n2"
        )
    name = values.instance(arguments[:1])
    return name, tuple(values.instance((argument,)) for argument in arguments[1:])


SPECS = (
    Spec("folder", "PATH", "Folder of the federation's log and snapshots; not the folder of the section `replica`.",
         values.text, needed=True),
    Spec("site", "NAME GATEWAY...", "A site, under the name that its engines have as their locality, and its gateways,"
         " under their names in the section peers.", _site, many=True, needed=True),
    Spec("limit", "DURATION", "Time within which all sites must agree on a change; otherwise it is aborted.",
         values.durations(0.5, 600.0), "8s"),
    Spec("voters", "COUNT", "Maximum of a site's gateways that vote in the federation's log; its others are learners.",
         values.integers(1, 7), "3"),
    Spec("beat", "DURATION", "Interval between heartbeats of the federation's leader.",
         values.durations(0.02, 5.0), "100ms"),
    Spec("election", "DURATION", "Silence of the federation's leader after which another is elected; at least three"
         " beats, and a few round trips between the farthest sites.", values.durations(0.1, 60.0), "1s"),
)  # fmt: skip


def build(block: Block, report: Report) -> Plan:
    """Build the plan of a checked section; problems go to the report."""
    sites: list[Entry] = [entry for entry in block.all("site") if entry.value is not None]
    seen: dict[str, Entry] = {}
    site_of: dict[str, str] = {}
    for entry in sites:
        name, members = entry.value
        if name in seen:
            report.add(entry.place, "site", f"a second site {name}", f"each site once; {seen[name].place} has it")
        seen[name] = entry
        for member in members:
            if member in site_of:
                report.add(
                    entry.place,
                    "site",
                    f"{member}, which is a gateway of {site_of[member]}",
                    "each gateway in one site",
                )
            site_of[member] = name
    first = sites[0].place if sites else block.entries["site"][0].place
    if len(seen) < MIN_SITES:
        report.add(first, "site", f"{len(seen)} sites", f"{MIN_SITES} or more, as two do not tolerate the loss of one")
    if len(seen) > MAX_SITES:
        report.add(first, "site", f"{len(seen)} sites", f"at most {MAX_SITES}")
    heartbeat, election_timeout = block.one("beat"), block.one("election")
    if heartbeat is not None and election_timeout is not None and election_timeout < 3 * heartbeat:
        report.add(block.place("election", first), "election", values.format_duration(election_timeout),
                   f"three beats or more, {values.format_duration(3 * heartbeat)}")  # fmt: skip
    return Plan(
        block.one("folder"), tuple(entry.value for entry in sites), block.one("limit"), block.one("voters"),
        heartbeat, election_timeout,
    )  # fmt: skip


SECTION = Section(
    "federation",
    "Several sites, each a fleet with a replicated log of its own, that change their rules together; needs the"
    " sections peers, replica and rules; see docs/operating/federation.md. Absent: this fleet decides alone.",
    SPECS,
    build,
)
