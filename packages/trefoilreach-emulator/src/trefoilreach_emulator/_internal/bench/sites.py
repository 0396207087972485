"""Fleets and configurations that the measurements run on."""

import time
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    Key,
    Route,
    Server,
    WorkClass,
    hash_key,
)

from trefoilreach_emulator._internal.fleet import Fleet, wait_until
from trefoilreach_emulator._internal.http_call import Address, call

MODEL = "m"
ONLINE_CLASS = "counter"
BATCH_CLASS = "overnight"
_DATA_CENTRES = 4
_SLOTS = 12
_SETTLE_SECONDS = 60.0
# Burst over rate of the measured accounts, in which empty buckets fill.
_REFILL_SECONDS = 2.5


class Site(NamedTuple):
    """Size and speed of a measured fleet.

    :param first_token: seconds of an idle engine.
    :param token_interval: seconds of an idle engine.
    """

    name: str
    daemons: int
    engines: int
    accounts: tuple[Account, ...]
    slots: int = 8
    first_token: float = 0.05
    token_interval: float = 0.02
    load_lag: float = 0.5
    settings: dict[str, dict[str, str]] = {}  # noqa: RUF012 - never changed


class RunningSite(NamedTuple):
    """A started fleet with the addresses of its daemons."""

    site: Site
    fleet: Fleet
    daemons: tuple[Address, ...]
    engines: tuple[Address, ...]

    @property
    def entries(self) -> tuple[str, ...]:
        """Addresses of the daemons as ``IP:PORT``."""
        return tuple(address.entry for address in self.daemons)


def build_accounts(rates: Sequence[float], burst_seconds: float = 2.0) -> tuple[Account, ...]:
    """Return accounts a0, a1 and so on with the given rates."""
    return tuple(
        Account(f"a{index}", rate, max(1.0, rate * burst_seconds))
        for index, rate in enumerate(rates)
    )


def key_of(account: str) -> str:
    """Return the caller key of an account in a measured fleet."""
    return f"key-of-{account}"


@contextmanager
def start_site(site: Site, folder: Path, settled: bool = False) -> Iterator[RunningSite]:
    """Start a fleet for the time of a ``with`` block.

    :param settled: wait until the quota is spread over the daemons and its buckets are full.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with Fleet(folder) as fleet:
        fleet.start_emulator("platform", "platform")
        engines = [_start_engine(fleet, site, number) for number in range(site.engines)]
        daemons = [
            fleet.start_daemon(
                f"vm{number}",
                number + 1,
                data_centre=f"dc{number % _DATA_CENTRES}",
                extra=site.settings,
            )
            for number in range(site.daemons)
        ]
        fleet.publish(build_document(site, engines))
        if settled:
            wait_until(lambda: _slots_are_spread(fleet, site.daemons), _SETTLE_SECONDS)
            time.sleep(_REFILL_SECONDS)
        yield RunningSite(site, fleet, tuple(daemons), tuple(engines))


def _slots_are_spread(fleet: Fleet, daemons: int) -> bool:
    """Return whether every daemon owns its part of the quota."""
    answer = call(fleet.addresses["platform"], "POST", "/table/get", {"key": "quota/slots"})
    row = answer.json()["row"]
    owners = Counter(slot[0] for slot in row["value"]["slots"]) if row else Counter()
    fewest = _SLOTS // daemons
    return "" not in owners and len(owners) == daemons and min(owners.values()) >= fewest


def _start_engine(fleet: Fleet, site: Site, number: int) -> Address:
    return fleet.start_emulator(
        "engine",
        f"engine{number}",
        *("--models", MODEL),
        *("--slots", str(site.slots)),
        *("--first-token", str(site.first_token)),
        *("--token-interval", str(site.token_interval)),
        *("--load-lag", str(site.load_lag)),
    )


def build_document(site: Site, engines: Sequence[Address]) -> ConfigDocument:
    """Return the configuration of a site."""
    return ConfigDocument(
        version=1,
        classes=(
            WorkClass(ONLINE_CLASS, "online", first_token_seconds=1.0, token_interval_seconds=0.1),
            WorkClass(BATCH_CLASS, "batch", deadline_seconds=3600.0),
        ),
        accounts=site.accounts,
        keys=tuple(
            Key(f"key-{account.name}", hash_key(key_of(account.name)), "caller", account.name)
            for account in site.accounts
        ),
        routes=(Route(MODEL, "model", ONLINE_CLASS),),
        servers=tuple(
            Server(
                f"engine{number}",
                "engine",
                address.host,
                address.port,
                (MODEL,),
                data_centre=f"dc{number % _DATA_CENTRES}",
                slots=site.slots,
            )
            for number, address in enumerate(engines)
        ),
    )
