"""Fixtures for certificates and for captured log events."""

import logging
from pathlib import Path

import pytest
import trustme

from skylarkdoor.settings import CertificateFiles, MutualTls


class Authority:
    """Certificate authority that writes certificates to files.

    Args:
        directory: Directory of the files.
        name: Prefix of the file names.
    """

    def __init__(self, directory: Path, name: str):
        self.directory = directory
        self.name = name
        self.ca = trustme.CA()
        self.path = directory / f"{name}-authority.pem"
        self.ca.cert_pem.write_to_path(str(self.path))

    def issue(self, *names: str) -> MutualTls:
        """Issue a new certificate for the names, and return its files."""
        issued = self.ca.issue_cert(*names)
        stem = f"{self.name}-{names[0]}"
        certificate = self.directory / f"{stem}.pem"
        key = self.directory / f"{stem}-key.pem"
        chain = b"".join(blob.bytes() for blob in issued.cert_chain_pems)
        certificate.write_bytes(chain)
        issued.private_key_pem.write_to_path(str(key))
        return MutualTls(str(certificate), str(key), str(self.path))

    def issue_for_callers(self, *names: str) -> CertificateFiles:
        """Issue a new certificate for the callers' listener, and return its files."""
        files = self.issue(*names)
        return CertificateFiles(files.certificate, files.key)


@pytest.fixture
def authority(tmp_path):
    """Return the deployment's certificate authority."""
    return Authority(tmp_path, "own")


@pytest.fixture
def other_authority(tmp_path):
    """Return a certificate authority that the deployment does not trust."""
    return Authority(tmp_path, "other")


class _RecordingHandler(logging.Handler):
    """Log handler that records events."""

    def __init__(self):
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Append a log record."""
        self.records.append(record)

    def names(self) -> list[str]:
        """Return the names of the recorded events."""
        return [getattr(record, "event_name", "") for record in self.records]


@pytest.fixture
def logged():
    """Return a handler that records the events logged during a test."""
    handler = _RecordingHandler()
    root = logging.getLogger("skylarkdoor")
    level = root.level
    root.addHandler(handler)
    root.setLevel(logging.DEBUG)
    yield handler
    root.removeHandler(handler)
    root.setLevel(level)
