"""Guards against commands that fail without one clear line, and a daemon that needs a platform."""

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


def run(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", module, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


@pytest.mark.parametrize("text", ["[daemon]\nthreads = many\n", "[nowhere]\n", "no section\n"])
def test_check_config_names_what_is_wrong(tmp_path: Path, text: str) -> None:
    path = tmp_path / "bad.ini"
    path.write_text(text)
    done = run("trefoilreach", "--check-config", str(path))
    assert done.returncode == 2
    assert done.stderr.startswith(f"trefoilreachd: {path}: ")
    assert done.stderr.count("\n") == 1


def test_help_version_and_completion(tmp_path: Path) -> None:
    path = tmp_path / "good.ini"
    path.write_text("[daemon]\nthreads = 16\n")
    assert run("trefoilreach", "--check-config", str(path)).returncode == 0
    assert "0.1.0" in run("trefoilreach", "--version").stdout
    assert "--check-config" in run("trefoilreach", "--help").stdout
    assert "complete" in run("trefoilreach", "completions", "bash").stdout
    assert "complete" in run("trefoilctl", "completions", "bash").stdout
    assert "key withdraw" in run("trefoilctl", "--help").stdout


def test_wrong_option_is_one_line() -> None:
    for module in ("trefoilreach", "trefoilctl"):
        done = run(module, "--nonsense")
        assert done.returncode != 0
        assert done.stderr.count("\n") == 1, done.stderr


def test_one_daemon_runs_alone_in_memory(tmp_path: Path) -> None:
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
        path_of_account = "/v1/admin/accounts/a"
        answer = call(address, "PUT", path_of_account, body, OPERATOR_KEY, headers)
        assert answer.json()["version"] == 1, answer
        status = call(address, "GET", "/v1/admin/config/status", key=OPERATOR_KEY).json()
        assert status["everywhere"] and len(status["daemons"]) == 1
        process.signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.close()


def test_demo_runs_after_an_earlier_run_was_killed(tmp_path: Path) -> None:
    arguments = ["demo", "--once", "--folder", str(tmp_path)]
    first = Process("trefoilreach_emulator", arguments, tmp_path / "first.out")
    records = tmp_path / "processes.json"

    def read_pids() -> dict[str, int]:
        if not records.exists():
            return {}
        return {entry["name"]: entry["pid"] for entry in orjson.loads(records.read_bytes())}

    try:
        left = wait_until(lambda: read_pids() if "vm3" in read_pids() else None, 60, "vm3")
    finally:
        first.close()
    command = [sys.executable, "-m", "trefoilreach_emulator", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=180, check=False)
    assert done.returncode == 0, done.stdout
    assert "ended vm3 of an earlier run" in done.stdout
    assert not [pid for pid in left.values() if _is_demo(pid, tmp_path)]
    assert not records.exists()
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
    assert not [pid for pid in endpoints["pids"].values() if _is_demo(pid, tmp_path)]


def _is_demo(pid: int, folder: Path) -> bool:
    try:
        return os.fsencode(str(folder)) in Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
