"""Catalogue of the daemon's log events."""

import logging

from skylarkdoor.events import define

PROCESS_READY = define(201, "process_ready", logging.INFO, "The process is ready.")
PROCESS_FAILED = define(
    202, "process_failed", logging.ERROR, "The process stopped because services failed."
)
PROCESS_STOPPED = define(
    203, "process_stopped", logging.INFO, "The process shut down cleanly."
)
DRAIN_STARTED = define(
    204,
    "drain_started",
    logging.INFO,
    "New work is refused; running requests are finished.",
)
DRAIN_ENDED = define(
    205, "drain_ended", logging.INFO, "All running requests have finished."
)
DRAIN_TIMED_OUT = define(
    206,
    "drain_timed_out",
    logging.WARNING,
    "The drain timeout expired; running requests were aborted.",
)
DRAIN_CANCELLED = define(
    207,
    "drain_cancelled",
    logging.INFO,
    "New work is accepted again; no drain is requested.",
)

PROCESS_RELOADED = define(
    208, "process_reloaded", logging.INFO, "The settings file was reloaded."
)
RELOAD_FAILED = define(
    209,
    "reload_failed",
    logging.ERROR,
    "The changed settings file is invalid; it was not applied.",
)
PROCESS_NOT_STARTED = define(
    210,
    "process_not_started",
    logging.ERROR,
    "The process did not start, as its settings are invalid.",
)
PORT_TAKEN = define(
    211,
    "port_taken",
    logging.WARNING,
    "A port cannot be opened yet; the process tries again.",
)
PORT_OPENED = define(
    212,
    "port_opened",
    logging.INFO,
    "A port is open that could not be opened before.",
)
LISTENER_FAILED = define(
    215,
    "listener_failed",
    logging.ERROR,
    "A component failed while it was told of a change.",
)

SETTINGS_APPLIED = define(
    301, "settings_applied", logging.INFO, "A settings revision was applied."
)
SETTINGS_REJECTED = define(
    302,
    "settings_rejected",
    logging.ERROR,
    "A settings row is invalid; it was not applied.",
)
SETTINGS_POLL_FAILED = define(
    303,
    "settings_poll_failed",
    logging.WARNING,
    "The settings in the platform could not be read.",
)
SETTINGS_ACCEPTED = define(
    304, "settings_accepted", logging.INFO, "An operator's change was accepted."
)
SNAPSHOT_FAILED = define(
    305,
    "snapshot_failed",
    logging.WARNING,
    "The settings snapshot could not be written.",
)
SETTINGS_TABLE_OLDER = define(
    306,
    "settings_table_older",
    logging.WARNING,
    "The table seems to be an older copy; all settings are read again.",
)

LIST_POLL_FAILED = define(
    401, "list_poll_failed", logging.WARNING, "The instance list could not be read."
)
PEER_CONNECTED = define(
    402, "peer_connected", logging.INFO, "A stream to a peer was opened."
)
PEER_LOST = define(403, "peer_lost", logging.WARNING, "A stream to a peer was lost.")
REQUEST_REFUSED = define(
    404, "request_refused", logging.INFO, "A request was refused without being run."
)
REQUEST_OUTCOME_UNKNOWN = define(
    405,
    "request_outcome_unknown",
    logging.ERROR,
    "The outcome of a dispatched request is unknown.",
)
REQUEST_FAILED = define(
    406, "request_failed", logging.ERROR, "A request failed inside the entry."
)
ANSWER_CUT = define(
    407, "answer_cut", logging.WARNING, "An answer ended before it was complete."
)

PEER_REFUSED = define(
    420,
    "peer_refused",
    logging.WARNING,
    "A peer was refused because of its certificate.",
)
CERTIFICATE_RENEWED = define(
    421, "certificate_renewed", logging.INFO, "Changed certificates were loaded."
)
CERTIFICATE_REJECTED = define(
    422,
    "certificate_rejected",
    logging.ERROR,
    "Changed certificates could not be loaded; the previous ones stay in use.",
)

