"""Exchanges the configuration and the withdrawals with other daemons."""

import random
from collections.abc import Sequence
from typing import Protocol

from result import Err, Ok, Result

from trefoilreach._internal.coordination.config.replica import NOT_READY_VERSION, ConfigReplica
from trefoilreach._internal.coordination.membership.peers import PeerError, Peers, PeerState
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import ConfigReply, Withdrawal
from trefoilreach._internal.state.config import (
    ConfigDocument,
    ConfigError,
    WithdrawnKey,
    decode_config,
    encode_compressed_config,
)
from trefoilreach._internal.state.config_change import apply_changes

_FETCH_TIMEOUT_SECONDS = 2.0
_FETCH_TRIES = 3
# Base version in a request that only a whole document can answer.
_NO_BASE = -1


class ConfigPeers(Peers, Protocol):
    """Fleet operations that the configuration needs in addition to :class:`Peers`."""

    def count_known_vms(self) -> int:
        """Return how many other VMs this daemon knows of."""

    def push_state(self) -> dict[str, Result[PeerState, PeerError]]:
        """Send this daemon's state to every live or leaving peer; return their states."""


class PeerExchange:
    """Fetches missing configuration and withdrawals from peers, and serves their fetches."""

    def __init__(self, copy: ConfigReplica, peers: ConfigPeers | None) -> None:
        self._replica = copy
        self._peers = peers

    def fetch(self, vm: str) -> Result[int, PeerError]:
        """Merge the withdrawals of a peer and adopt its document if it is higher.

        The peer sees the difference in the same probe and fetches from this daemon.

        :returns: version in force on the peer.
        """
        base = self._replica.document
        fetched = self._request_config(vm, base.version if self._replica.ready else _NO_BASE)
        if isinstance(fetched, Ok) and fetched.ok_value.changes:
            if self._adopt_changes(base, fetched.ok_value.changes):
                return Ok(fetched.ok_value.version)
            fetched = self._request_config(vm, _NO_BASE)
        if isinstance(fetched, Err):
            return fetched
        reply = fetched.ok_value
        if reply.document:
            self._adopt_encoded(reply.document)
        return Ok(reply.version)

    def fetch_from_any(self, version: int) -> bool:
        """Fetch a version from random peers when the object store does not return it.

        :returns: whether a higher version came into force.
        """
        if self._peers is None:
            return False
        before = self._replica.version
        members = self._peers.members()
        for member in random.sample(members, min(_FETCH_TRIES, len(members))):
            self.fetch(member.vm)
            if self._replica.version >= version:
                break
        return self._replica.version > before

    def bootstrap_from_peers(self) -> bool:
        """Adopt the highest version held by peers; return whether most known VMs answered.

        A daemon that starts while the stores are down serves only after this succeeded.
        """
        if self._peers is None:
            return False
        known = self._peers.count_known_vms()
        answers = 0
        for member in self._peers.members():
            outcome = self.fetch(member.vm)
            if isinstance(outcome, Ok) and outcome.ok_value != NOT_READY_VERSION:
                answers += 1
        if known == 0 or 2 * answers <= known:
            return False
        self._replica.ready = True
        log_event("config:from-peers", answers=answers, known=known)
        return True

    def answer_fetch(self, min_version: int, base_version: int | None) -> ConfigReply:
        """Return the withdrawals, and the configuration when its version is not too low.

        :param base_version: version that the requester has; the changes since then are returned
            instead of the document if this daemon still holds all of them.
        """
        version = self._replica.state().config_version
        data, changes = b"", []
        if version >= max(min_version, 0):
            document = self._replica.document
            version = document.version
            if base_version is not None:
                changes = self._replica.changes.find(base_version, version)
            data = b"" if changes else encode_compressed_config(document)
        withdrawals = [Withdrawal(*entry) for entry in self._replica.withdrawals.entries()]
        return ConfigReply(version=version, document=data, withdrawals=withdrawals, changes=changes)

    def answer_withdraw(self, withdrawals: list[Withdrawal]) -> None:
        """Merge withdrawals pushed by a peer."""
        self._replica.withdrawals.merge(
            WithdrawnKey(entry.key_id, entry.wall_time) for entry in withdrawals
        )

    def _request_config(self, vm: str, base_version: int) -> Result[ConfigReply, PeerError]:
        assert self._peers is not None
        wanted = self._replica.version + 1 if self._replica.ready else 0
        fetched: Result[ConfigReply, PeerError] = self._peers.call(
            vm, lambda client: client.fetch_config(wanted, base_version), _FETCH_TIMEOUT_SECONDS
        )
        if isinstance(fetched, Ok):
            self.answer_withdraw(fetched.ok_value.withdrawals)
        return fetched

    def _adopt_changes(self, base: ConfigDocument, changes: Sequence[bytes]) -> bool:
        """Apply and adopt changes to ``base``; return whether they could be applied."""
        try:
            document = apply_changes(base, changes)
        except ConfigError as error:
            log_event("config:change-unusable", error=str(error))
            return False
        self._replica.adopt(document, changes)
        return True

    def _adopt_encoded(self, data: bytes) -> bool:
        try:
            return self._replica.adopt(decode_config(data))
        except ConfigError as error:
            log_event("config:undecodable", error=str(error))
            return False
