"""Guards against unclear errors of commands, and a daemon that needs an outside platform."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from harness import (
    OPERATOR_KEY,
    Address,
    Process,
    call,
    free_ports,
    hash_secret,
    wait_until,
    write_ini,
)


def run_module(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", module, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


@pytest.mark.parametrize("text", ["[daemon]\nthreads = many\n", "[nowhere]\n", "no section\n"])
def test_check_config_names_what_is_wrong(tmp_path: Path, text: str) -> None:
    """Guards against a settings error that is not one line naming the file."""
    path = tmp_path / "bad.ini"
    path.write_text(text)
    completed = run_module("trefoilreach", "--check-config", str(path))
    assert completed.returncode == 2
    assert completed.stderr.startswith(f"trefoilreachd: {path}: ")
    assert completed.stderr.count("\n") == 1


def test_help_version_and_completion(tmp_path: Path) -> None:
    """Guards against broken help, version and completion options."""
    path = tmp_path / "good.ini"
    path.write_text("[daemon]\nthreads = 16\n")
    assert run_module("trefoilreach", "--check-config", str(path)).returncode == 0
    assert "0.1.0" in run_module("trefoilreach", "--version").stdout
    assert "--check-config" in run_module("trefoilreach", "--help").stdout
    assert "complete" in run_module("trefoilreach", "completions", "bash").stdout
    assert "complete" in run_module("trefoilctl", "completions", "bash").stdout
    assert "key withdraw" in run_module("trefoilctl", "--help").stdout


def test_wrong_option_is_one_line() -> None:
    """Guards against an unknown option that is accepted or prints more than one line."""
    for module in ("trefoilreach", "trefoilctl"):
        completed = run_module(module, "--nonsense")
        assert completed.returncode != 0
        assert completed.stderr.count("\n") == 1, completed.stderr


def test_one_daemon_runs_alone_in_memory(tmp_path: Path) -> None:
    """Guards against a daemon that cannot run without other daemons and a platform."""
    http_port, peer_port = free_ports(2)
    address = Address("127.0.0.1", http_port)
    daemon = {"http_port": str(http_port), "peer_port": str(peer_port)}
    platform = {"kind": "memory", "bootstrap_operator_key_hash": hash_secret(OPERATOR_KEY)}
    path = tmp_path / "alone.ini"
    path.write_text(write_ini({"daemon": daemon, "platform": platform}))
    process = Process("trefoilreach", ["--config", str(path)], tmp_path / "alone.log")
    try:
        wait_until(lambda: call(address, "GET", "/healthz").status == 200)
        headers = {"If-Match": "0"}
        body = {"rate": 1, "burst": 1}
        account_path = "/v1/admin/accounts/a"
        answer = call(address, "PUT", account_path, body, OPERATOR_KEY, headers)
        assert answer.json()["version"] == 1, answer
        status = call(address, "GET", "/v1/admin/config/status", key=OPERATOR_KEY).json()
        assert status["everywhere"] and len(status["daemons"]) == 1
        process.signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.close()


def test_demo_runs_after_an_earlier_run_was_killed(tmp_path: Path) -> None:
    """Guards against processes of a killed demo that block or outlive the next demo."""
    arguments = ["demo", "--once", "--folder", str(tmp_path)]
    first = Process("trefoilreach_emulator", arguments, tmp_path / "first.out")
    process_records = tmp_path / "processes.json"

    def read_pids() -> dict[str, int]:
        if not process_records.exists():
            return {}
        return {entry["name"]: entry["pid"] for entry in orjson.loads(process_records.read_bytes())}

    try:
        earlier_pids = wait_until(lambda: read_pids() if "vm3" in read_pids() else None, 60, "vm3")
    finally:
        first.close()
    command = [sys.executable, "-m", "trefoilreach_emulator", *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=180, check=False)
    assert completed.returncode == 0, completed.stdout
    assert "ended vm3 of an earlier run" in completed.stdout
    assert not [pid for pid in earlier_pids.values() if _is_demo_process(pid, tmp_path)]
    assert not process_records.exists()
    endpoints = orjson.loads((tmp_path / "endpoints.json").read_bytes())
    assert set(endpoints) == {
        "entrypoints",
        "operator_key",
        "monitor_key",
        "accounts",
        "models",
        "services",
        "pids",
    }
    assert not [pid for pid in endpoints["pids"].values() if _is_demo_process(pid, tmp_path)]


def _is_demo_process(pid: int, folder: Path) -> bool:
    try:
        return os.fsencode(str(folder)) in Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
