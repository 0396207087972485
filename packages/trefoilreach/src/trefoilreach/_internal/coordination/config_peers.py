"""Exchanges the configuration and the withdrawals with other daemons."""

import random
from typing import Protocol

from result import Err, Ok, Result

from trefoilreach._internal.coordination.config_copy import NOT_READY_VERSION, ConfigCopy
from trefoilreach._internal.coordination.peers import PeerError, Peers, PeerState
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import ConfigReply, Withdrawal
from trefoilreach._internal.state.config import ConfigError, Withdrawn, decode_config, pack_config

_FETCH_TIMEOUT_SECONDS = 2.0
_FETCH_TRIES = 3


class ConfigPeers(Peers, Protocol):
    """What the configuration needs of the fleet besides :class:`Peers`."""

    def known_count(self) -> int:
        """Return how many other VMs this daemon knows of."""

    def push_state(self) -> dict[str, Result[PeerState, PeerError]]:
        """Tell every live or leaving peer this daemon's state; return theirs."""


class PeerExchange:
    """Fetches from peers what this daemon lacks, and answers their fetches."""

    def __init__(self, copy: ConfigCopy, peers: ConfigPeers | None) -> None:
        self._copy = copy
        self._peers = peers

    def fetch(self, vm: str) -> Result[int, PeerError]:
        """Merge the withdrawals of a peer and adopt its document if it is higher.

        The peer heard of the difference too and does the same.

        :returns: version in force there.
        """
        assert self._peers is not None
        wanted = self._copy.version + 1 if self._copy.ready else 0
        fetched = self._peers.call(
            vm, lambda client: client.fetch_config(wanted), _FETCH_TIMEOUT_SECONDS
        )
        if isinstance(fetched, Err):
            return fetched
        reply = fetched.ok_value
        self.answer_withdraw(reply.withdrawals)
        if reply.document:
            self._adopt_encoded(reply.document)
        return Ok(reply.version)

    def fetch_from_any(self, version: int) -> bool:
        """Fetch a version that the head names but the object store does not give."""
        if self._peers is None:
            return False
        before = self._copy.version
        members = self._peers.members()
        for member in random.sample(members, min(_FETCH_TRIES, len(members))):
            self.fetch(member.vm)
            if self._copy.version >= version:
                break
        return self._copy.version > before

    def start_from_peers(self) -> bool:
        """Take the highest version that most of the known VMs hold; return whether they answered.

        A daemon that starts while the stores are down serves only after this.
        """
        if self._peers is None:
            return False
        known = self._peers.known_count()
        answers = 0
        for member in self._peers.members():
            outcome = self.fetch(member.vm)
            if isinstance(outcome, Ok) and outcome.ok_value != NOT_READY_VERSION:
                answers += 1
        if known == 0 or 2 * answers <= known:
            return False
        self._copy.ready = True
        log_event("config:from-peers", answers=answers, known=known)
        return True

    def answer_fetch(self, min_version: int) -> ConfigReply:
        """Return the withdrawals, and the document when its version is not too low."""
        version = self._copy.state().config_version
        data = b""
        if version >= max(min_version, 0):
            document = self._copy.document
            version, data = document.version, pack_config(document)
        withdrawals = [Withdrawal(*entry) for entry in self._copy.withdrawals.entries()]
        return ConfigReply(version=version, document=data, withdrawals=withdrawals)

    def answer_withdraw(self, withdrawals: list[Withdrawal]) -> None:
        """Merge withdrawals that a peer pushed."""
        self._copy.withdrawals.merge(
            Withdrawn(entry.key_id, entry.wall_time) for entry in withdrawals
        )

    def _adopt_encoded(self, data: bytes) -> bool:
        try:
            return self._copy.adopt(decode_config(data))
        except ConfigError as error:
            log_event("config:undecodable", error=str(error))
            return False
