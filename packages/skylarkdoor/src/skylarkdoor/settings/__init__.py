"""Settings: JSON with comments, validated and converted to typed records."""

from skylarkdoor.settings._check import check_api_keys, check_shared
from skylarkdoor.settings._convert import convert, to_plain
from skylarkdoor.settings._process import (
    CertificateFiles,
    Limits,
    Listen,
    MutualTls,
    PlatformAddresses,
    ProcessSettings,
    Upstream,
    load_process,
)
from skylarkdoor.settings._read import Document, read_document, read_file, read_text
from skylarkdoor.settings._shared import (
    FLEET_PATH,
    TEAMS_PATH,
    Customer,
    Fleet,
    Operator,
    PolicyName,
    Pool,
    Route,
    Team,
    Tier,
    check_document,
    team_path,
)
from skylarkdoor.settings._view import ResolvedCustomer, SettingsView, Subtree

__all__ = [
    "FLEET_PATH",
    "TEAMS_PATH",
    "CertificateFiles",
    "Customer",
    "Document",
    "Fleet",
    "Limits",
    "Listen",
    "MutualTls",
    "Operator",
    "PlatformAddresses",
    "PolicyName",
    "Pool",
    "ProcessSettings",
    "ResolvedCustomer",
    "Route",
    "SettingsView",
    "Subtree",
    "Team",
    "Tier",
    "Upstream",
    "check_api_keys",
    "check_document",
    "check_shared",
    "convert",
    "load_process",
    "read_document",
    "read_file",
    "read_text",
    "team_path",
    "to_plain",
]
