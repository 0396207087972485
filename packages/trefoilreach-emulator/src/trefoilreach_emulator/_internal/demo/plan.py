"""What the demo consists of: programs, classes, accounts and routes."""

from typing import NamedTuple


class EnginePlan(NamedTuple):
    """One model engine emulator with the models that it has loaded."""

    name: str
    data_centre: str
    models: tuple[str, ...]


class DaemonPlan(NamedTuple):
    """One daemon on a loopback address of its own."""

    name: str
    host: str
    data_centre: str


class AccountPlan(NamedTuple):
    """One client account with its rate (requests a second) and burst (requests)."""

    name: str
    rate: float
    burst: float


REGION = "loopback"
MODEL = "chat-small"
LARGE_MODEL = "chat-large"
MODELS = (MODEL, LARGE_MODEL)
SERVICE = "till"
OPEN_SERVICE = "opening-hours"
SERVICES = (SERVICE, OPEN_SERVICE)
SLOTS = 16

ENGINES = (
    EnginePlan("engine1", "north", (MODEL, LARGE_MODEL)),
    EnginePlan("engine2", "north", (MODEL,)),
    EnginePlan("engine3", "south", (MODEL, LARGE_MODEL)),
)
DAEMONS = (
    DaemonPlan("vm1", "127.0.31.1", "north"),
    DaemonPlan("vm2", "127.0.31.2", "north"),
    DaemonPlan("vm3", "127.0.31.3", "south"),
)
COUNTER = AccountPlan("counter", 100.0, 200.0)
OVERNIGHT = AccountPlan("overnight", 20.0, 40.0)
SMALL = AccountPlan("small", 2.0, 12.0)
ACCOUNTS = (COUNTER, OVERNIGHT, SMALL)
