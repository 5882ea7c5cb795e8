"""A cluster's own keys and certificates, made and rotated by its operators; needs the library `cryptography`.

A directory of keys holds

    cluster           the cluster's name
    own/0001.key      a generation's private key, and
    own/0001.pem      its certificate, signed by itself; this one the other clusters are given
    active            the generation that is shown to others
    trusted/NAME/*.pem  certificates of the cluster NAME that are believed
    revoked           fingerprints that are not believed any more, one a line

There is no authority: each cluster believes exactly the certificates that its operators were given by the others'.
Several may be believed at a time, so that a new generation is handed out before it is used and the old one stays
good meanwhile. Controllers see changes by themselves (`ring`).
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

from .keyring import revoked

#: a certificate is good from so long before it was made: clocks of other clusters may be behind
BEFORE = dt.timedelta(hours=1)


class KeyFileError(ValueError):
    """One line that names the file or name at fault."""


@dataclass(frozen=True)
class KeySummary:
    """One certificate, as it is listed."""

    cluster: str
    file: str
    fingerprint: str
    until: dt.datetime
    #: "active", "ready", "trusted", "revoked" or "expired"
    state: str


def check_name(name: str) -> str:
    """Return a cluster's name; raise `KeyFileError` if it cannot be one."""
    if not name or len(name) > 60 or not all(c.isalnum() or c in "-_." for c in name) or name.startswith("."):
        raise KeyFileError(f"not a cluster's name: {name!r} (letters, digits, '-', '_' and '.')")
    return name


def fingerprint(cert: x509.Certificate) -> str:
    """The SHA-256 of a certificate, in hexadecimal digits."""
    return cert.fingerprint(hashes.SHA256()).hex()


def _write(path: Path, data: bytes, mode: int = 0o644) -> None:
    """Whole or not at all: a controller may read at any moment."""
    path.parent.mkdir(parents=True, exist_ok=True)
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=".new-")
    try:
        with os.fdopen(handle, "wb") as f:
            f.write(data)
        os.chmod(name, mode)
        os.replace(name, path)
    except BaseException:
        Path(name).unlink(missing_ok=True)
        raise


def _read(path: Path) -> x509.Certificate:
    try:
        return x509.load_pem_x509_certificate(path.read_bytes())
    except (OSError, ValueError) as e:
        raise KeyFileError(f"{path}: not a certificate: {e}") from e


def _generation(root: Path, name: str, days: float, now: dt.datetime) -> Path:
    """Makes the next generation of a cluster's key and certificate; nothing uses it yet."""
    present = sorted((root / "own").glob("[0-9][0-9][0-9][0-9].pem"))
    number = int(present[-1].stem) + 1 if present else 1
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    cert = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - BEFORE)
        .not_valid_after(now + dt.timedelta(days=days))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        # tells the generations apart, which have one name
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(key.public_key()), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    private = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    own = root / "own"
    _write(own / f"{number:04d}.key", private, 0o600)
    _write(own / f"{number:04d}.pem", cert.public_bytes(serialization.Encoding.PEM))
    return own / f"{number:04d}.pem"


def _name(root: Path) -> str:
    try:
        return check_name((root / "cluster").read_text().strip())
    except OSError as e:
        raise KeyFileError(f"{root}: no keys here; make them with 'keys create' ({e.strerror})") from e


def create(root: Path, name: str, days: float, now: dt.datetime) -> Path:
    """The first generation, in use at once; the path of the certificate that the others are given."""
    check_name(name)
    if (root / "cluster").exists():
        raise KeyFileError(f"{root}: there are keys already; 'keys rotate' makes the next ones")
    made = _generation(root, name, days, now)
    _write(root / "cluster", name.encode() + b"\n")
    _write(root / "active", made.stem.encode() + b"\n")
    return made


def rotate(root: Path, days: float, now: dt.datetime) -> Path:
    """The next generation, to be handed out while the present one is still in use."""
    return _generation(root, _name(root), days, now)


def activate(root: Path, number: str | None = None) -> str:
    """Uses a generation, the newest by default, from now on; the others must believe it by now."""
    _name(root)
    present = sorted(p.stem for p in (root / "own").glob("[0-9][0-9][0-9][0-9].pem"))
    chosen = number or (present[-1] if present else "")
    if chosen not in present or not (root / "own" / f"{chosen}.key").exists():
        raise KeyFileError(f"{root}: no generation {chosen!r} (there are: {', '.join(present) or 'none'})")
    _write(root / "active", chosen.encode() + b"\n")
    return chosen


def trust(root: Path, file: Path) -> Path:
    """Believes another cluster's certificate, beside those that are believed already."""
    own = _name(root)
    cert = _read(file)
    names = cert.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    name = check_name(str(names[0].value)) if names else ""
    if not name or name == own:
        raise KeyFileError(f"{file}: {'names no cluster' if not name else 'is of this cluster itself'}")
    path = root / "trusted" / name / f"{fingerprint(cert)[:16]}.pem"
    _write(path, cert.public_bytes(serialization.Encoding.PEM))
    return path


def revoke(root: Path, prefix: str) -> KeySummary:
    """Believes a certificate no more, from the next connection on; named by the beginning of its fingerprint."""
    found = [s for s in show(root, dt.datetime.now(dt.UTC)) if s.fingerprint.startswith(prefix.lower())]
    if len(prefix) < 8 or len(found) != 1:
        raise KeyFileError(f"{prefix!r} names {len(found)} certificates; give at least 8 digits of a fingerprint")
    lines = sorted(revoked(root) | {found[0].fingerprint})
    _write(root / "revoked", "".join(f"{line}\n" for line in lines).encode())
    return found[0]


def show(root: Path, now: dt.datetime) -> list[KeySummary]:
    """All certificates there are, own ones first."""
    name = _name(root)
    active = (root / "active").read_text().strip()
    gone = revoked(root)
    found = []
    for path in sorted((root / "own").glob("*.pem")) + sorted((root / "trusted").glob("*/*.pem")):
        cert = _read(path)
        mine = path.parent.name == "own"
        state = ("active" if path.stem == active else "ready") if mine else "trusted"
        if cert.not_valid_after_utc <= now:
            state = "expired"
        if fingerprint(cert) in gone:
            state = "revoked"
        owner = name if mine else path.parent.name
        found.append(KeySummary(owner, str(path.relative_to(root)), fingerprint(cert), cert.not_valid_after_utc, state))
    return found
