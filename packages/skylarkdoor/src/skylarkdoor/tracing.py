"""Distributed tracing with W3C trace context propagation."""

from skylarkdoor._tracing import SpanContext, configure, extract, inject, span

__all__ = ["SpanContext", "configure", "extract", "inject", "span"]
