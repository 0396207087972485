"""The file that tells other programs where the demo is."""

from pathlib import Path

import orjson

from trefoilreach_emulator._internal.demo.fleet import Fleet
from trefoilreach_emulator._internal.demo.plan import ACCOUNTS, MODELS, SERVICES

FILE = "endpoints.json"


def write_endpoints(folder: Path, fleet: Fleet, keys: dict[str, str], monitor_key: str) -> None:
    """Write addresses, keys and process ids."""
    accounts = {
        account.name: {
            "key": keys[account.name],
            "rate": account.rate,
            "burst": account.burst,
        }
        for account in ACCOUNTS
    }
    fields = {
        "entrypoints": fleet.urls,
        "operator_key": fleet.operator_key,
        "monitor_key": monitor_key,
        "accounts": accounts,
        "models": list(MODELS),
        "services": list(SERVICES),
        "pids": fleet.processes.pids,
    }
    temporary = folder / f"{FILE}.new"
    temporary.write_bytes(orjson.dumps(fields, option=orjson.OPT_INDENT_2))
    temporary.replace(folder / FILE)
