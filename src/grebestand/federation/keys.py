"""Management of a cluster's keys and certificates by its operators; needs the library `cryptography`.

A directory of keys contains

    cluster           the cluster's name
    own/0001.key      private key of generation 0001
    own/0001.pem      self-signed certificate of generation 0001, to be copied to the other clusters
    active            the number of the generation that this cluster presents to others
    trusted/NAME/*.pem  trusted certificates of the cluster NAME
    revoked           fingerprints of revoked certificates, one a line

There is no certificate authority: each cluster trusts exactly the certificates that its operators received from the
operators of other clusters. Several certificates of a cluster can be trusted at a time, so that a new generation is
distributed before it is used, while the old generation stays valid. Controllers reload changed files (`keyring`).
"""

from __future__ import annotations

import datetime as dt
import os
import tempfile
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from ..errors import GrebestandError
from .keyring import read_revoked

#: A certificate is valid from this long before its creation, because clocks of other clusters may be behind.
VALID_BEFORE = dt.timedelta(hours=1)
#: Limit on the length of a cluster's name, in characters.
MAX_CLUSTER_NAME_LENGTH = 60
#: Number of hexadecimal digits of a certificate's fingerprint in the name of its file.
FILE_NAME_DIGITS = 16
#: A prefix of a fingerprint needs at least this many hexadecimal digits to name a certificate.
MIN_FINGERPRINT_DIGITS = 8
#: Glob pattern of the certificates of generations: 0001.pem, 0002.pem, ...
GENERATION_FILES = "[0-9][0-9][0-9][0-9].pem"
#: File mode of private keys: readable by their owner only.
PRIVATE_MODE = 0o600
PUBLIC_MODE = 0o644


class KeyFileError(GrebestandError, ValueError):
    """An operation on the keys is not possible.

    Attributes:
        reason: One line that names the file or the name at fault.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


@dataclass(frozen=True)
class KeySummary:
    """Summary of one certificate.

    Attributes:
        cluster: Name of the cluster that owns the certificate.
        file: Path of the certificate in the directory of keys.
        fingerprint: SHA-256 of the certificate, in hexadecimal digits.
        until: When the certificate expires.
        state: "active", "ready" (an own generation that is not active), "trusted", "revoked" or "expired".
    """

    cluster: str
    file: str
    fingerprint: str
    until: dt.datetime
    state: str


def check_name(name: str) -> str:
    """Return a cluster's name unchanged if it is valid.

    Raises:
        KeyFileError: The name is invalid.
    """
    allowed = all(character.isalnum() or character in "-_." for character in name)
    if not name or len(name) > MAX_CLUSTER_NAME_LENGTH or not allowed or name.startswith("."):
        raise KeyFileError(f"not a cluster's name: {name!r} (letters, digits, '-', '_' and '.')")
    return name


def fingerprint(cert: x509.Certificate) -> str:
    """Return the SHA-256 of a certificate, in hexadecimal digits."""
    return cert.fingerprint(hashes.SHA256()).hex()


def _write(path: Path, data: bytes, mode: int = PUBLIC_MODE) -> None:
    """Write a file atomically, because a controller may read it at any time."""
    path.parent.mkdir(parents=True, exist_ok=True)
    handle, temporary = tempfile.mkstemp(dir=path.parent, prefix=".new-")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(data)
        os.chmod(temporary, mode)
        os.replace(temporary, path)
    except BaseException:  # also on KeyboardInterrupt, so that no temporary file with a private key is left
        Path(temporary).unlink(missing_ok=True)
        raise


def _read_certificate(path: Path) -> x509.Certificate:
    try:
        return x509.load_pem_x509_certificate(path.read_bytes())
    except (OSError, ValueError) as error:
        raise KeyFileError(f"{path}: not a certificate: {error}") from error


def _generations(root: Path) -> list[str]:
    """Return the numbers of this cluster's generations, in ascending order."""
    return sorted(path.stem for path in (root / "own").glob(GENERATION_FILES))


def _make_generation(root: Path, name: str, days: float, now: dt.datetime) -> Path:
    """Make the next generation of a cluster's key and certificate, without activating it; return the certificate."""
    present = _generations(root)
    number = int(present[-1]) + 1 if present else 1
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = _self_signed_certificate(key, name, now, now + dt.timedelta(days=days))
    private = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    own = root / "own"
    _write(own / f"{number:04d}.key", private, PRIVATE_MODE)
    _write(own / f"{number:04d}.pem", certificate.public_bytes(serialization.Encoding.PEM))
    return own / f"{number:04d}.pem"


def _self_signed_certificate(
    key: ec.EllipticCurvePrivateKey, name: str, now: dt.datetime, until: dt.datetime
) -> x509.Certificate:
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - VALID_BEFORE)
        .not_valid_after(until)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        # The key identifiers distinguish the generations of a cluster, which have the same name.
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(key.public_key()), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )


def _own_name(root: Path) -> str:
    try:
        return check_name((root / "cluster").read_text().strip())
    except OSError as error:
        raise KeyFileError(f"{root}: no keys here; make them with 'keys create' ({error.strerror})") from error


