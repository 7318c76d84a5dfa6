"""Judges by which version of the configuration entries handle requests."""

import enum
from dataclasses import dataclass
from typing import NamedTuple

# Time after its acknowledgement at which a version has to be in force.
APPLY_S = 3.0
# Time without impairment after which an entry is in touch and the store is stable.
CONTACT_S = 4.0
# Additional time while the store is unstable.
SKEW_S = 6.0
# Time after which a version that an entry has used excludes older ones, and its factor
# for a slowed entry.
ROLLBACK_SLACK_S = 0.25
SLOWED_FACTOR = 8
# Age of the impairments that are listed with a violation.
LISTED_S = 20.0


class Kind(enum.Enum):
    """What an impairment does to the bounds.

    Attributes:
        ENTRY: An entry is out of touch: its process or its links are impaired.
        UNSTABLE: The store is unstable for some entries, which stretches the bound.
        DOWN: The store is down for all, so there is no bound.
    """

    ENTRY = "entry"
    UNSTABLE = "unstable"
    DOWN = "down"


@dataclass
class Impairment:
    """An impairment; without an end, it lasts.

    Attributes:
        kind: What it does to the bounds.
        text: What it is.
        entries: Names of the entries that it concerns.
        start: Time at which it began, in seconds.
        end: Time at which it ended, in seconds.
    """

    kind: Kind
    text: str
    entries: frozenset
    start: float
    end: float = float("inf")

    def __str__(self):
        """Return the text and the times."""
        return f"{self.text} from {self.start:.1f} to {self.end:.1f}"


class Run(NamedTuple):
    """A request that ran at a server.

    Attributes:
        entry: Name of the entry that sent it there.
        version: Version of the configuration by which it was handled.
        sent_at: Time at which the caller sent it, in seconds.
        ran_at: Time at which the server got it, in seconds.
    """

    entry: str
    version: int
    sent_at: float
    ran_at: float


@dataclass
class Violation:
    """Requests of one entry that broke a rule in the same way.

    Attributes:
        text: The rule, the versions and what impaired the entry.
        since: Time of the first, in seconds.
        until: Time of the last, in seconds.
        required: Oldest version that was allowed for the last.
        count: Number of requests.
    """

    text: str
    since: float
    until: float
    required: int = 0
    count: int = 0

    def __str__(self):
        """Return the violation on one line."""
        return (
            f"{self.since:.1f} to {self.until:.1f} s, {self.count} times, at least"
            f" version {self.required} required: {self.text}"
        )


class ConfigRules:
    """Judges the requests that ran.

    Attributes:
        acknowledged: Time at which the store acknowledged each version, in seconds.
        impairments: All impairments.
        newest: For each entry, the newest version that its process has used, and since
            when.
        blind_s: Times from the end of a fault until its entries used the version that
            was the newest then, in seconds.
        violations: Violations by entry, rule and version.
    """

    def __init__(self):
        self.acknowledged = {}
        self.impairments = []
        self.newest = {}
        self.waiting = {}
        self.blind_s = []
        self.violations = {}

    def start_process(self, entry):
        """Note that an entry's process starts."""
        self.newest.pop(entry, None)

    def heal(self, entries, now):
        """Measure how long entries keep older versions after a fault."""
        for entry in entries:
            self.waiting[entry] = (max(self.acknowledged), now)

    def overlapping(self, entry, since, until):
        """Return the impairments of an entry within a time."""
        return [
            impairment
            for impairment in self.impairments
            if impairment.start <= until
            and impairment.end >= since
            and (impairment.kind is not Kind.ENTRY or entry in impairment.entries)
        ]

    def bound_s(self, entry, at):
        """Return the bound that binds an entry at a time; None for none."""
        kinds = {one.kind for one in self.overlapping(entry, at - CONTACT_S, at)}
        if Kind.ENTRY in kinds or Kind.DOWN in kinds:
            return None
        return APPLY_S + SKEW_S if Kind.UNSTABLE in kinds else APPLY_S

    def judge(self, run):
        """Judge one run."""
        required = self.required(run.entry, run.sent_at)
        if run.version < required:
            self.violate(run, f"version {run.version} after its replacement", required)
        version, since = self.newest.get(run.entry, (0, 0.0))
        slowed = self.overlapping(run.entry, run.sent_at - CONTACT_S, run.ran_at)
        slack_s = ROLLBACK_SLACK_S * (SLOWED_FACTOR if slowed else 1)
        if run.version > version:
            self.newest[run.entry] = (run.version, run.ran_at)
        elif run.version < version and run.sent_at > since + slack_s:
            self.violate(run, f"version {run.version} after a newer one", version)
        target, healed_at = self.waiting.get(run.entry, (0, 0.0))
        if target and run.version >= target:
            self.blind_s.append((run.ran_at - healed_at, run.entry))
            del self.waiting[run.entry]

    def judge_refusal(self, entry, status, sent_at):
        """Judge an answer of an entry's own that denies the route."""
        if self.bound_s(entry, sent_at) is not None:
            run = Run(entry, 0, sent_at, sent_at)
            self.violate(run, f"status {status}", self.required(entry, sent_at))

    def required(self, entry, at):
        """Return the oldest version by which an entry may handle a request."""
        bound_s = self.bound_s(entry, at)
        if bound_s is None:
            return 0
        bound = [
            version
            for version, acknowledged_at in self.acknowledged.items()
            if acknowledged_at + bound_s < at
        ]
        return max(bound, default=0)

    def violate(self, run, text, required):
        """Record a violation; `required` is the oldest version that was allowed."""
        violation = self.violations.get((run.entry, text))
        if violation is None:
            causes = self.overlapping(run.entry, run.sent_at - LISTED_S, run.ran_at)
            listed = "; ".join(str(cause) for cause in causes)
            self.violations[run.entry, text] = violation = Violation(
                f"{run.entry} {text} ({listed})", run.sent_at, run.sent_at
            )
        violation.required = required
        violation.until = run.sent_at
        violation.count += 1
