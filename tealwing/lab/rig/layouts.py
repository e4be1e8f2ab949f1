"""The layouts of the loads: sections of the operators' files besides `peers`, and sites of processes and engines."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from tealwing.lab.rig.configuration import Layout

REPLICA = """replica
    folder DATA/replica
    stale STALE
    snapshot-entries 500
"""
# Sections of the operators' file that a load's processes need besides `peers`
SECTIONS: dict[str, str] = {"echo": "", "register": REPLICA, "lease": REPLICA + "    leases on\n"}
SECTIONS["power"] = SECTIONS["lease"]
ENGINES = {"power": 3}  # number of stand-in engines by load
RULES_LIMIT, FEDERATION_LIMIT = 3.0, 8.0  # s after which a change that is not agreed to is aborted
RULES = """rules
    lost-touch LOST_TOUCH
    permit 1s
    limit LIMITs
    patience 500ms
SABOTAGE
"""
FEDERATION = """federation
    folder DATA/federation
    limit LIMITs
"""
# Successive versions of the rules route to different sites, so that an answer shows the version that decided it
ZONES = ("bloemfontein", "upington", "kimberley", "welkom", "vryburg")
# Deliberate defects in the processes themselves, by the argument of the directive `sabotage` in the section `rules`
RULES_SABOTAGES = {
    "early-open": "a gateway decides under the new version as soon as its own gate has closed",
    "no-permit": "a gateway that is cut off keeps deciding after its permit has expired (--lost-touch hold)",
    "guess-after-close": "a gateway that learns no outcome for 1 s opens again under the old version",
    "start-from-disk": "a gateway decides from its disk after a start, without a permit (--lost-touch hold)",
    "site-early": "a site's gateways switch when their site has agreed, without the federation (needs --sites)",
}


def federated(names: Sequence[str], sites: int) -> dict[str, tuple[str, ...]]:
    """Return the processes of each site, distributed as evenly as possible."""
    return {zone: tuple(names[number::sites]) for number, zone in enumerate(ZONES[:sites])}


def layout(
    workload: str, names: Sequence[str], lost_touch: str = "serve", sites: int = 0, sabotage: str = "",
    learners: int = 0,
) -> Layout:  # fmt: skip
    """Return the layout of a load's trial.

    sites: number of sites of the federation; 0 for none. learners: number of processes, the last ones, that follow the
    log without a vote.
    """
    members = len(names) // sites if sites else len(names) - learners
    stale = max(1, (members - 1) // 2 // 2) if members >= 3 else 0
    if workload != "rules":
        return Layout(SECTIONS[workload], ENGINES.get(workload, 0), stale=stale, learners=_last(names, learners))
    text = REPLICA + RULES.replace("LOST_TOUCH", lost_touch).replace("LIMIT", f"{RULES_LIMIT:g}")
    places: Mapping[str, tuple[str, ...]] = federated(names, sites) if sites else {}
    if sites:
        text += FEDERATION.replace("LIMIT", f"{FEDERATION_LIMIT:g}")
        text += "".join(f"    site {site} {' '.join(of)}\n" for site, of in places.items())
    return Layout(
        text, len(ZONES), ZONES, places, lost_touch, stale if lost_touch == "hold" else 0, tight=names[-1],
        sabotage=sabotage if sabotage in RULES_SABOTAGES else "", saboteurs=frozenset(names),
        learners=_last(names, learners),
    )  # fmt: skip


def _last(names: Sequence[str], count: int) -> frozenset[str]:
    return frozenset(names[len(names) - count :])