GRANT_EXPIRED = define(
    501,
    "grant_expired",
    logging.INFO,
    "A grant expired before the request body arrived.",
)
DISPATCH_REFUSED = define(
    502, "dispatch_refused", logging.INFO, "A dispatched request body was refused."
)
UPSTREAM_FAILED = define(
    503, "upstream_failed", logging.WARNING, "A call to the upstream failed."
)
UPSTREAM_DOWN = define(
    504, "upstream_down", logging.ERROR, "The upstream is unavailable."
)
UPSTREAM_UP = define(
    505, "upstream_up", logging.INFO, "The upstream is available again."
)
TOMBSTONED = define(
    506, "tombstoned", logging.INFO, "A request was blocked from starting here later."
)
CLAIM_ORPHANED = define(
    507,
    "claim_orphaned",
    logging.ERROR,
    "The owner of a claim is unreachable and left no result.",
)
CLAIM_WRITE_FAILED = define(
    508,
    "claim_write_failed",
    logging.WARNING,
    "The result of a claim could not be written yet.",
)
CLAIMS_DOWN = define(
    509,
    "claims_down",
    logging.ERROR,
    "Claims cannot be written; requests with claims are refused.",
)
CLAIMS_UP = define(510, "claims_up", logging.INFO, "Claims can be written again.")
ANSWER_CROSSED = define(
    511, "answer_crossed", logging.ERROR, "An answer carried the id of another request."
)
UPSTREAM_CRASHED = define(
    512,
    "upstream_crashed",
    logging.ERROR,
    "The upstream crashed while it ran requests.",
)
REQUEST_QUARANTINED = define(
    513,
    "request_quarantined",
    logging.ERROR,
    "A request that crashed upstreams twice was quarantined.",
)
SUSPECT_CLEARED = define(
    514, "suspect_cleared", logging.INFO, "A suspect request ran alone without a crash."
)
SUSPECT_WRITE_FAILED = define(
    515,
    "suspect_write_failed",
    logging.WARNING,
    "Suspect requests could not be written yet.",
)
DISPATCH_FAILED = define(
    516, "dispatch_failed", logging.ERROR, "A dispatch failed inside the sidecar."
)

PLANNER_ELECTED = define(
    601, "planner_elected", logging.INFO, "This process became the planner of its pool."
)
PLANNER_DEPOSED = define(
    602,
    "planner_deposed",
    logging.WARNING,
    "Another process took over the lease or the engine.",
)
PLANNER_STORE_FAILED = define(
    603,
    "planner_store_failed",
    logging.WARNING,
    "The pool's rows could not be read or written.",
)
PLANNER_ROW_REJECTED = define(
    604,
    "planner_row_rejected",
    logging.ERROR,
    "A row of the planner could not be decoded.",
)
PLAN_WRITTEN = define(605, "plan_written", logging.INFO, "A new plan was written.")
PLAN_STALE = define(606, "plan_stale", logging.INFO, "A plan is too old to act on.")
ORDER_SENT = define(607, "order_sent", logging.INFO, "An order was sent to the engine.")
ORDER_FENCED = define(
    608,
    "order_fenced",
    logging.WARNING,
    "The engine refused an order with an old fencing number.",
)
ORDER_UNANSWERED = define(
    609,
    "order_unanswered",
    logging.WARNING,
    "The engine did not answer a state read or an order.",
)

