//! Trace context passed between hops in the W3C `traceparent` header.

use std::fmt;

/// Trace id, span id and flags of one hop in a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    trace: u128,
    span: u64,
    flags: u8,
}

impl TraceContext {
    /// Creates the context of a new sampled trace from random bits.
    ///
    /// Zero ids are invalid, so a zero in `low` or `span` becomes one.
    pub fn start(high: u64, low: u64, span: u64) -> TraceContext {
        TraceContext {
            trace: (u128::from(high) << 64) | u128::from(low.max(1)),
            span: span.max(1),
            flags: 1,
        }
    }

    /// Parses the value of a `traceparent` header; returns `None` if it is not valid.
    pub fn parse(text: &str) -> Option<TraceContext> {
        let mut parts = text.trim().split('-');
        let (version, trace, span, flags) =
            (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        let is_sized = version.len() == 2 && trace.len() == 32 && span.len() == 16;
        if !is_sized || flags.len() != 2 || version == "ff" {
            return None;
        }
        let context = TraceContext {
            trace: u128::from_str_radix(trace, 16).ok()?,
            span: u64::from_str_radix(span, 16).ok()?,
            flags: u8::from_str_radix(flags, 16).ok()?,
        };
        (context.trace != 0 && context.span != 0).then_some(context)
    }

    /// Returns the context of the next hop, with the span id `span`.
    pub fn child(self, span: u64) -> TraceContext {
        TraceContext {
            span: span.max(1),
            ..self
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "00-{:032x}-{:016x}-{:02x}",
            self.trace, self.span, self.flags
        )
    }
}