def create(root: Path, name: str, days: float, now: dt.datetime) -> Path:
    """Make the first generation of a cluster's key and certificate, and activate it.

    Args:
        root: The directory of keys.
        name: Name of this cluster.
        days: How long the certificate is valid, in days.
        now: The current time.

    Returns:
        Path of the certificate, to be copied to the other clusters.

    Raises:
        KeyFileError: The name is invalid, or the directory contains keys already.
    """
    check_name(name)
    if (root / "cluster").exists():
        raise KeyFileError(f"{root}: there are keys already; 'keys rotate' makes the next ones")
    certificate = _make_generation(root, name, days, now)
    _write(root / "cluster", name.encode() + b"\n")
    _write(root / "active", certificate.stem.encode() + b"\n")
    return certificate


def rotate(root: Path, days: float, now: dt.datetime) -> Path:
    """Make the next generation, to be distributed to other clusters while the active one is still in use.

    Args:
        root: The directory of keys.
        days: How long the certificate is valid, in days.
        now: The current time.

    Returns:
        Path of the certificate, to be copied to the other clusters.

    Raises:
        KeyFileError: The directory contains no keys yet.
    """
    return _make_generation(root, _own_name(root), days, now)


def activate(root: Path, number: str | None = None) -> str:
    """Activate a generation, which the other clusters must trust already.

    Args:
        root: The directory of keys.
        number: Number of the generation; the newest by default.

    Returns:
        Number of the generation.

    Raises:
        KeyFileError: There is no such generation.
    """
    _own_name(root)
    present = _generations(root)
    chosen = number or (present[-1] if present else "")
    if chosen not in present or not (root / "own" / f"{chosen}.key").exists():
        raise KeyFileError(f"{root}: no generation {chosen!r} (there are: {', '.join(present) or 'none'})")
    _write(root / "active", chosen.encode() + b"\n")
    return chosen


def trust(root: Path, file: Path) -> Path:
    """Trust another cluster's certificate, in addition to those that are trusted already.

    Args:
        root: The directory of keys.
        file: The certificate.

    Returns:
        Path of the copy in the directory of keys.

    Raises:
        KeyFileError: The file is not a certificate of another cluster.
    """
    own_name = _own_name(root)
    certificate = _read_certificate(file)
    names = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    name = check_name(str(names[0].value)) if names else ""
    if not name:
        raise KeyFileError(f"{file}: expected a cluster's name as the certificate's common name, found none")
    if name == own_name:
        raise KeyFileError(f"{file}: expected a certificate of another cluster, found one of this cluster itself")
    path = root / "trusted" / name / f"{fingerprint(certificate)[:FILE_NAME_DIGITS]}.pem"
    _write(path, certificate.public_bytes(serialization.Encoding.PEM))
    return path


def revoke(root: Path, prefix: str) -> KeySummary:
    """Revoke a certificate. Controllers refuse it, also on open connections, once they have reloaded the keys.

    Args:
        root: The directory of keys.
        prefix: The first hexadecimal digits of the certificate's fingerprint.

    Returns:
        Summary of the certificate before the revocation.

    Raises:
        KeyFileError: The prefix is too short, or does not match exactly one certificate.
    """
    certificates = list_certificates(root, dt.datetime.now(dt.UTC))
    found = [summary for summary in certificates if summary.fingerprint.startswith(prefix.lower())]
    if len(prefix) < MIN_FINGERPRINT_DIGITS or len(found) != 1:
        advice = f"give at least {MIN_FINGERPRINT_DIGITS} digits of a fingerprint"
        raise KeyFileError(f"{prefix!r} names {len(found)} certificates; {advice}")
    lines = sorted(read_revoked(root) | {found[0].fingerprint})
    _write(root / "revoked", "".join(f"{line}\n" for line in lines).encode())
    return found[0]


def list_certificates(root: Path, now: dt.datetime) -> list[KeySummary]:
    """Return summaries of all certificates, this cluster's own ones first.

    Args:
        root: The directory of keys.
        now: The current time, to find expired certificates.

    Raises:
        KeyFileError: There are no keys, or a file is not a certificate.
    """
    own_name = _own_name(root)
    active = (root / "active").read_text().strip()
    revoked_now = read_revoked(root)
    summaries = []
    for path in sorted((root / "own").glob("*.pem")) + sorted((root / "trusted").glob("*/*.pem")):
        certificate = _read_certificate(path)
        is_own = path.parent.name == "own"
        state = ("active" if path.stem == active else "ready") if is_own else "trusted"
        if certificate.not_valid_after_utc <= now:
            state = "expired"
        if fingerprint(certificate) in revoked_now:
            state = "revoked"
        summary = KeySummary(
            cluster=own_name if is_own else path.parent.name,
            file=str(path.relative_to(root)),
            fingerprint=fingerprint(certificate),
            until=certificate.not_valid_after_utc,
            state=state,
        )
        summaries.append(summary)
    return summaries
