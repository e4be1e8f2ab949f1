"""The command line: output, exit codes, and the modules that the gateway imports."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
CONF = str(ROOT / "deploy" / "tealwing.conf")


def tealwing(*arguments: str, stdin: str = "") -> tuple[int, str, str]:
    """Run the command line; return its exit code, standard output and standard error."""
    done = subprocess.run(
        [sys.executable, "-m", "tealwing", *arguments],
        cwd=ROOT,
        input=stdin,
        capture_output=True,
        text=True,
        timeout=120,
    )
    return done.returncode, done.stdout, done.stderr


def test_check_reports_each_error_and_sets_the_exit_code(tmp_path: Path) -> None:
    assert tealwing("check", CONF)[0] == 0
    invalid = tmp_path / "invalid.conf"
    invalid.write_text("levels\n  window 1\n  level a\n")
    code, out, error = tealwing("check", str(invalid))
    assert code == 1 and not out
    assert [line.split(": ")[0] for line in error.splitlines()] == [f"{invalid}:2", f"{invalid}:3", f"{invalid}:3"]
    code, _, error = tealwing("check", "nowhere.conf")
    assert code == 1 and "nowhere.conf" in error
    assert tealwing("check")[0] == 2 and tealwing("chekc", CONF)[0] == 2


def test_config_show_prints_a_valid_file_with_its_defaults(tmp_path: Path) -> None:
    code, out, _ = tealwing("config", "show", CONF)
    (shown := tmp_path / "shown.conf").write_text(out)
    assert code == 0 and "# by default" in out and tealwing("check", str(shown))[0] == 0
    assert tealwing("config", "show", str(shown))[1].split() == [w for w in out.replace("# by default", "").split()]


def test_levels_replay_prints_each_change_and_a_summary() -> None:
    trace = "".join(
        json.dumps({"at": at, "signals": {"fleet.load": 2.0 if at < 9 else 0.5}}) + "\n" for at in range(99)
    )
    code, out, _ = tealwing("levels", "replay", "--conf", CONF, "-", stdin=trace)
    *changes, summary = map(json.loads, out.splitlines())
    assert code == 0 and [c["to"] for c in changes] == ["fewer-reports", "full"]
    assert summary["summary"] is True and summary["changes"] == 2 and summary["changes_per_minute_max"] == 1
    assert set(summary["time_in"]) == {"full", "fewer-reports", "lookups-first"}
    code, _, error = tealwing("levels", "replay", "--conf", CONF, "-", stdin='{"at": 1}\n')
    assert code == 1 and "line 1" in error
    assert tealwing("levels", "replay", "--conf", CONF, "nowhere.jsonl")[0] == 1


def test_swing_output_depends_only_on_the_seed() -> None:
    call = ("levels", "swing", "--conf", CONF, "--seed", "3", "--minutes", "0.5", "--json")
    code, out, error = tealwing(*call, "--jobs", "2")
    last = json.loads(out.splitlines()[-1])
    assert code == 0 and not error and last["changes_per_minute_max"] <= 2 and not last["rules_broken"]
    assert last["worth"]["on"] >= last["worth"]["off"] and set(last["lookup_in_time"]) == {"on", "off"}
    assert tealwing(*call, "--jobs", "4")[1] == out


@pytest.mark.parametrize("command", [(), ("levels",), ("config",), ("levels", "swing"), ("run",), ("check",)])
def test_every_help_has_an_example_or_lists_commands(command: tuple[str, ...]) -> None:
    code, out, _ = tealwing(*command, "--help")
    assert code == 0 and ("Example:" in out or "Commands:" in out)


def test_gateway_without_sections_imports_no_optional_module() -> None:
    # guards against modules that the gateway does not need: the platform gives it 32 MB of memory
    code = "import sys; from tealwing import service; print(sorted(m.split('.')[0] for m in sys.modules))"
    names = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True).stdout
    for heavy in ("click", "lark", "msgspec", "numpy", "asyncio", "ssl"):
        assert f"'{heavy}'" not in names
    code = "import sys; from tealwing import service; print([m for m in sys.modules if 'tealwing.' in m])"
    names = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True).stdout
    assert not any(f"'tealwing.{part}'" in names for part in ("levels", "lab", "conf", "commands"))
