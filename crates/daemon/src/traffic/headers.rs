//! Header names and the rules by which headers pass a hop.

use http_types::headers::{HeaderName, HeaderValues};
use http_types::{Request, Response};
use rf_base::Millis;

/// Prefix of every header of this system.
pub const PREFIX: &str = "rosemaryfork-";
/// Whether the request may have run; on every answer to a caller.
pub const VERDICT: &str = "rosemaryfork-verdict";
/// Time that is left for a call, in milliseconds; from callers and to backend servers.
pub const DEADLINE: &str = "rosemaryfork-deadline";
/// How an attempt ended, between daemons: `answered`, `refused` or `broken`.
pub const OUTCOME: &str = "rosemaryfork-outcome";
/// Why an attempt was refused.
pub const REASON: &str = "rosemaryfork-reason";
/// Whether the backend server crashed under an attempt.
pub const CRASH: &str = "rosemaryfork-crash";
/// Load of the backend server in percent of its slots.
pub const LOAD: &str = "rosemaryfork-load";
/// Fingerprint of the route.
pub const ROUTE: &str = "rosemaryfork-route";
/// Operation on the relay port other than running an attempt.
pub const OPERATION: &str = "rosemaryfork-operation";
/// Id of the attempt that an answer belongs to.
pub const ANSWERED_ATTEMPT: &str = "rosemaryfork-answers";
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Trace context of W3C.
pub const TRACEPARENT: &str = "traceparent";

const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Returns the first value of a request header.
pub fn get<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values[0].as_str())
}

/// Returns the first value of a response header.
pub fn get_response<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.header(name).map(|values| values[0].as_str())
}

/// Returns the deadline header of a request.
pub fn get_deadline(request: &Request) -> Option<Millis> {
    get(request, DEADLINE)?.trim().parse().ok().map(Millis)
}

/// Removes hop-by-hop headers, and those of this system, from a request.
pub fn strip_request(request: &mut Request) {
    let listed = listed_tokens(request.header("connection"));
    let names: Vec<HeaderName> = request.header_names().cloned().collect();
    for name in names {
        if is_removed(name.as_str(), &listed) {
            request.remove_header(name);
        }
    }
}

/// Removes hop-by-hop headers, and those of this system, from a response.
pub fn strip_response(response: &mut Response) {
    let listed = listed_tokens(response.header("connection"));
    let names: Vec<HeaderName> = response.header_names().cloned().collect();
    for name in names {
        if is_removed(name.as_str(), &listed) {
            response.remove_header(name);
        }
    }
}

fn is_removed(name: &str, listed: &[String]) -> bool {
    HOP_BY_HOP.contains(&name)
        || name == "content-length"
        || name.starts_with(PREFIX)
        || listed.iter().any(|l| l == name)
}

fn listed_tokens(values: Option<&HeaderValues>) -> Vec<String> {
    let Some(values) = values else {
        return Vec::new();
    };
    let tokens = values.iter().flat_map(|v| v.as_str().split(','));
    tokens.map(|t| t.trim().to_ascii_lowercase()).collect()
}

/// Checks that a request's framing can be read in one way only.
///
/// # Errors
///
/// Returns what is wrong with it.
pub fn check_framing(request: &Request) -> Result<(), &'static str> {
    let hosts = request.header("host").map_or(0, |v| v.iter().count());
    if hosts > 1 {
        return Err("expected one host");
    }
    let lengths = request
        .header("content-length")
        .map_or(0, |v| v.iter().count());
    if lengths > 1 {
        return Err("expected one content-length");
    }
    if let Some(length) = get(request, "content-length")
        && !length.bytes().all(|b| b.is_ascii_digit())
    {
        return Err("expected a content-length of digits");
    }
    let Some(encodings) = request.header("transfer-encoding") else {
        return Ok(());
    };
    let is_chunked = |v: &str| v.eq_ignore_ascii_case("chunked");
    if encodings.iter().count() != 1 || !is_chunked(encodings[0].as_str()) {
        return Err("expected chunked as the only transfer-encoding");
    }
    if lengths > 0 {
        return Err("expected content-length or transfer-encoding, not both");
    }
    Ok(())
}