FLEET_CONFIG_APPLIED = define(
    701, "fleet_config_applied", logging.INFO, "A configuration was applied."
)
ROW_REJECTED = define(
    702, "row_rejected", logging.ERROR, "A row of the store could not be decoded."
)
UPSTREAM_CHANGED = define(
    703,
    "upstream_changed",
    logging.INFO,
    "An upstream's record in the registry changed.",
)
STORE_LOST = define(704, "store_lost", logging.WARNING, "The store is unavailable.")
STORE_REGAINED = define(
    705, "store_regained", logging.INFO, "The store is available again."
)
UPSTREAM_PAUSED = define(
    706, "upstream_paused", logging.WARNING, "An upstream failed and is paused."
)
UPSTREAM_REGAINED = define(
    707, "upstream_regained", logging.INFO, "A paused upstream answered again."
)
REQUEST_STEP = define(
    708, "request_step", logging.INFO, "A request passed a processing step."
)
REQUEST_SUSPECTED = define(
    709,
    "request_suspected",
    logging.WARNING,
    "An upstream crashed while it ran a request.",
)
REQUEST_GIVEN_UP = define(
    710,
    "request_given_up",
    logging.WARNING,
    "The entry answered a request with an error of its own.",
)
REQUEST_QUEUED = define(
    711,
    "request_queued",
    logging.INFO,
    "A request was queued because no slot was free.",
)
REPORTS_LOST = define(
    712,
    "engine_reports_lost",
    logging.WARNING,
    "The engine stopped reporting its load.",
)
REPORTS_REGAINED = define(
    713, "engine_reports_regained", logging.INFO, "The engine reports its load again."
)
SLOTS_CORRECTED = define(
    714,
    "places_corrected",
    logging.INFO,
    "The count of used slots was corrected from engine reports.",
)
LIMITS_RESTORED = define(
    715,
    "limits_restored",
    logging.INFO,
    "Recorded use of limits was restored at start.",
)
CRASH_CHECKED = define(
    716,
    "crash_checked",
    logging.INFO,
    "An upstream that lost an answer was checked for a crash.",
)
RETRY_DECIDED = define(
    717,
    "retry_decided",
    logging.INFO,
    "The retry budget allowed or refused a retry.",
)
REQUEST_CLEARED = define(
    718,
    "request_cleared",
    logging.INFO,
    "A suspected request was answered; its crashes no longer count.",
)
STORE_ERA_CHANGED = define(
    719,
    "store_era_changed",
    logging.WARNING,
    "The store came back from an older copy; its tables are read again.",
)
STORE_ERA_REJECTED = define(
    720,
    "store_era_rejected",
    logging.WARNING,
    "A response of the store states no era or an earlier one.",
)
UPSTREAM_LIMIT_CHANGED = define(
    721,
    "upstream_limit_changed",
    logging.WARNING,
    "An upstream named, changed or ended a limit on its requests.",
)
UPSTREAM_LIMIT_REJECTED = define(
    722,
    "upstream_limit_rejected",
    logging.WARNING,
    "An upstream named a limit that can't be read.",
)
PART_QUARANTINED = define(
    723,
    "part_quarantined",
    logging.ERROR,
    "A part of prompts crashes upstreams; requests with it are refused.",
)
STREAM_VERSION_FOUND = define(
    725,
    "stream_version_found",
    logging.INFO,
    "A caller takes a stream up again; its version was looked up.",
)
VERSION_HISTORY_TAKEN = define(
    728,
    "version_history_taken",
    logging.INFO,
    "An entry took over which versions services have had.",
)
UPSTREAM_LEAVING = define(
    726,
    "upstream_leaving",
    logging.INFO,
    "An upstream states in an answer that it leaves; it gets no more requests.",
)
UPSTREAM_WANTS_NONE = define(
    727,
    "upstream_wants_none",
    logging.WARNING,
    "An upstream states in an answer that it wants no requests for a time.",
)
PART_RELEASED = define(
    724,
    "part_released",
    logging.INFO,
    "Requests with a part of prompts are sent again.",
)
RETRY_SENT = define(
    729,
    "retry_sent",
    logging.INFO,
    "A retry that the budget allowed is sent to an upstream.",
)
RETRIES_COUNTED = define(
    730,
    "retries_counted",
    logging.INFO,
    "Requests and retries of a service were counted for a second.",
)
UPSTREAM_RESTARTED = define(
    731,
    "upstream_restarted",
    logging.WARNING,
    "A guard reports a later start of its upstream than the registry lists.",
)
REQUEST_MAY_LEAVE = define(
    739,
    "request_may_leave",
    logging.INFO,
    "A request that waited is offered to an upstream in another data centre.",
)
TIER_STARVED = define(
    740,
    "tier_starved",
    logging.WARNING,
    "A tier is served too rarely; some of its requests are promoted.",
)
CUSTOMER_HELD = define(
    741,
    "customer_held",
    logging.INFO,
    "A customer got fewer slots than it asked for.",
)
CUSTOMER_RELEASED = define(
    742,
    "customer_released",
    logging.INFO,
    "A customer gets the slots that it asks for again.",
)
WEIGHT_REJECTED = define(
    743,
    "weight_rejected",
    logging.WARNING,
    "An offer states a weight that can't be used.",
)
ENGINE_MEMORY_FULL = define(
    744,
    "engine_memory_full",
    logging.INFO,
    "Requests wait for the engine's memory although slots are free.",
)
ENGINE_MEMORY_FREE = define(
    745,
    "engine_memory_free",
    logging.INFO,
    "Requests no longer wait for the engine's memory.",
)
MEMORY_FULL = define(
    770,
    "memory_full",
    logging.WARNING,
    "The entry holds too many bytes for callers and upstreams, and is not ready.",
)
MEMORY_FREED = define(
    771,
    "memory_freed",
    logging.INFO,
    "The entry holds few bytes again, and is ready.",
)
CALLER_STALLED = define(
    772,
    "caller_stalled",
    logging.INFO,
    "A caller read nothing for its route's timeout; its connection was closed.",
)
CALLER_CLOSED = define(
    773,
    "caller_closed",
    logging.INFO,
    "The connection of a caller was closed for a limit.",
)
ROLLOUT_ORDERED = define(
    750, "rollout_ordered", logging.INFO, "An order of a roll-out was read."
)
ROLLOUT_DECIDED = define(
    751, "rollout_decided", logging.INFO, "A roll-out entered a phase."
)
ROLLOUT_COORDINATED = define(
    752,
    "rollout_coordinated",
    logging.INFO,
    "This entry took over the coordination of a roll-out.",
)
ROLLOUT_STOPPED = define(
    753,
    "rollout_stopped",
    logging.WARNING,
    "The answers of a new version are bad; this entry sends it nothing more.",
)
ROLLOUT_STATUS_WRITTEN = define(
    754,
    "rollout_status_written",
    logging.INFO,
    "The status of a roll-out was written to the store.",
)
ROLLOUT_CONFLICT = define(
    755,
    "rollout_conflict",
    logging.ERROR,
    "The store states another end of a roll-out than was decided.",
)
ROLLOUT_WRITE_SLOW = define(
    756,
    "rollout_write_slow",
    logging.WARNING,
    "The store took long to write the row of a roll-out; decisions wait for it.",
)

CONFIG_BEHIND = define(
    780,
    "config_behind",
    logging.WARNING,
    "Another entry has a newer configuration than this one.",
)
CONFIG_CAUGHT_UP = define(
    781,
    "config_caught_up",
    logging.INFO,
    "The newest configuration of which this entry has heard is in force.",
)
CONFIG_STALE = define(
    782,
    "config_stale",
    logging.WARNING,
    "The store has not vouched for the configuration for some time.",
)
CONFIG_CONFIRMED = define(
    783,
    "config_confirmed",
    logging.INFO,
    "The store has vouched for the configuration again.",
)
CONFIG_REJECTED = define(
    784,
    "config_rejected",
    logging.ERROR,
    "A version of the configuration could not be decoded and is not in force.",
)
CONFIG_PART_REJECTED = define(
    785,
    "config_part_rejected",
    logging.ERROR,
    "Parts of the configuration in force could not be read.",
)
LOOP_STALLED = define(
    786, "loop_stalled", logging.WARNING, "The event loop did not run for some time."
)
