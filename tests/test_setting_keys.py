"""Files that lack a key: none is taken whose absent key would get a value that the file in force does not have."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from tealwing import interface as api
from tealwing import wire
from tealwing.config import ConfigError, load
from tealwing.gateway.daemon import Daemon
from tealwing.wire.setting_keys import UNMARKED_KEYS
from tests import sites
from tests.peers import GRADE, SETTINGS, event, say
from tests.test_program import PAGE, Site

MARKED_KEYS: dict[str, dict[str, Any]] = {  # that the page calls optional, by object
    "Grades[]": {"AimStretch": 1.5, "FifoByKey": False, "BoundTo": [0], "ConfinedTo": [0]},
    "Contract": {"ExtraFree": 3.0, "ExtraPerRequest": 0.1, "BudgetSpanNs": 10**10, "SettleAfterDoubtNs": 10**9},
    "Prices": {"Fleet": 0.0},
    "": {"Accounts": []},
}
BUDGET_KEYS = ("ExtraFree", "ExtraPerRequest", "BudgetSpanNs")
PATHS = [f"{place}.{name}" if place else name for place, names in UNMARKED_KEYS.items() for name in names]
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


def complete_settings() -> dict[str, Any]:
    """Settings with every key of the page; those that the program does not read have a placeholder."""
    found = sites.settings("gauge-archive")
    for place, names in UNMARKED_KEYS.items():
        for item in items_at(found, place):
            for name in names:
                item.setdefault(name, {} if name in UNMARKED_KEYS else 0)
    for place, values in MARKED_KEYS.items():
        for item in items_at(found, place):
            for name, value in values.items():
                item.setdefault(name, value)
    return found


def items_at(settings: dict[str, Any], place: str) -> list[dict[str, Any]]:
    """Return the objects at a place of the settings, which is made if it is absent."""
    if not place:
        return [settings]
    value = settings[place.removesuffix("[]")] if place.endswith("[]") else settings.setdefault(place, {})
    return value if isinstance(value, list) else [value]


def without(settings: dict[str, Any], path: str) -> dict[str, Any]:
    """Return the settings without a key; for a list, without that of its last item."""
    found = copy.deepcopy(settings)
    place, _, name = path.rpartition(".")
    del items_at(found, place)[-1][name]
    return found


def write(folder: Path, settings: dict[str, Any], **changes: Any) -> dict[str, str]:
    """Write a configuration; return the environment that names it."""
    config = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "127.0.0.1:1", "limits": LIMITS}
    known = {"index": 1, "updates": [event(1)]}
    (folder / "config.json").write_text(json.dumps(config | {"known": known, "settings": settings} | changes))
    return {"LB_CONFIG": str(folder / "config.json")}


@pytest.fixture
def daemon(tmp_path: Path) -> Daemon:
    return Daemon(load(write(tmp_path, complete_settings())))


@pytest.mark.parametrize("path", PATHS)
def test_file_that_lacks_an_unmarked_key_changes_nothing_at_a_reload(daemon: Daemon, tmp_path: Path, path: str) -> None:
    # Guards against a default in place of a value in force: a class without its group could be repeated anywhere, a
    # file without the number of attempts on a connection got another one (review/6).
    before = daemon._decisions.settings
    with pytest.raises(ConfigError, match=path.rpartition(".")[2]):
        daemon.reconfigure(load(write(tmp_path, without(complete_settings(), path))))
    assert daemon._decisions.settings is before
    daemon.reconfigure(load(write(tmp_path, complete_settings() | {"Me": 1})))  # a later file with all keys is taken
    assert daemon._decisions.settings.instance_number == 1


@pytest.mark.parametrize("name", sorted(LIMITS))
def test_file_that_lacks_a_limit_is_rejected_at_a_reload(daemon: Daemon, tmp_path: Path, name: str) -> None:
    # The defaults of limits are the most that the platform gives.
    limits = {key: value for key, value in LIMITS.items() if key != name}
    with pytest.raises(ConfigError, match=name):
        daemon.reconfigure(load(write(tmp_path, complete_settings(), limits=limits)))


@pytest.mark.parametrize("path", ["Grades[].AimStretch", "Grades[].FifoByKey", "Grades[].BoundTo",
                                  "Grades[].ConfinedTo", "Contract.SettleAfterDoubtNs", "Prices.Fleet",
                                  "Accounts", "budget"])  # fmt: skip
def test_file_that_lacks_an_optional_key_is_taken_at_a_reload(daemon: Daemon, tmp_path: Path, path: str) -> None:
    settings = complete_settings() | {"Me": 1}
    for one in [f"Contract.{name}" for name in BUDGET_KEYS] if path == "budget" else [path]:
        settings = without(settings, one)
    daemon.reconfigure(load(write(tmp_path, settings)))
    assert daemon._decisions.settings.instance_number == 1


@pytest.mark.parametrize("name", BUDGET_KEYS)
def test_part_of_a_retry_budget_is_rejected(name: str) -> None:
    # Guards against a budget that bounds nothing: without its span it counted no attempt, without its floor none.
    with pytest.raises(ValueError, match=name):
        sites.parse(without(complete_settings(), f"Contract.{name}"))


@pytest.mark.parametrize("name", ["Group", "WindowNs"])
def test_keyed_class_without_scope_or_window_of_repeats_is_rejected(name: str) -> None:
    grade = GRADE | {"Name": "load", "Effect": "by_key", "Group": "cell", "WindowNs": 10**9}
    del grade[name]
    with pytest.raises(ValueError, match=name):
        sites.parse(SETTINGS | {"Grades": [GRADE | {"Name": "lookup"}, grade]})


@pytest.mark.parametrize("name", ["Share", "QuotaRps"])
def test_account_without_share_or_quota_is_rejected(name: str) -> None:
    with pytest.raises(ValueError, match=name):
        sites.parse(without(complete_settings(), f"Accounts[].{name}"))


def test_class_without_keys_allows_the_least_if_rules_give_it_another_effect() -> None:
    cls = sites.parse(SETTINGS | {"Grades": [GRADE | {"Name": "a"}, GRADE | {"Name": "b"}]}).classes[0]
    assert (cls.idempotency_scope, cls.idempotency_window) == (api.IdempotencyScope.CELL, 0.0)


@pytest.mark.parametrize("name", sites.VARIANTS)
def test_settings_of_each_site_start_a_gateway(tmp_path: Path, name: str) -> None:
    assert load(write(tmp_path, sites.settings(name))).settings == sites.parse(sites.settings(name))


def test_older_file_that_lacks_later_keys_starts_a_gateway_and_is_taken_again(tmp_path: Path) -> None:
    # The keys that came after the first platform, or that its own tests leave out.
    older = complete_settings()
    for place, names in {
        "Allowed": ("ConnIdleNs", "ConnectTimeoutNs", "Multiplex", "Peers", "Probing"),
        "Contract": ("AskWithinNs", "SettleAfterDoubtNs", *BUDGET_KEYS),
        "FamilyInfo": ("ClassWaits", "HoldsTables", "MostGrant", "Overbooked", "RanksHeeded", "TakesGrants",
                       "TellsCost", "TellsEveryNs"),
        "Grades[]": ("AimStretch", "LateShare", "Streamed"),
        "Prices": ("CrossZone", "Waste"),
        "": ("Accounts", "ResultMix", "Stages", "Workload"),
    }.items():  # fmt: skip
        for item in items_at(older, place):
            for one in names:
                del item[one]
    daemon = Daemon(load(write(tmp_path, older)))
    daemon.reconfigure(load(write(tmp_path, older | {"Me": 1})))
    assert daemon._decisions.settings.instance_number == 1


def test_reload_without_the_group_of_a_keyed_class_is_logged_and_has_no_effect(tmp_path: Path) -> None:
    # As review/6: the file was taken, and keyed requests that may have run in one cell were sent to another.
    site = Site(tmp_path)
    try:
        grade = GRADE | {"Name": "load", "Effect": "by_key", "WindowNs": 10**10}
        settings = SETTINGS | {"Grades": [GRADE | {"Name": "lookup"}, grade]}
        site.program.reload(json.dumps(site.program.config | {"settings": settings}))
        found: dict[str, Any] = {}
        while found.get("event") not in ("configuration_unusable", "reconfigured"):
            found = json.loads(site.program.process.stdout.readline())  # type: ignore[union-attr]
        assert "Group" in found.get("error", "")
        client = site.client()
        client.ask(op="load", call="00000000000000a1", dedupe="5c0f")
        sock, parts = site.engine.next(b"want")
        say(sock, parts[1], b"200", b"sheets=1", PAGE)
        assert len(client.rows()) == 2
    finally:
        assert site.program.end() == ""


def test_class_that_is_dropped_or_added_needs_no_keys_of_others(daemon: Daemon, tmp_path: Path) -> None:
    settings = complete_settings()
    added = GRADE | {"Name": "claim", "Effect": "once"}  # without the keys that older files lack
    settings["Grades"] = [*settings["Grades"][1:], added]
    daemon.reconfigure(load(write(tmp_path, settings)))
    assert [cls.name for cls in daemon._decisions.settings.classes][-1] == "claim"


def test_settings_keys_are_reported_without_those_of_an_absent_object() -> None:
    complete = wire.unmarked_keys(complete_settings())
    assert wire.lacking_keys(wire.unmarked_keys(without(complete_settings(), "Grades")), complete) == ["Grades"]
    assert wire.lacking_keys(complete, complete) == []
