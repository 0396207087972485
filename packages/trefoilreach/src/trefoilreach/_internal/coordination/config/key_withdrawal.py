"""Withdraws a key on this daemon, on its peers and in the platform's stores."""

from typing import NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.replica import ConfigReplica
from trefoilreach._internal.coordination.config.writer import ConfigWriter
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import Withdrawal
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.config import BOOTSTRAP_KEY_ID, WithdrawnKey

_PUSH_TIMEOUT_SECONDS = 1.0


class WithdrawReport(NamedTuple):
    """Progress of a withdrawal.

    :param in_force: VMs that refuse the key now.
    :param pending: VMs that did not answer; they receive it when they are reachable again.
    :param durable: whether the configuration in the stores includes it.
    """

    key_id: str
    in_force: tuple[str, ...]
    pending: tuple[str, ...]
    durable: bool


class KeyWithdrawal:
    """Executes key withdrawals."""

    def __init__(
        self, clock: Clock, copy: ConfigReplica, writer: ConfigWriter, peers: Peers | None
    ) -> None:
        self._clock = clock
        self._replica = copy
        self._writer = writer
        self._peers = peers

    def withdraw(self, key_id: str) -> Result[WithdrawReport, Refusal]:
        """Withdraw a key here, on all peers that answer, and in the stores."""
        known = {key.id for key in self._replica.document.keys} | {BOOTSTRAP_KEY_ID}
        if key_id not in known and key_id not in self._replica.withdrawals.ids:
            return Err(Refusal(404, "key_not_found", f"there is no key {key_id!r}"))
        self._replica.withdrawals.merge([WithdrawnKey(key_id, self._clock.wall_time())])
        in_force, pending = self._push(key_id)
        durable = isinstance(self._writer.make_durable(), Ok)
        log_event("withdrawal", key_id=key_id, pending=pending, durable=durable)
        return Ok(WithdrawReport(key_id, tuple(in_force), tuple(pending), durable))

    def _push(self, key_id: str) -> tuple[list[str], list[str]]:
        """Return the VMs where the key is refused now, and those that did not answer."""
        if self._peers is None:
            return [""], []
        entries = [entry for entry in self._replica.withdrawals.entries() if entry.key_id == key_id]
        message = [Withdrawal(*entry) for entry in entries]
        outcomes = self._peers.broadcast(
            lambda client: client.withdraw(message), _PUSH_TIMEOUT_SECONDS
        )
        in_force = [self._peers.own_member.vm]
        for vm, outcome in outcomes.items():
            if isinstance(outcome, Ok):
                self._replica.withdrawals.record_in_force(vm, [key_id])
                in_force.append(vm)
        pending = {member.vm for member in self._peers.members()} - set(in_force)
        return sorted(in_force), sorted(pending)
