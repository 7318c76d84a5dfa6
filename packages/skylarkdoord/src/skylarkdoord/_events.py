"""Events of the daemon."""

import logging

from skylarkdoor.events import define

PROCESS_READY = define(201, "process_ready", logging.INFO, "The process is ready.")
PROCESS_FAILED = define(
    202, "process_failed", logging.ERROR, "The process stopped after failures."
)
PROCESS_STOPPED = define(
    203, "process_stopped", logging.INFO, "The process stopped in order."
)
DRAIN_STARTED = define(
    204, "drain_started", logging.INFO, "No new work is taken; what runs is finished."
)
DRAIN_ENDED = define(205, "drain_ended", logging.INFO, "Nothing runs any more.")
DRAIN_TIMED_OUT = define(
    206, "drain_timed_out", logging.WARNING, "The drain timeout ended running requests."
)
DRAIN_CANCELLED = define(
    207, "drain_cancelled", logging.INFO, "Work is taken again; nobody asks to leave."
)

PROCESS_RELOADED = define(
    208, "process_reloaded", logging.INFO, "The settings file was read again."
)
RELOAD_FAILED = define(
    209, "reload_failed", logging.ERROR, "Changed settings could not be used."
)

SETTINGS_APPLIED = define(
    301, "settings_applied", logging.INFO, "A settings revision came into force."
)
SETTINGS_REJECTED = define(
    302, "settings_rejected", logging.ERROR, "A settings row could not be used."
)
SETTINGS_POLL_FAILED = define(
    303, "settings_poll_failed", logging.WARNING, "The table could not be read."
)
SETTINGS_ACCEPTED = define(
    304, "settings_accepted", logging.INFO, "An operator's change was accepted."
)
SNAPSHOT_FAILED = define(
    305, "snapshot_failed", logging.WARNING, "The settings snapshot was not written."
)

LIST_POLL_FAILED = define(
    401, "list_poll_failed", logging.WARNING, "The instance list could not be read."
)
PEER_CONNECTED = define(402, "peer_connected", logging.INFO, "A stream opened.")
PEER_LOST = define(403, "peer_lost", logging.WARNING, "A stream ended.")
REQUEST_REFUSED = define(
    404, "request_refused", logging.INFO, "A request was answered as not run."
)
REQUEST_OUTCOME_UNKNOWN = define(
    405,
    "request_outcome_unknown",
    logging.ERROR,
    "A dispatched request's outcome could not be learned.",
)
REQUEST_FAILED = define(
    406, "request_failed", logging.ERROR, "A request failed inside the entry."
)
ANSWER_CUT = define(
    407, "answer_cut", logging.WARNING, "An answer ended before it was whole."
)

PEER_REFUSED = define(
    420, "peer_refused", logging.WARNING, "A peer was refused for its certificate."
)
CERTIFICATE_RENEWED = define(
    421, "certificate_renewed", logging.INFO, "Changed certificates came into use."
)
CERTIFICATE_REJECTED = define(
    422,
    "certificate_rejected",
    logging.ERROR,
    "Changed certificates could not be loaded; the former ones stay in use.",
)

