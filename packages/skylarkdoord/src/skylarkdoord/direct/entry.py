"""Assembles the services of an entry that calls upstreams itself."""

from skylarkdoor.kernel import Kernel
from skylarkdoord._drain import Drain
from skylarkdoord._retry_limiter import RetryLimiter
from skylarkdoord.direct._adapter import load_adapter
from skylarkdoord.direct._call import (
    READ_BUFFER_BYTES,
    SMALL_READ_BUFFER_BYTES,
    UpstreamClient,
)
from skylarkdoord.direct._callers import CallerServer
from skylarkdoord.direct._catch_up import CatchUp
from skylarkdoord.direct._config_age import ConfigAge
from skylarkdoord.direct._config_retry import ConfigRetry
from skylarkdoord.direct._exchange import EntryExchange
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._forward_dependencies import ForwarderDependencies
from skylarkdoord.direct._guarded_streams import GuardedStreams
from skylarkdoord.direct._guards import Guards
from skylarkdoord.direct._limit_records import LimitRecords
from skylarkdoord.direct._members import Members
from skylarkdoord.direct._metrics_server import MetricsServer
from skylarkdoord.direct._missed_news import MissedNews
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._retry_report import RetryReport
from skylarkdoord.direct._scheduler import Scheduler
from skylarkdoord.direct._settings import DirectSettings
from skylarkdoord.direct._upstream_limits import UpstreamLimits
from skylarkdoord.direct._upstreams import Upstreams
from skylarkdoord.direct._watch import FleetWatcher
from skylarkdoord.direct.evidence import Crashes, SuspectRecords
from skylarkdoord.direct.process import Apply
from skylarkdoord.direct.rollout_services import (
    RolloutAttempts,
    RolloutDependencies,
    Rollouts,
)
from skylarkdoord.direct.rollouts import RolloutBounds, RolloutGate
from skylarkdoord.direct.shares import LeaveCosts
from skylarkdoord.direct.streams import StreamVersions

__all__ = ["build"]

# Other entries may know more entries, and notice later that one is silent.
ANNOUNCEMENT_MARGIN = 1.5


def leave_costs(settings: DirectSettings) -> LeaveCosts | None:
    """Return the costs of leaving the data centre; None if the settings state none."""
    costs = settings.data_centres
    return costs and LeaveCosts(costs.distance_s, costs.wait_per_mb_s)


def build(kernel: Kernel, settings: DirectSettings) -> Apply:
    """Register the services of a direct entry.

    Returns:
        A function that applies changed settings to the running services.
    """
    kernel.stop_timeout_s = settings.stop_timeout_s
    adapter = load_adapter(settings.adapter)
    store = adapter.open_store(settings.store)
    fleet = Fleet(adapter)
    upstreams = Upstreams(fleet)
    quota = Quota(settings.quota)
    quota.is_history_complete = settings.first_start
    crashes = Crashes(find=fleet.find, occupant=fleet.occupant)
    fleet.on_upstreams.append(crashes.on_registry_change)
    limits = UpstreamLimits(settings.instance, find=fleet.find)
    fleet.on_upstreams.append(limits.drop_removed)
    streams = StreamVersions(fleet, is_first_start=settings.first_start)
    age = ConfigAge(fleet)
    missed = MissedNews()
    members = Members(
        settings.instance,
        fleet,
        quota,
        crashes,
        limits,
        streams,
        age=age,
        missed=missed,
    )
    age.update_interval_s = members.update_interval_s
    limits.share_of = members.limit_share
    crashes.on_down = upstreams.on_down
    crashes.requests.is_trial_owner = members.owns
    crashes.parts.is_trial_owner = members.owns
    quota.silent_entries = members.silent_entries
    scheduler = Scheduler(
        upstreams,
        data_centre=settings.data_centre,
        instance=settings.instance,
        live_entries=members.live_count,
        limits=limits,
        leave_costs=leave_costs(settings),
        serves_late=settings.serves_late,
        shares=settings.shares,
    )
    guards = Guards(settings, fleet, scheduler, entries=members.sharing_count)
    scheduler.choice.guard_link_of = guards.link_of
    guards.on_restarted += [upstreams.on_restarted, crashes.on_restarted]
    GuardedStreams(guards, streams)
    gate = None
    if settings.rollouts is not None:
        bounds = RolloutBounds(*settings.rollouts)
        gate = RolloutGate(bounds, settings.instance, members.live_count)
    dependencies = ForwarderDependencies(
        adapter=adapter,
        client=UpstreamClient(
            adapter,
            (limits.on_head, upstreams.on_head),
            settings.memory.answer_bounds(settings.answers),
            read_buffer_bytes=READ_BUFFER_BYTES
            if settings.memory.bound() is None
            else SMALL_READ_BUFFER_BYTES,
        ),
        scheduler=scheduler,
        upstreams=upstreams,
        retry_limiter=RetryLimiter(
            settings.retry_budget,
            sharing_entries=members.sharing_count,
            is_first_start=settings.first_start,
        ),
        quota=quota,
        crashes=crashes,
        streams=streams,
        drain=Drain(),
        rollouts=RolloutAttempts(gate, upstreams),
    )
    kernel.register(dependencies.client)
    kernel.register(MetricsServer(settings))
    kernel.register(RetryReport(dependencies.retry_limiter))
    watcher = FleetWatcher(
        settings,
        fleet,
        store,
        live_entries=members.live_count,
        position=members.position,
        age=age,
        missed=missed,
        is_close=members.watches_closely,
    )
    exchange = EntryExchange(settings, store, members)
    crashes.is_registry_down = watcher.is_registry_down
    streams.history.is_current = lambda: members.learns_versions(
        is_registry_down=watcher.is_registry_down()
    )
    streams.history.all_know = members.all_know
    streams.history.timeout_s = lambda: (
        ANNOUNCEMENT_MARGIN * members.version_timeout_s()
    )
    streams.history.on_announced = scheduler.on_accepting
    upstreams.may_begin = lambda record: streams.history.may_begin(
        record.service, record.version
    )
    watcher.on_tick.append(streams.history.check_pending)
    watcher.on_changes = exchange.broadcast
    kernel.register(watcher)
    kernel.register(ConfigRetry(fleet, store))
    kernel.register(exchange)
    limit_records = LimitRecords(settings.instance, store, members)
    suspect_records = SuspectRecords(settings.instance, store, crashes)
    for writer in (exchange, limit_records, suspect_records):
        store.era.listeners.append(writer.on_new_era)
    kernel.register(limit_records)
    kernel.register(suspect_records)
    if gate is not None:
        rollouts = Rollouts(
            RolloutDependencies(
                adapter=adapter,
                store=store,
                gate=gate,
                scheduler=scheduler,
                retry_versions=dependencies.rollouts.retry_versions,
                notify=exchange.unreported.set,
                wake=exchange.send_update,
            ),
            members,
        )
        exchange.parts.append(rollouts.peers)
        watcher.on_config_row = rollouts.on_row
        store.era.listeners.append(rollouts.coordinator.on_new_era)
        kernel.register(rollouts)
    kernel.register(guards)
    callers = CallerServer(settings, fleet, dependencies, CatchUp(age))
    kernel.register(callers)

    def apply(changed: DirectSettings) -> None:
        dependencies.retry_limiter.budget = changed.retry_budget
        quota.bounds = changed.quota
        watcher.return_after_s = changed.return_after_s
        callers.shutdown_timeout_s = changed.shutdown_timeout_s
        kernel.stop_timeout_s = changed.stop_timeout_s

    return apply
