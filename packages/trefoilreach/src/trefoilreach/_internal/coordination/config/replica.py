"""Local replica of the configuration and the withdrawals."""

from collections.abc import Sequence

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.config.changes import ChangeLog
from trefoilreach._internal.coordination.config.withdrawals import WithdrawalSet
from trefoilreach._internal.coordination.membership.peers import PeerState
from trefoilreach._internal.state.config import ConfigDocument

# Version that a daemon sends while it does not know yet which version is in force.
NOT_READY_VERSION = -1


class ConfigReplica:
    """Holds the highest document seen and the merged withdrawals.

    ``ready`` is set once this daemon knows which version is in force.
    """

    def __init__(self, clock: Clock, holder: ActiveConfig, own_vm: str) -> None:
        self.ready = False
        self.withdrawals = WithdrawalSet(clock, own_vm)
        self.changes = ChangeLog()
        self._holder = holder

    @property
    def document(self) -> ConfigDocument:
        """The document in force here."""
        return self._holder.view.document

    @property
    def version(self) -> int:
        """Version of the document in force here."""
        return self._holder.view.document.version

    def state(self) -> PeerState:
        """Return the configuration state to send with probes."""
        version = self.version if self.ready else NOT_READY_VERSION
        return PeerState(version, self.withdrawals.digest)

    def adopt(self, document: ConfigDocument, changes: Sequence[bytes] = ()) -> bool:
        """Adopt a document that was in force in the fleet if its version is higher than here.

        :param changes: encoded changes that lead to the document, stored to serve peers.
        """
        self.changes.record(document.version, changes)
        self.withdrawals.merge(document.withdrawn)
        return self._holder.adopt(document)

    def has_unstored_withdrawals(self) -> bool:
        """Return whether the document lacks a known withdrawal."""
        named = {entry.key_id for entry in self.document.withdrawn}
        return not self.withdrawals.ids <= named
