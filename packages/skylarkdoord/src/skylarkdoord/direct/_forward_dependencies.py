"""Components that forwarding depends on."""

from typing import NamedTuple

from skylarkdoord._drain import Drain
from skylarkdoord._retry_limiter import RetryLimiter
from skylarkdoord.direct._adapter import Adapter
from skylarkdoord.direct._call import UpstreamClient
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._scheduler import Scheduler
from skylarkdoord.direct._upstreams import Upstreams
from skylarkdoord.direct.evidence import Crashes
from skylarkdoord.direct.rollout_services import RolloutAttempts
from skylarkdoord.direct.streams import StreamVersions


class ForwarderDependencies(NamedTuple):
    """Components that forwarding depends on.

    Attributes:
        adapter: Translates the platform's protocols.
        client: Sends requests to upstreams.
        scheduler: Assigns requests to slots at upstreams.
        upstreams: Health and latency of the upstreams.
        retry_limiter: Limits retries.
        quota: Enforces the customers' rate limits.
        crashes: Detects requests that crash upstreams.
        streams: Versions of the software that began resumable streams.
        drain: Says, while the entry stops, which requests can still be served.
        rollouts: Says to which versions of the software requests are sent.
    """

    adapter: Adapter
    client: UpstreamClient
    scheduler: Scheduler
    upstreams: Upstreams
    retry_limiter: RetryLimiter
    quota: Quota
    crashes: Crashes
    streams: StreamVersions
    drain: Drain
    rollouts: RolloutAttempts = RolloutAttempts()
