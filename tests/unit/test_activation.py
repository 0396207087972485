"""Tests which daemons of a large fleet are active, on simulated time."""

import random

from trefoilreach._internal.coordination.serving.activation import (
    FleetMember,
    FleetView,
    RolePolicy,
    count_wanted,
    rank_members,
)

DATA_CENTRES = ("a", "b", "c", "d", "e", "f")
SLOTS = 39 * 8


def make_members(strong: int = 48, weak: int = 147) -> list[FleetMember]:
    return [
        FleetMember(f"vm-{n}", DATA_CENTRES[n % 6], 2.15 if n < strong else 0.516, False)
        for n in range(strong + weak)
    ]


class Fleet:
    """Daemons that learn of each other's roles with a delay, and of losses with a longer one."""

    HEAR_SECONDS = 0.6
    LOSS_SECONDS = 1.0

    def __init__(self, members: list[FleetMember]) -> None:
        self.now = 0.0
        self.members = {member.vm: member for member in members}
        self.policies = {vm: RolePolicy(vm, 0.0) for vm in self.members}
        self.lost: dict[str, float] = {}
        self.heard: list[tuple[float, dict[str, bool]]] = [
            (-1.0, dict.fromkeys(self.members, False))
        ]
        self.changes = 0

    @property
    def active(self) -> set[str]:
        return {
            vm
            for vm, policy in self.policies.items()
            if policy.role.offered and vm not in self.lost
        }

    def lose(self, vms: set[str]) -> None:
        self.lost |= dict.fromkeys(vms, self.now)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.3
            heard = [roles for at, roles in self.heard if at <= self.now - self.HEAR_SECONDS]
            roles = heard[-1] if heard else self.heard[0][1]
            for vm, policy in self.policies.items():
                if vm not in self.lost:
                    self._update(vm, policy, roles)
            actual = {vm: policy.role.active for vm, policy in self.policies.items()}
            self.heard.append((self.now, actual))

    def _update(self, vm: str, policy: RolePolicy, roles: dict[str, bool]) -> None:
        gone = {v for v, at in self.lost.items() if at <= self.now - self.LOSS_SECONDS}
        view = FleetView(
            [
                member._replace(active=policy.role.active if v == vm else roles[v])
                for v, member in self.members.items()
                if v not in gone
            ],
            len(self.members),
            SLOTS,
        )
        before = policy.role
        self.changes += policy.update(view, self.now, busy=False) != before


def test_part_of_a_large_fleet_is_active_on_strong_vms_of_each_data_centre() -> None:
    """Guards against reports whose cost grows with the square of the fleet."""
    fleet = Fleet(make_members())
    fleet.run(6.0)
    active = [fleet.members[vm] for vm in fleet.active]
    assert len(active) == count_wanted(FleetView(make_members(), 195, SLOTS)) == 20
    assert {member.cores for member in active} == {2.15}
    by_data_centre = [sum(m.data_centre == name for m in active) for name in DATA_CENTRES]
    assert min(by_data_centre) >= 3
    # Each active daemon became active once, and no other one ever did.
    assert fleet.changes == 20


def test_every_daemon_of_a_small_fleet_is_active_at_once() -> None:
    policy = RolePolicy("vm-0", 0.0)
    view = FleetView(make_members(strong=12, weak=0), 12, 40)
    assert policy.update(view, 0.1, busy=False).offered


def test_daemon_that_knows_few_others_waits_before_it_becomes_active() -> None:
    """Guards against hundreds of active daemons after a start of all at once."""
    policy = RolePolicy("vm-190", 0.0)
    few = FleetView(make_members()[185:], 195, SLOTS)
    assert not policy.update(few, 0.5, busy=False).active
    assert not policy.update(few._replace(known_daemons=0), 0.6, busy=False).active


def test_lost_active_daemons_are_replaced_in_seconds() -> None:
    """Guards against a fleet that has too few active daemons after many were lost together."""
    fleet = Fleet(make_members())
    fleet.run(6.0)
    lost = set(random.Random(1).sample(sorted(fleet.members), 120)) | set(sorted(fleet.active)[:15])
    fleet.lose(lost)
    fleet.run(3.0)
    assert len(fleet.active) >= 20
    fleet.run(10.0)
    # Too many may have joined; the surplus withdraws.
    assert len(fleet.active) == 20


def test_better_daemons_replace_others_without_a_gap() -> None:
    """Guards against a time without enough active daemons when strong VMs return."""
    members = make_members()
    fleet = Fleet(members)
    strong = {member.vm for member in members if member.cores > 1.0}
    fleet.lose(strong)
    fleet.run(6.0)
    assert len(fleet.active) == 20
    fleet.lost.clear()
    for _ in range(40):
        fleet.run(0.3)
        assert len(fleet.active) >= 20
    assert fleet.active <= strong


def test_withdrawn_daemon_stays_active_until_its_callers_have_left() -> None:
    """Guards against batch jobs and callers that are dropped when a daemon is replaced."""
    members = make_members(strong=30, weak=0)
    policy = RolePolicy("vm-29", 0.0)
    alone = FleetView([member for member in members if member.vm == "vm-29"], 30, SLOTS)
    assert policy.update(alone, 2.0, busy=False).offered
    full = FleetView([member._replace(active=True) for member in members], 30, SLOTS)
    assert policy.update(full, 3.0, busy=False).offered
    withdrawn = policy.update(full, 7.0, busy=False)
    assert withdrawn.active and not withdrawn.offered
    assert policy.update(full, 12.0, busy=False).active
    assert policy.update(full, 18.0, busy=True).active
    assert not policy.update(full, 18.5, busy=False).active


def test_rank_is_the_same_in_any_input_order() -> None:
    members = make_members()
    shuffled = random.Random(2).sample(members, len(members))
    assert rank_members(members) == rank_members(shuffled)
