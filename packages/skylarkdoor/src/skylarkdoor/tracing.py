"""Traces with a span for each hop, in the W3C trace context."""

from skylarkdoor._tracing import SpanContext, configure, extract, inject, span

__all__ = ["SpanContext", "configure", "extract", "inject", "span"]
