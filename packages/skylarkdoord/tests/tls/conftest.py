"""Certificates for tests, and records of what was logged."""

import logging
from pathlib import Path

import pytest
import trustme

from skylarkdoor.settings import CertificateFiles, MutualTls


class Authority:
    """An authority that writes certificates to files.

    Args:
        directory: Where the files go.
        name: Part of the files' names.
    """

    def __init__(self, directory: Path, name: str):
        self.directory = directory
        self.name = name
        self.ca = trustme.CA()
        self.path = directory / f"{name}-authority.pem"
        self.ca.cert_pem.write_to_path(str(self.path))

    def issue(self, *names: str) -> MutualTls:
        """Return the files of a certificate for the names, written anew."""
        issued = self.ca.issue_cert(*names)
        stem = f"{self.name}-{names[0]}"
        certificate = self.directory / f"{stem}.pem"
        key = self.directory / f"{stem}-key.pem"
        chain = b"".join(blob.bytes() for blob in issued.cert_chain_pems)
        certificate.write_bytes(chain)
        issued.private_key_pem.write_to_path(str(key))
        return MutualTls(str(certificate), str(key), str(self.path))

    def issue_for_callers(self, *names: str) -> CertificateFiles:
        """Return the files of a certificate that callers see."""
        files = self.issue(*names)
        return CertificateFiles(files.certificate, files.key)


@pytest.fixture
def authority(tmp_path):
    """Return the deployment's authority."""
    return Authority(tmp_path, "own")


@pytest.fixture
def stranger(tmp_path):
    """Return an authority that the deployment does not trust."""
    return Authority(tmp_path, "stranger")


class _Keeper(logging.Handler):
    """Keeps the events logged."""

    def __init__(self):
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        self.records.append(record)

    def names(self) -> list[str]:
        """Return the names of the events logged."""
        return [getattr(record, "event_name", "") for record in self.records]


@pytest.fixture
def logged():
    """Return the events that the product logs in a test."""
    keeper = _Keeper()
    root = logging.getLogger("skylarkdoor")
    level = root.level
    root.addHandler(keeper)
    root.setLevel(logging.DEBUG)
    yield keeper
    root.removeHandler(keeper)
    root.setLevel(level)
