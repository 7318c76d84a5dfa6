"""OpenTelemetry spans, written to the log and passed on to neighbours."""

from collections.abc import Iterator, Mapping, MutableMapping, Sequence
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from skylarkdoor import events

SpanContext = Context
NS_PER_MS = 1_000_000

_propagator = TraceContextTextMapPropagator()
_log = events.get_logger("tracing")


class _LogExporter(SpanExporter):
    """Writes each ended span as one log line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for ended in spans:
            _log.event(events.SPAN_ENDED, **_fields(ended))
        return SpanExportResult.SUCCESS


def _fields(ended: ReadableSpan) -> dict[str, object]:
    context = ended.get_span_context()
    start, end = ended.start_time or 0, ended.end_time or 0
    return {
        "span": ended.name,
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": f"{ended.parent.span_id:016x}" if ended.parent else "",
        "duration_ms": round((end - start) / NS_PER_MS, 3),
        "attributes": dict(ended.attributes or {}),
    }


def configure(*, instance: str, sample_ratio: float = 1.0) -> None:
    """Export spans of this process to its log.

    Args:
        instance: Instance named in the trace resource.
        sample_ratio: Share of traces kept, from 0 to 1, for traces that start here.
    """
    provider = TracerProvider(
        resource=Resource(
            {"service.name": "skylarkdoor", "service.instance": instance}
        ),
        sampler=ParentBased(TraceIdRatioBased(sample_ratio)),
    )
    provider.add_span_processor(SimpleSpanProcessor(_LogExporter()))
    trace.set_tracer_provider(provider)


@contextmanager
def span(
    name: str, parent: SpanContext | None = None, **attributes: str | int | float
) -> Iterator[SpanContext]:
    """Trace one hop; yields the context that the next hop continues."""
    tracer = trace.get_tracer("skylarkdoor")
    opened = tracer.start_span(name, context=parent, attributes=attributes)
    try:
        yield trace.set_span_in_context(opened, parent)
    finally:
        opened.end()


def extract(headers: Mapping[str, str]) -> SpanContext:
    """Read the trace context that a neighbour sent."""
    return _propagator.extract({key.lower(): value for key, value in headers.items()})


def inject(headers: MutableMapping[str, str], context: SpanContext) -> None:
    """Add the trace context to the headers sent to a neighbour."""
    _propagator.inject(headers, context=context)
