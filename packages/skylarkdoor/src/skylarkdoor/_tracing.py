"""OpenTelemetry spans, written to the log, with W3C trace context propagation."""

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
TRACEPARENT = "traceparent"
W3C_HEADERS = (TRACEPARENT, "tracestate")

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


class _State:
    """The tracer of this process; discards spans until `configure` is called."""

    tracer: trace.Tracer = trace.NoOpTracer()


def configure(*, instance: str, sample_ratio: float = 1.0) -> None:
    """Write the spans of this process to its log.

    Args:
        instance: Instance name in the resource attributes of each span.
        sample_ratio: Share, from 0 to 1, of the traces started in this process
            that are sampled. For other traces the caller's decision applies.
    """
    provider = TracerProvider(
        resource=Resource(
            {"service.name": "skylarkdoor", "service.instance": instance}
        ),
        sampler=ParentBased(TraceIdRatioBased(sample_ratio)),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(SimpleSpanProcessor(_LogExporter()))
    _State.tracer = provider.get_tracer("skylarkdoor")


@contextmanager
def span(
    name: str, parent: SpanContext | None = None, **attributes: str | int | float
) -> Iterator[SpanContext]:
    """Trace one operation; yield the context for child spans.

    The type of an exception that leaves the block is recorded on the span.
    """
    opened = _State.tracer.start_span(name, context=parent, attributes=attributes)
    try:
        yield trace.set_span_in_context(opened, parent)
    except BaseException as error:
        opened.set_attribute("error", type(error).__name__)
        raise
    finally:
        opened.end()


def extract(headers: Mapping[str, str]) -> SpanContext:
    """Return the trace context of an incoming request.

    Args:
        headers: Headers with case-insensitive lookup.
    """
    if TRACEPARENT not in headers:
        return Context()
    sent = {name: headers[name] for name in W3C_HEADERS if name in headers}
    return _propagator.extract(sent, context=Context())


def inject(headers: MutableMapping[str, str], context: SpanContext) -> None:
    """Add the trace context to the headers of an outgoing request."""
    _propagator.inject(headers, context=context)
