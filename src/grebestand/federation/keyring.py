"""The certificates that a controller trusts and presents on the link, reloaded when their files change.

TLS is that of the standard library, with gevent's sockets. Each trusted certificate is its own trust root. A peer is
identified by the certificate that it presents, not by the name in the certificate, which anybody can choose.
"""

from __future__ import annotations

import hashlib
import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import gevent
from gevent import ssl as gevent_ssl

from ..errors import GrebestandError
from ..log_events import LogEvent

log = logging.getLogger(__name__)

#: Interval between two checks of the files for changes, in seconds.
CHECK_INTERVAL_S = 2.0
#: Timeout of a TLS handshake, in seconds.
HANDSHAKE_TIMEOUT_S = 3.0
#: Number of hexadecimal digits of a certificate's fingerprint that are logged.
LOGGED_FINGERPRINT_DIGITS = 16
#: Names of OpenSSL's verification errors: 10 is X509_V_ERR_CERT_HAS_EXPIRED, 9 is X509_V_ERR_CERT_NOT_YET_VALID, and
#: the others mean an unknown issuer.
VERIFICATION_ERRORS = {10: "expired", 9: "not yet valid", 18: "unknown", 19: "unknown", 20: "unknown", 21: "unknown"}


class KeyringError(GrebestandError, ValueError):
    """A cluster's keys or certificates cannot be used.

    Attributes:
        path: The file or directory at fault.
        reason: What is missing or cannot be read.
    """

    def __init__(self, path: Path, reason: str) -> None:
        self.path = path
        self.reason = reason
        super().__init__(f"{path}: {reason}")


class Peer(NamedTuple):
    """The peer of an accepted connection: the name of its cluster and the fingerprint of its certificate."""

    cluster: str
    fingerprint: str


class FileState(NamedTuple):
    """State of a file, to detect changes: path, modification time in nanoseconds and size in bytes."""

    path: str
    modified_ns: int
    size: int


@dataclass
class _TrustedCertificates:
    """Trusted and revoked certificates: owners by fingerprint, and PEM texts by cluster and fingerprint."""

    owners: dict[str, str] = field(default_factory=dict)
    by_cluster: dict[str, dict[str, str]] = field(default_factory=dict)


def read_revoked(root: Path) -> set[str]:
    """Return the fingerprints of revoked certificates.

    Args:
        root: The directory of keys.
    """
    try:
        return set((root / "revoked").read_text().split())
    except FileNotFoundError:
        return set()