GRANT_EXPIRED = define(
    501, "grant_expired", logging.INFO, "A grant lapsed before its body came."
)
DISPATCH_REFUSED = define(
    502, "dispatch_refused", logging.INFO, "A body came that may not be dispatched."
)
UPSTREAM_FAILED = define(
    503, "upstream_failed", logging.WARNING, "A call to the upstream failed."
)
UPSTREAM_DOWN = define(504, "upstream_down", logging.ERROR, "The upstream is down.")
UPSTREAM_UP = define(505, "upstream_up", logging.INFO, "The upstream answers.")
TOMBSTONED = define(
    506, "tombstoned", logging.INFO, "A request can no longer start here."
)
CLAIM_ORPHANED = define(
    507, "claim_orphaned", logging.ERROR, "A claim's owner is gone without a result."
)
CLAIM_WRITE_FAILED = define(
    508, "claim_write_failed", logging.WARNING, "A claim's ending is not written yet."
)
CLAIMS_DOWN = define(
    509, "claims_down", logging.ERROR, "Claims can't be written; they are refused."
)
CLAIMS_UP = define(510, "claims_up", logging.INFO, "Claims can be written again.")
ANSWER_CROSSED = define(
    511, "answer_crossed", logging.ERROR, "An answer bore another request's id."
)
UPSTREAM_CRASHED = define(
    512, "upstream_crashed", logging.ERROR, "The upstream crashed with work in it."
)
REQUEST_QUARANTINED = define(
    513, "request_quarantined", logging.ERROR, "A request crashed upstreams twice."
)
SUSPECT_CLEARED = define(
    514, "suspect_cleared", logging.INFO, "A suspect ran alone to its end."
)
SUSPECT_WRITE_FAILED = define(
    515, "suspect_write_failed", logging.WARNING, "Suspects are not written yet."
)
DISPATCH_FAILED = define(
    516, "dispatch_failed", logging.ERROR, "A dispatch failed inside the sidecar."
)

PLANNER_ELECTED = define(
    601, "planner_elected", logging.INFO, "This process plans for its pool."
)
PLANNER_DEPOSED = define(
    602, "planner_deposed", logging.WARNING, "Another process plans for the pool."
)
PLANNER_STORE_FAILED = define(
    603, "planner_store_failed", logging.WARNING, "The pool's rows were not reached."
)
PLANNER_ROW_REJECTED = define(
    604, "planner_row_rejected", logging.ERROR, "A row of the planner can't be read."
)
PLAN_WRITTEN = define(605, "plan_written", logging.INFO, "A new plan was written.")
PLAN_STALE = define(
    606, "plan_stale", logging.INFO, "A plan was read too long ago to act on it."
)
ORDER_SENT = define(607, "order_sent", logging.INFO, "The engine was given an order.")
ORDER_FENCED = define(
    608, "order_fenced", logging.WARNING, "The engine refused an order as old."
)
ORDER_UNANSWERED = define(
    609, "order_unanswered", logging.WARNING, "The engine did not answer an order."
)

FLEET_CONFIG_APPLIED = define(
    701, "fleet_config_applied", logging.INFO, "A configuration came into force."
)
ROW_REJECTED = define(
    702, "row_rejected", logging.ERROR, "A row of the store could not be used."
)
UPSTREAM_CHANGED = define(
    703, "upstream_changed", logging.INFO, "The registry says something new."
)
STORE_LOST = define(704, "store_lost", logging.WARNING, "The store does not answer.")
STORE_REGAINED = define(705, "store_regained", logging.INFO, "The store answers again.")
UPSTREAM_PAUSED = define(
    706, "upstream_paused", logging.WARNING, "An upstream failed and is spared."
)
UPSTREAM_REGAINED = define(
    707, "upstream_regained", logging.INFO, "A spared upstream answered."
)
REQUEST_STEP = define(708, "request_step", logging.INFO, "A request took a step.")
REQUEST_SUSPECTED = define(
    709, "request_suspected", logging.WARNING, "An upstream crashed with a request."
)
REQUEST_GIVEN_UP = define(
    710, "request_given_up", logging.WARNING, "A request got an answer of the entry's."
)
REQUEST_QUEUED = define(
    711, "request_queued", logging.INFO, "A request waits, since no place was free."
)
REPORTS_LOST = define(
    712, "engine_reports_lost", logging.WARNING, "The engine does not tell its load."
)
REPORTS_REGAINED = define(
    713, "engine_reports_regained", logging.INFO, "The engine tells its load again."
)
PLACES_CORRECTED = define(
    714, "places_corrected", logging.INFO, "Grants and what the engine runs differ."
)
LIMITS_RESTORED = define(
    715, "limits_restored", logging.INFO, "A start took over recorded use of limits."
)
