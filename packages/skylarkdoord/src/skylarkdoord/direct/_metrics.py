"""Metrics of direct entries and guards."""

from prometheus_client import Counter, Gauge, Histogram

SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0)

REQUESTS = Counter(
    "skylarkdoor_direct_requests_total",
    "Requests answered, by tier and outcome.",
    ["tier", "outcome"],
)
DURATION = Histogram(
    "skylarkdoor_direct_request_seconds",
    "Time from the receipt of a request to the end of its response.",
    ["tier"],
    buckets=SECONDS,
)
QUEUE_TIME = Histogram(
    "skylarkdoor_direct_queue_seconds",
    "Time that a request waited for a slot.",
    ["tier"],
    buckets=SECONDS,
)
QUEUE_ENDS = Counter(
    "skylarkdoor_direct_queue_ends_total",
    "Requests that stopped waiting for a slot, by tier, length of answer and outcome.",
    ["tier", "length", "outcome"],
)
FIRST_EVENT = Histogram(
    "skylarkdoor_direct_first_event_seconds",
    "Time from the call of an upstream to the first event of its stream.",
    ["tier"],
    buckets=SECONDS,
)
CALLS = Counter(
    "skylarkdoor_direct_calls_total",
    "Calls of upstreams, by result.",
    ["service", "result"],
)
REPEATS = Counter(
    "skylarkdoor_direct_repeats_total",
    "Repeats that the retry budget allowed or refused.",
    ["service", "allowed"],
)
RETRIES_SENT = Counter(
    "skylarkdoor_direct_retries_sent_total",
    "Retries that the budget allowed and that were sent to an upstream.",
    ["service"],
)
RETRIES_WAITING = Gauge(
    "skylarkdoor_direct_retries_waiting",
    "Retries that the budget allowed and that wait for a slot.",
    ["service"],
)
UPSTREAM_LIMITS = Counter(
    "skylarkdoor_direct_upstream_limits_total",
    "Limits of upstreams that came into force or ended, by kind of change.",
    ["change"],
)
QUARANTINED_PARTS = Gauge(
    "skylarkdoor_direct_quarantined_parts",
    "Parts of prompts of which no request is sent, as they crash upstreams.",
)
LEFT = Counter(
    "skylarkdoor_direct_left_total",
    "Requests that were offered to another data centre, by data centre.",
    ["data_centre"],
)
HELD_BYTES = Gauge(
    "skylarkdoor_direct_held_bytes",
    "Bytes of requests and of unsent answers that this entry holds.",
)
MEMORY_REFUSALS = Counter(
    "skylarkdoor_direct_memory_refusals_total",
    "Requests refused because this entry holds too many bytes.",
)
RUNNING = Gauge(
    "skylarkdoor_direct_running",
    "Requests of this entry that are running at upstreams.",
    ["service"],
)
WAITING = Gauge(
    "skylarkdoor_direct_waiting", "Requests that wait for a slot.", ["service"]
)
HELD_CUSTOMERS = Gauge(
    "skylarkdoor_direct_held_customers",
    "Customers that got fewer slots than they asked for within 5 s.",
    ["service", "tier"],
)
PROMOTED = Counter(
    "skylarkdoor_direct_promoted_total",
    "Requests of a starved tier that were queued as ones of the most important tier.",
    ["service", "tier"],
)
LIMIT_USED = Gauge(
    "skylarkdoor_direct_limit_used_units",
    "Units that a customer used within the window, over all entries.",
    ["customer"],
)
STORE_ERA = Gauge(
    "skylarkdoor_direct_store_era",
    "Number of times that the store came back from an older copy.",
)
ROLLOUT_PHASE = Gauge(
    "skylarkdoor_direct_rollout_phase",
    "Phase of the latest roll-out: 1 trial, 2 handover, 3 completed, 4 reverted.",
    ["service"],
)
ROLLOUT_REQUESTS = Counter(
    "skylarkdoor_direct_rollout_requests_total",
    "Requests sent since the order of a roll-out, to its version or others.",
    ["service", "version"],
)
CONFIG_VERSION = Gauge(
    "skylarkdoor_direct_config_version", "Version of the configuration in force."
)
CONFIG_REJECTED = Gauge(
    "skylarkdoor_direct_config_rejected",
    "Whether a newer configuration than the one in force can't be decoded.",
)
CONFIG_UNREAD_PARTS = Gauge(
    "skylarkdoor_direct_config_unread_parts",
    "Parts of the configuration in force that could not be read.",
)
CONFIG_NEWEST_VERSION = Gauge(
    "skylarkdoor_direct_config_newest_version",
    "Newest version of the configuration of which the entry has heard.",
)
CONFIG_BEHIND = Gauge(
    "skylarkdoor_direct_config_behind_seconds",
    "Time for which the entry has known of a newer configuration than it has in force.",
)
CONFIG_AGE = Gauge(
    "skylarkdoor_direct_config_age_seconds",
    "Time since the store stated, to this or another entry, that it is the newest.",
)
STORE_CALLS = Counter(
    "skylarkdoor_direct_store_calls_total",
    "Calls of the store, by table and result.",
    ["table", "result"],
)
STORE_ANSWERED = Gauge(
    "skylarkdoor_direct_store_answered_timestamp_seconds",
    "Unix time of the store's latest answer to the watch of a table.",
    ["table"],
)
HISTORY_COMPLETE = Gauge(
    "skylarkdoor_direct_version_history_complete",
    "Whether the versions of all services since the first start are known.",
)
STREAMS_RESUMED = Counter(
    "skylarkdoor_direct_streams_resumed_total",
    "Streams that callers took up again, by what told the version.",
    ["source"],
)
ENTRIES = Gauge("skylarkdoor_direct_entries", "Live entries, including this one.")
PEER_STREAMS = Gauge(
    "skylarkdoor_direct_peer_streams", "Open streams to other entries."
)
GUARD_SLOTS = Gauge("skylarkdoor_guard_places", "Slots of the guarded upstream.")
GUARD_OCCUPIED_SLOTS = Gauge(
    "skylarkdoor_guard_held_places", "Slots occupied by requests."
)
GUARD_RESERVED_TOKENS = Gauge(
    "skylarkdoor_guard_reserved_tokens",
    "Tokens of the engine's memory that are reserved for requests with slots.",
)
GUARD_MEMORY_TOKENS = Gauge(
    "skylarkdoor_guard_memory_tokens",
    "Tokens that the engine holds; 0 if unknown.",
)
GUARD_ANSWER_SPEED = Gauge(
    "skylarkdoor_guard_answer_tokens_per_second",
    "Tokens of one answer that the engine produces per second; 0 if unknown.",
)
GUARD_WAITING = Gauge("skylarkdoor_guard_waiting", "Requests that wait at the guard.")
GUARD_STREAMS = Gauge(
    "skylarkdoor_guard_streams", "Streams of which the guard keeps the version."
)
