"""What a controller believes and shows on the link, read from the directory of keys and read anew when it changes.

TLS by the standard library with gevent's sockets. Each certificate that is believed is its own root, so who is at the
other end is told by which of them it is, not by a name that anybody may write into one.
"""

from __future__ import annotations

import hashlib
import logging
import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
from gevent import ssl as gssl

from ..log_events import LogEvent

log = logging.getLogger(__name__)

#: how often the files are looked at, and how long a handshake may take, in seconds
LOOK_S, HANDSHAKE_S = 2.0, 3.0
#: what OpenSSL's verification says, as operators would: X509_V_ERR_CERT_HAS_EXPIRED, _NOT_YET_VALID, and strangers
_WHY = {10: "expired", 9: "not yet valid", 18: "unknown", 19: "unknown", 20: "unknown", 21: "unknown"}


class KeyringError(ValueError):
    """One line that names what is missing or cannot be read."""


def revoked(root: Path) -> set[str]:
    """Fingerprints that are not believed any more."""
    try:
        return set((root / "revoked").read_text().split())
    except FileNotFoundError:
        return set()


class Keyring:
    """The keys and certificates in force, read anew when their files change."""

    def __init__(self, root: Path, cluster: str, clock: Callable[[], float]) -> None:
        """Raises `KeyringError` if there is nothing to begin with; later faults are logged, and the old keys stay."""
        self.root = root
        self.cluster = cluster
        self.clock = clock
        #: goes up whenever something has changed: connections made before then need not be believed any more
        self.edition = 0
        self._seen: tuple[tuple[str, int, int], ...] = ()
        self._looked = clock()
        self._server: ssl.SSLContext
        self._clients: dict[str, ssl.SSLContext] = {}
        #: of each certificate that is or was believed
        self._owners: dict[str, str] = {}
        self._revoked: set[str] = set()
        self._load(self._state())

    def _state(self) -> tuple[tuple[str, int, int], ...]:
        files = [p for p in self.root.rglob("*") if p.is_file() and not p.name.startswith(".")]
        return tuple(sorted((str(p), (s := p.stat()).st_mtime_ns, s.st_size) for p in files))

    def refresh(self) -> None:
        """Looks at the files now and then; what cannot be used leaves everything as it was."""
        now = self.clock()
        if now - self._looked < LOOK_S:
            return
        self._looked = now
        try:
            state = self._state()
            if state != self._seen:
                self._load(state)
                log.info(LogEvent("federation_keys_reloaded", edition=self.edition))
        except (KeyringError, OSError) as e:
            log.warning(LogEvent("federation_keys_reload_failed", kept="the earlier ones stay", error=e))

    def _load(self, state: tuple[tuple[str, int, int], ...]) -> None:
        self._seen = state
        try:
            name = (self.root / "cluster").read_text().strip()
            number = (self.root / "active").read_text().strip()
            gone = revoked(self.root)
        except OSError as e:
            raise KeyringError(f"{self.root}: {e.strerror}: {Path(e.filename or '').name}") from e
        if name != self.cluster:
            raise KeyringError(f"{self.root}: keys of {name!r}, not of {self.cluster!r}")
        pem, key = self.root / "own" / f"{number}.pem", self.root / "own" / f"{number}.key"
        owners: dict[str, str] = {}
        #: of each cluster: fingerprints and certificates
        believed: dict[str, list[tuple[str, str]]] = {}
        for path in sorted((self.root / "trusted").glob("*/*.pem")):
            try:
                text = path.read_text()
                mark = hashlib.sha256(ssl.PEM_cert_to_DER_cert(text)).hexdigest()
            except (OSError, ValueError) as e:
                raise KeyringError(f"{path}: not a certificate: {e}") from e
            owners[mark] = path.parent.name
            believed.setdefault(path.parent.name, []).append((mark, text))

        def context(side: int, texts: list[str]) -> ssl.SSLContext:
            made: ssl.SSLContext = gssl.SSLContext(side)
            made.minimum_version = ssl.TLSVersion.TLSv1_3
            made.check_hostname = False
            made.verify_mode = ssl.CERT_REQUIRED
            try:
                made.load_cert_chain(pem, key)
                if texts:
                    made.load_verify_locations(cadata="\n".join(texts))
            except (OSError, ssl.SSLError, ValueError) as e:
                raise KeyringError(f"{pem}: {e}") from e
            return made

        # what is revoked is let through the handshake and refused after it, so that the log can say so
        server = context(ssl.PROTOCOL_TLS_SERVER, [text for pairs in believed.values() for _, text in pairs])
        clients = {}
        for peer, pairs in believed.items():
            good = [text for mark, text in pairs if mark not in gone]
            clients[peer] = context(ssl.PROTOCOL_TLS_CLIENT, good)
        self._server, self._clients, self._owners, self._revoked = server, clients, owners, gone
        self.edition += 1

    def client(self, peer: str) -> ssl.SSLContext | None:
        """For connections to that cluster, which only its own certificates pass; None if none are believed."""
        self.refresh()
        return self._clients.get(peer)

    def greet(self, sock: Any, host: str) -> Any:
        """The server's side of a handshake: the connection with `peer` set, or None, and a line that says why."""
        self.refresh()
        try:
            with gevent.Timeout(HANDSHAKE_S, TimeoutError("no handshake")):
                made = self._server.wrap_socket(sock, server_side=True)
        except ssl.SSLCertVerificationError as e:
            log.warning(
                LogEvent(
                    "link_refused",
                    host=host,
                    reason=f"its certificate is {_WHY.get(e.verify_code, e.verify_message)}",
                )
            )
            return None
        except (ssl.SSLEOFError, ConnectionError, TimeoutError) as e:
            log.debug(LogEvent("link_handshake_broken_off", host=host, error=e))
            return None
        except (OSError, ValueError) as e:
            log.warning(LogEvent("link_refused", host=host, reason=getattr(e, "reason", None) or e))
            return None
        mark = hashlib.sha256(made.getpeercert(binary_form=True) or b"").hexdigest()
        owner = self._owners.get(mark)
        if mark in self._revoked or owner is None:
            why = "revoked" if mark in self._revoked else "unknown"
            log.warning(
                LogEvent(
                    "link_refused", host=host, certificate=mark[:16], owner=owner, reason=f"its certificate is {why}"
                )
            )
            made.close()
            return None
        made.peer = (owner, mark)  # type: ignore[attr-defined]
        return made

    def believes(self, peer: tuple[str, str] | None) -> bool:
        """Whether a connection that was let in would be let in now: one may outlive the keys that opened it."""
        self.refresh()
        return peer is not None and peer[1] not in self._revoked and self._owners.get(peer[1]) == peer[0]
