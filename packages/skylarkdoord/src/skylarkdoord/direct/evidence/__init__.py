"""Evidence against requests and parts of prompts that crash upstreams.

`Crashes` gathers what this entry sees and what the others report, and tells what is
quarantined. `SuspectRecords` keeps the evidence in the store.
"""

from skylarkdoord.direct.evidence._crashes import Crashes
from skylarkdoord.direct.evidence._suspect_keys import (
    SharedPart,
    fingerprint_of,
    shared_parts,
)
from skylarkdoord.direct.evidence._suspect_records import SuspectRecords

__all__ = ["Crashes", "SharedPart", "SuspectRecords", "fingerprint_of", "shared_parts"]
