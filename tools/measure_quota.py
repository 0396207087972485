"""Measure refusals inside the rate and the cost of the quota in a simulated fleet."""

import argparse
import random
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "unit"))

from quota_simulation import Node, SimulatedFleet  # noqa: E402
from result import Ok  # noqa: E402
from thrift.protocol.TCompactProtocol import TCompactProtocol  # noqa: E402
from thrift.transport.TTransport import TMemoryBuffer  # noqa: E402
from trefoilreach._internal.coordination.quota import borrower as quota_borrower  # noqa: E402
from trefoilreach._internal.coordination.quota.policy import QuotaDependencies  # noqa: E402
from trefoilreach._internal.coordination.quota.static_policy import StaticQuota  # noqa: E402
from trefoilreach._internal.settings import QuotaSettings  # noqa: E402
from trefoilreach._internal.state.config import Account  # noqa: E402

OFFERED_FRACTION_OF_RATE = 0.9
SETTLE_SECONDS = 15.0


def start_fleet(vms: int, accounts: list[Account], policy: str = "loans") -> SimulatedFleet:
    """Return a simulated fleet; with loans, after its slots have settled."""
    world = SimulatedFleet(accounts)
    for index in range(vms):
        node = world.start_daemon(f"vm{index}")
        if policy == "static":
            use_static(world, node)
    if policy == "loans":
        world.advance(SETTLE_SECONDS)
    return world


def use_static(world: SimulatedFleet, node: Node) -> None:
    """Replace the quota policy of a node by the static one."""
    peers = node.quota.borrower._peers
    tools = QuotaDependencies(QuotaSettings(), node.clock, node.config, peers, world.rows)
    node.quota = StaticQuota(tools)  # type: ignore[assignment]


def measure_refusals(
    policy: str, vms: int, account: Account, used_vms: int, evenly_spaced: bool
) -> None:
    """Offer 90% of the rate to ``used_vms`` daemons and print the refused percentage."""
    world = start_fleet(vms, [account], policy)
    generator = random.Random(1)
    nodes = list(world.nodes.values())[:used_vms]
    due = tick = start = world.time
    # A single bucket gets the same arrivals; what it refuses, no policy could have admitted.
    tokens, seen_at = account.burst, due
    sent = refused = unavoidable = 0
    # A wait advances the time of the whole simulation, so long waits would lower the offered rate.
    largest_lag = 0.0
    while sent < 2000 and due - start < 600.0:
        while tick <= due:
            world.time = max(world.time, tick)
            if policy == "loans":
                for node in world.nodes.values():
                    node.tick()
            tick += 1.0
        largest_lag = max(largest_lag, world.time - due)
        world.time = max(world.time, due)
        tokens = min(account.burst, tokens + account.rate * (world.time - seen_at))
        seen_at = world.time
        unavoidable += tokens < 1.0
        tokens -= tokens >= 1.0
        sent += 1
        refused += not isinstance(generator.choice(nodes).quota.admit(account), Ok)
        rate = OFFERED_FRACTION_OF_RATE * account.rate
        due += 1.0 / rate if evenly_spaced else generator.expovariate(rate)
    arrivals = "even" if evenly_spaced else "random"
    print(
        f"{policy:6} vms={vms:3} rate={account.rate:g} burst={account.burst:g} on={used_vms:2} "
        f"{arrivals}: refused {100 * refused / sent:.2f}%, "
        f"one bucket {100 * unavoidable / sent:.2f}%, largest lag {largest_lag:.2f} s"
    )


def measure_cost(vms: int, count: int) -> None:
    """Print the cost of admitting and renewing with ``count`` accounts active on one daemon."""
    accounts = [Account(f"a{index}", 1000.0, 1000.0) for index in range(count)]
    world = start_fleet(vms, accounts)
    node = world.nodes["vm0"]
    for account in accounts:
        for _ in range(100):
            node.quota.admit(account)
    node.quota.borrower.renew()
    started = time.perf_counter()
    admitted = sum(node.admit(account.name) for account in accounts for _ in range(50))
    admit = (time.perf_counter() - started) / (50 * count)
    sizes: list[int] = []
    call_peer = world.call_peer

    def record_call(source: str, target: str, action: object) -> object:
        return call_peer(source, target, lambda client: record_sizes(client, action, sizes))

    world.call_peer = record_call  # type: ignore[method-assign, assignment]
    started = time.perf_counter()
    node.quota.borrower.renew()
    renew = time.perf_counter() - started
    print(
        f"vms={vms:3} accounts={count:4}: admit {1e6 * admit:.1f} us ({admitted} admitted), "
        f"renewal {1e3 * renew:.1f} ms both sides, {len(sizes) // 2} calls, {sum(sizes)} bytes"
    )


def record_sizes(client: object, action: object, sizes: list[int]) -> object:
    """Run an action and append the sizes in bytes of its requests and replies to ``sizes``."""

    class RecordingClient:
        def borrow(self, request: object) -> object:
            reply = client.borrow(request)  # type: ignore[attr-defined]
            for message in (request, reply):
                buffer = TMemoryBuffer()
                message.write(TCompactProtocol(buffer))  # type: ignore[attr-defined]
                sizes.append(len(buffer.getvalue()))
            return reply

    return action(RecordingClient())  # type: ignore[operator]


def main() -> None:
    """Run the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", choices=("refusals", "cost"), required=True)
    part = parser.parse_args().part
    # The simulated fleet shortens this wait; the measurement uses that of a real daemon.
    quota_borrower.BORROW_WAIT_SECONDS = 0.1
    if part == "cost":
        for vms, count in ((3, 8), (12, 8), (12, 40), (12, 160), (48, 8), (120, 8)):
            measure_cost(vms, count)
        return
    for policy in ("loans", "static"):
        for vms in (3, 12):
            measure_refusals(policy, vms, Account("a", 100.0, 50.0), 1, False)
            measure_refusals(policy, vms, Account("a", 100.0, 50.0), vms, False)
            measure_refusals(policy, vms, Account("a", 0.5, 1.0), 1, True)
            measure_refusals(policy, vms, Account("a", 0.5, 1.0), vms, True)


if __name__ == "__main__":
    main()
