"""The active configuration of one process; its revision number never decreases."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from hibiscustray.deployments.ini import parse_deployment
from hibiscustray.deployments.justification import Justification
from hibiscustray.deployments.model import Deployment
from hibiscustray.deployments.revisions import Revision
from hibiscustray.deployments.signing import OperatorKeys
from hibiscustray.exceptions import NoConfiguration, SettingsError

log = logging.getLogger(__name__)

Listener = Callable[[Revision, Deployment], None]


class Configuration:
    """Holds the highest accepted revision that this process has received."""

    def __init__(
        self, keys: OperatorKeys | None = None, justification: Justification | None = None
    ) -> None:
        self._keys = keys
        self.justification = justification or Justification()
        self._revision: Revision | None = None
        self._deployment: Deployment | None = None
        self._digest = ""
        self._changed = threading.Condition()
        self._listeners: list[Listener] = []

    @property
    def number(self) -> int:
        """Return the number of the active revision, zero before the first."""
        revision = self._revision
        return revision.number if revision else 0

    @property
    def revision(self) -> Revision:
        """Return the active revision; raise `NoConfiguration` before the first."""
        if self._revision is None:
            raise NoConfiguration("no revision was received yet")
        return self._revision

    @property
    def digest(self) -> str:
        """Return the digest of the active revision, empty before the first."""
        return self._digest

    @property
    def deployment(self) -> Deployment:
        """Return the active deployment; raise `NoConfiguration` before the first."""
        if self._deployment is None:
            raise NoConfiguration("no revision was received yet")
        return self._deployment

    def add_listener(self, listener: Listener) -> None:
        """Add a function that is called after each change, in the thread that made the change."""
        self._listeners.append(listener)

    def adopt(self, revision: Revision) -> bool:
        """Activate a revision if it is valid and newer; return whether it was activated."""
        if self._keys is not None and not self._keys.is_signed_by_operator(revision):
            log.error(
                "rejected a revision without a valid signature", extra={"revision": revision.number}
            )
            return False
        try:
            deployment = parse_deployment(revision.text, f"revision {revision.number}")
        except SettingsError:
            log.error(
                "rejected a revision with an invalid deployment",
                extra={"revision": revision.number},
            )
            return False
        with self._changed:
            if revision.number <= self.number:
                return False
            self._revision = revision
            self._digest = revision.digest
            self._deployment = deployment
            self._changed.notify_all()
        log.info("configuration activated", extra={"revision": revision.number})
        for listener in self._listeners:
            listener(revision, deployment)
        return True

    def is_justified(self) -> bool:
        """Return whether this process may serve its active revision."""
        return self._deployment is not None and self.justification.allows_serving()

    def wait_for(self, number: int, timeout_s: float) -> bool:
        """Wait until the active revision is at least `number`; return whether it is."""
        with self._changed:
            return self._changed.wait_for(lambda: self.number >= number, timeout_s)
