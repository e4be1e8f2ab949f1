"""Bundles: their keys, the errors of invalid ones, and which requests a change affects."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing import interface as api
from tealwing.replica.commands import NewerEntryError
from tealwing.rules import check, errors, overlay
from tealwing.rules.affected import ALL_REQUESTS, affected_requests
from tealwing.rules.bundle import EMPTY, MAX_ROUTES, Bundle, parse
from tests.build import make_settings, request_class

WHOLE = """
levels = '''
levels
    window 2s
    level calm
        enter when fleet.load > 0.9 for 2s
        exit when fleet.load < 0.6 for 4s
        attempts look 1
'''
[attempts]
most = 3
[classes.look]
aim-ms = 600
effect = "keyed"
worth = 2
[tenants.graan-koop]
share = 0.81
[[routes]]
first = 0
last = 31
sites = ["bloemfontein", "upington"]
"""


def platform(**more: Any) -> api.Settings:
    given: dict[str, Any] = dict(
        classes=(request_class(), request_class(name="load")),
        zones=("bloemfontein", "upington"),
        tenants=("graan-koop", "wol"),
        tenant_quotas=(api.TenantQuota("graan-koop", 0.5, 1.0), api.TenantQuota("wol", 0.5, 1.0)),
    )
    return make_settings(**(given | more))


def routes(*found: tuple[int, int, str]) -> bytes:
    parts = [f"[[routes]]\nfirst={first}\nlast={last}\nsites={sites.split()}\n" for first, last, sites in found]
    return "".join(parts).encode()


def test_bundle_overrides_only_the_settings_that_it_names() -> None:
    bundle, before = parse(WHOLE.encode()), platform()
    after = overlay.apply(bundle, before)
    look = after.classes[0]
    assert (look.latency_objective, look.deadline, look.idempotency, look.priority_weight) == (
        0.6,
        5.0,
        api.Idempotency.KEYED,
        2.0,
    )
    assert after.classes[1] == before.classes[1] and after.limits.max_attempts == 3
    assert [account.share for account in after.tenant_quotas] == [0.81, 0.5]
    assert overlay.apply(EMPTY, before) == before and check.check(bundle, check.RunningGateway(before)) == []


@pytest.mark.parametrize(
    ("text", "kind", "message"),
    [
        ("classes.lookup.aim-ms = 0", errors.InvalidValueError, "classes.lookup.aim-ms: 0; allowed: 1 to 3600000"),
        ("classes.lookup.aim-ms = true", errors.InvalidValueError, "aim-ms: True; allowed: 1 to"),
        ("classes.a.worth = nan", errors.InvalidValueError, "classes.a.worth: nan; allowed: 0 to 1e+06"),
        ("classes.a.effect = 'often'", errors.InvalidValueError, "often; allowed: keyed or safe or unsafe"),
        (
            "classes.a.aim = 3",
            errors.UnknownKeyError,
            "classes.a.aim: no such key; allowed: aim-ms, deadline-ms, effect",
        ),
        ("classes = 3", errors.InvalidValueError, "classes: 3; allowed: a table"),
        ("tenants.x.share = 1.1", errors.InvalidValueError, "tenants.x.share: 1.1; allowed: 0 to 1"),
        ("routes = [{first = 1, sites = ['a']}]", errors.UnknownKeyError, "routes[0].last: missing"),
        (
            "routes = [{first = -1, last = 2, sites = ['a']}]",
            errors.InvalidValueError,
            "routes[0].first: -1; allowed: 0 to",
        ),
        (
            "routes = [{first = 1, last = 2, sites = [3]}]",
            errors.InvalidValueError,
            "routes[0].sites[0]: 3; allowed: text",
        ),
        ("routes = 7", errors.InvalidValueError, "routes: 7; allowed: a list"),
        (
            "rutes = []",
            errors.UnknownKeyError,
            "rutes: no such key; allowed: levels, attempts, classes, tenants, routes",
        ),
        ("a = ", errors.TomlError, "(at end of document)"),
        ("a = " + "[" * 100_000, errors.TomlError, "too many nested brackets"),
        ("a = " + "9" * 5000, errors.TomlError, "digits"),
        ("levels = 'levels'", errors.InvalidLevelsError, "levels:1: levels: found no level"),
        ("levels = 'include x'", errors.InvalidLevelsError, "only `levels`, with the rest indented below it"),
        (
            "levels = '''levels\n  window 9d'''",
            errors.InvalidLevelsError,
            "levels:2: window: found 9d; allowed: from 500ms",
        ),
        (
            "levels = '''levels\n  level ?\n   x'''",
            errors.InvalidLevelsError,
            "levels:2: level: found ?; allowed: one name",
        ),
        (
            "levels = '''levels\n   every 1s\n  every 1s'''",
            errors.InvalidLevelsError,
            "levels:3: every: found an indentation",
        ),
        ("#" * (256 * 1024 + 1), errors.TooLargeError, "allowed: 262144"),
    ],
)
def test_bundle_error_names_key_value_and_allowed_values(
    text: str, kind: type[errors.RulesError], message: str
) -> None:
    with pytest.raises(kind) as caught:
        parse(text.encode())
    assert message in str(caught.value) and str(caught.value).endswith(kind.remedy)


def faults() -> Iterator[errors.RulesError]:
    """Yield errors of every kind that `test_bundle_error_names_key_value_and_allowed_values` does not cover."""
    running = check.RunningGateway(platform())
    for text, state in [
        (b"\xff", running),
        (routes((0, 5, "upington"), (5, 9, "upington")), running),
        (routes(*[(n, n, "upington") for n in range(MAX_ROUTES + 1)]), running),
        (b"classes.no.aim-ms = 1", running),
        (b"tenants.no.share = 1", running),
        (WHOLE.replace("look 1", "lock 1").encode(), running),
        (b"attempts.most = 5", running),
        (routes((0, 5, "kimberley")), running),
        (routes((0, 5, "upington")), check.RunningGateway(platform(), sites=frozenset({"bloemfontein"}))),
        (b"classes.look.aim-ms = 7", check.RunningGateway(platform(), gossip=True)),
        (WHOLE.encode(), check.RunningGateway(platform(), levels=True)),
        (routes((0, 5, "upington")), check.RunningGateway(platform(), memory=1000.0)),
    ]:
        reasons = check.check_text(text, state)
        assert reasons, text[:40]
        yield from reasons
    yield from check.check_text(b"", running, min_build=check.BUILD + 1)


def subclasses(of: type[errors.RulesError] = errors.RulesError) -> set[type[errors.RulesError]]:
    return {of}.union(*map(subclasses, of.__subclasses__()))


def test_every_error_occurs_and_its_remedy_is_in_the_manual() -> None:
    found = {type(fault) for fault in faults()} | {
        errors.InvalidValueError,
        errors.UnknownKeyError,
        errors.InvalidLevelsError,
    }
    bases = {errors.RulesError, errors.BundleError, errors.IncompatibleError}
    defined = {kind for kind in subclasses() if kind.__module__ == errors.__name__}
    assert found == defined - bases
    pages = [Path(__file__).parent.parent / "docs" / "operating" / f"{name}.md" for name in ("rules", "federation")]
    manual = "\n".join(page.read_text() for page in pages if page.exists())
    for remedy in [kind.remedy for kind in subclasses() - bases] + [NewerEntryError.remedy]:
        assert remedy in manual


def test_failed_site_does_not_block_changes_of_other_groups() -> None:
    old = routes((0, 5, "upington"), (6, 9, "bloemfontein"))
    one_site_down = check.RunningGateway(platform(), parse(old), frozenset({"bloemfontein"}))
    assert check.check_text(old + b"[classes.look]\naim-ms = 5\n", one_site_down) == []
    assert check.check_text(routes((0, 9, "bloemfontein")), one_site_down) == []
    assert len(check.check_text(routes((0, 9, "upington")), one_site_down)) == 1


def test_routes_can_change_while_gossip_is_on() -> None:
    active = parse(b"classes.look.aim-ms = 7")
    running = check.RunningGateway(platform(), active, gossip=True)
    assert check.check_text(b"classes.look.aim-ms = 7\n" + routes((0, 5, "upington")), running) == []
    assert [type(reason) for reason in check.check_text(b"", running)] == [errors.RestartRequiredError]


@pytest.mark.parametrize(
    ("text", "everything", "classes"),
    [
        (b"# a comment only\n[classes.look]\n", False, set()),
        (b"classes.look.aim-ms = 5", False, {"look"}),
        (b"classes.look.effect = 'unsafe'", False, {"look"}),
        (b"classes.look.worth = 5", True, set()),
        (b"tenants.wol.share = 0.1", True, set()),
        (b"tenants.wol = {}", False, set()),
        (b"attempts.most = 2", True, set()),
        (WHOLE.encode(), True, set()),
    ],
)
def test_change_affects_its_class_or_all_requests(text: bytes, everything: bool, classes: set[str]) -> None:
    for affected in (affected_requests(None, parse(text)), affected_requests(parse(text), EMPTY)):
        assert (affected.everything, set(affected.classes)) == (everything, classes)
        assert affected.includes("look", "wol", 3) == (everything or "look" in classes)
        assert affected.includes("load", "wol", 3) == everything
    assert (
        ALL_REQUESTS.includes("any", "any", 0)
        and not affected_requests(parse(text), parse(text + b"\n# more")).everything
    )


LISTS = st.lists(st.tuples(st.integers(0, 6), st.integers(0, 4), st.sampled_from(["a", "b", "a b", "b a"])), max_size=5)


@given(LISTS, LISTS)
def test_route_change_affects_only_groups_with_different_sites(
    old: list[tuple[int, int, str]], new: list[tuple[int, int, str]]
) -> None:
    def lay_out(steps: list[tuple[int, int, str]]) -> tuple[Bundle, dict[int, str]]:
        ranges, start, sites_by_group = [], 0, dict[int, str]()
        for gap, length, sites in steps:
            first, last = start + gap, start + gap + length
            ranges.append((first, last, sites))
            sites_by_group |= dict.fromkeys(range(first, last + 1), sites)
            start = last + 1
        return parse(routes(*reversed(ranges))), sites_by_group

    (before, old_sites), (after, new_sites) = lay_out(old), lay_out(new)
    affected = affected_requests(before, after)
    for group in range(60):
        assert affected.includes("look", "wol", group) == (old_sites.get(group) != new_sites.get(group))
