"""What the processes of each load are told beside their peers, and where they and the engines stand."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from tealwing.lab.rig.configuration import Layout

REPLICA = """replica
    folder DATA/replica
    stale STALE
    snapshot-entries 500
"""
# of the operators' file, what a load's processes need beside `peers`
SECTIONS: dict[str, str] = {"echo": "", "register": REPLICA, "lease": REPLICA + "    leases on\n"}
SECTIONS["power"] = SECTIONS["lease"]
ENGINES = {"power": 3}  # stand-ins for a load's queries
RULES_LIMIT, FEDERATION_LIMIT = 3.0, 8.0  # s in which a change is agreed to, or aborted
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
# by which versions can be told apart: versions that follow each other send to different ones
ZONES = ("bloemfontein", "upington", "kimberley", "welkom", "vryburg")
# Broken on purpose in the processes themselves: the word that their section `rules` has
RULES_SABOTAGES = {
    "early-open": "a gateway decides under the new version as soon as it has closed itself",
    "no-permit": "a gateway that is cut off goes on when its permit is over (--lost-touch hold)",
    "guess-after-close": "a gateway that hears no outcome for 1 s opens again under the old version",
    "start-from-disk": "a gateway decides from its disk at a start, without a permit (--lost-touch hold)",
    "site-early": "a site's gateways switch when their site is agreed, without the federation (needs --sites)",
}


def federated(names: Sequence[str], sites: int) -> dict[str, tuple[str, ...]]:
    """The processes of each site, as even as can be."""
    return {zone: tuple(names[number::sites]) for number, zone in enumerate(ZONES[:sites])}


def layout(
    workload: str, names: Sequence[str], lost_touch: str = "serve", sites: int = 0, sabotage: str = "",
    learners: int = 0,
) -> Layout:  # fmt: skip
    """The layout of a load's trial with those processes; sites above 0: a federation of so many.

    learners: how many of them, the last ones, follow the log without a vote.
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