class Keyring:
    """The current keys and certificates of a cluster."""

    def __init__(self, root: Path, cluster: str, clock: Callable[[], float]) -> None:
        """Read the keys. If a later reload fails, the failure is logged and the earlier keys stay in use.

        Args:
            root: The directory of keys; the module `keys` describes its files.
            cluster: Name of this cluster.
            clock: Steady clock, in seconds.

        Raises:
            KeyringError: There are no usable keys.
        """
        self.root = root
        self.cluster = cluster
        self.clock = clock
        #: Incremented by each reload, so that links replace connections that were made with an earlier edition.
        self.edition = 0
        self._loaded_state: tuple[FileState, ...] = ()
        self._checked_at = clock()
        self._server_context: ssl.SSLContext
        self._client_contexts: dict[str, ssl.SSLContext] = {}
        #: The cluster of each trusted or revoked certificate, by fingerprint.
        self._owners: dict[str, str] = {}
        self._revoked: set[str] = set()
        self._load(self._file_states())

    def _file_states(self) -> tuple[FileState, ...]:
        states = []
        for path in self.root.rglob("*"):
            if path.is_file() and not path.name.startswith("."):
                status = path.stat()
                states.append(FileState(str(path), status.st_mtime_ns, status.st_size))
        return tuple(sorted(states))

    def refresh(self) -> None:
        """Reload the files if they have changed, at most once per `CHECK_INTERVAL_S`; unusable files have no effect."""
        now = self.clock()
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        try:
            state = self._file_states()
            if state != self._loaded_state:
                self._load(state)
                log.info(LogEvent("federation_keys_reloaded", edition=self.edition))
        except (KeyringError, OSError) as error:
            log.warning(LogEvent("federation_keys_reload_failed", kept="the earlier ones stay", error=error))

    def _load(self, state: tuple[FileState, ...]) -> None:
        self._loaded_state = state
        try:
            name = (self.root / "cluster").read_text().strip()
            generation = (self.root / "active").read_text().strip()
            revoked_now = read_revoked(self.root)
        except OSError as error:
            raise KeyringError(self.root, f"{error.strerror}: {Path(error.filename or '').name}") from error
        if name != self.cluster:
            raise KeyringError(self.root, f"keys of {name!r}, not of {self.cluster!r}")
        trusted = self._read_trusted()
        # Revoked certificates pass the handshake and are refused afterwards, so that the log can name the reason.
        every_text = [text for texts in trusted.by_cluster.values() for text in texts.values()]
        server_context = self._context(ssl.PROTOCOL_TLS_SERVER, generation, every_text)
        client_contexts = {}
        for peer, texts in trusted.by_cluster.items():
            valid = [text for fingerprint, text in texts.items() if fingerprint not in revoked_now]
            client_contexts[peer] = self._context(ssl.PROTOCOL_TLS_CLIENT, generation, valid)
        self._server_context, self._client_contexts = server_context, client_contexts
        self._owners, self._revoked = trusted.owners, revoked_now
        self.edition += 1

    def _read_trusted(self) -> _TrustedCertificates:
        trusted = _TrustedCertificates()
        for path in sorted((self.root / "trusted").glob("*/*.pem")):
            try:
                text = path.read_text()
                fingerprint = hashlib.sha256(ssl.PEM_cert_to_DER_cert(text)).hexdigest()
            except (OSError, ValueError) as error:
                raise KeyringError(path, f"not a certificate: {error}") from error
            cluster = path.parent.name
            trusted.owners[fingerprint] = cluster
            trusted.by_cluster.setdefault(cluster, {})[fingerprint] = text
        return trusted

    def _context(self, protocol: int, generation: str, trusted_texts: list[str]) -> ssl.SSLContext:
        """Return a TLS context that presents a generation's certificate and trusts the given certificates."""
        certificate = self.root / "own" / f"{generation}.pem"
        context: ssl.SSLContext = gevent_ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False  # peers are identified by their certificates, not by host names
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(certificate, self.root / "own" / f"{generation}.key")
            if trusted_texts:
                context.load_verify_locations(cadata="\n".join(trusted_texts))
        except (OSError, ssl.SSLError, ValueError) as error:
            raise KeyringError(certificate, str(error)) from error
        return context

    def client_context(self, peer: str) -> ssl.SSLContext | None:
        """Return the TLS context for connections to a cluster, which trusts only that cluster's certificates.

        Args:
            peer: Name of the other cluster.

        Returns:
            The context, or None if no certificate of the other cluster is known.
        """
        self.refresh()
        return self._client_contexts.get(peer)

    def accept_handshake(self, sock: Any, host: str) -> Any:
        """Make the server side of a TLS handshake.

        Args:
            sock: The accepted TCP connection.
            host: Address of the peer, for the log.

        Returns:
            The TLS connection, with a `Peer` as its attribute `peer`; None if the peer is refused, with a log event.
        """
        self.refresh()
        connection = self._handshake(sock, host)
        if connection is None:
            return None
        fingerprint = hashlib.sha256(connection.getpeercert(binary_form=True) or b"").hexdigest()
        owner = self._owners.get(fingerprint)
        if owner is None or fingerprint in self._revoked:
            found = "revoked" if fingerprint in self._revoked else "unknown"
            log.warning(
                LogEvent(
                    "link_refused",
                    host=host,
                    certificate=fingerprint[:LOGGED_FINGERPRINT_DIGITS],
                    owner=owner,
                    reason=f"its certificate is {found}",
                )
            )
            connection.close()
            return None
        connection.peer = Peer(owner, fingerprint)
        return connection

    def _handshake(self, sock: Any, host: str) -> Any:
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_S, TimeoutError("no handshake")):
                return self._server_context.wrap_socket(sock, server_side=True)
        except ssl.SSLCertVerificationError as error:
            found = VERIFICATION_ERRORS.get(error.verify_code, error.verify_message)
            log.warning(LogEvent("link_refused", host=host, reason=f"its certificate is {found}"))
        except (ssl.SSLEOFError, ConnectionError, TimeoutError) as error:
            log.debug(LogEvent("link_handshake_broken_off", host=host, error=error))
        except (OSError, ValueError) as error:
            log.warning(LogEvent("link_refused", host=host, reason=getattr(error, "reason", None) or error))
        return None

    def trusts(self, peer: tuple[str, str] | None) -> bool:
        """Return whether a connection would be accepted now; its certificate may have been revoked while it was open.

        Args:
            peer: The cluster and fingerprint of the connection's peer, or None.
        """
        self.refresh()
        if peer is None:
            return False
        cluster, fingerprint = peer
        return fingerprint not in self._revoked and self._owners.get(fingerprint) == cluster
