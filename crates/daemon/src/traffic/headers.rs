//! Header names, and the rules for headers that are not forwarded.

use http_types::headers::{HeaderName, HeaderValues};
use http_types::{Request, Response};
use rf_base::Millis;

/// Prefix of the headers that this system reserves; they are removed when a message is forwarded.
pub const PREFIX: &str = "rosemaryfork-";
/// Whether the request may have run; set on every answer to a caller.
pub const VERDICT: &str = "rosemaryfork-verdict";
/// Time left for a call, in milliseconds; sent by callers, between daemons and to backend servers.
pub const DEADLINE: &str = "rosemaryfork-deadline";
/// Outcome of an attempt, between daemons: `answered`, `refused`, `late` or `broken`.
pub const OUTCOME: &str = "rosemaryfork-outcome";
/// Reason for which an attempt was refused, between daemons.
pub const REASON: &str = "rosemaryfork-reason";
/// Whether the backend server crashed during an attempt, between daemons: `0` or `1`.
pub const CRASH: &str = "rosemaryfork-crash";
/// Running and waiting calls of the backend server in percent of its slots, between daemons.
pub const LOAD: &str = "rosemaryfork-load";
/// Fingerprint of the route in hexadecimal digits, between daemons.
pub const ROUTE: &str = "rosemaryfork-route";
/// Operation requested on the relay port; absent if the request is an attempt.
pub const OPERATION: &str = "rosemaryfork-operation";
/// Id of the attempt to which an answer belongs, between daemons.
pub const ANSWERED_ATTEMPT: &str = "rosemaryfork-answers";
/// Idempotency key of a call, set by the caller.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Headers that apply to one connection only and are never forwarded.
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

/// Returns the time left for a call as stated by its deadline header, if valid.
pub fn get_deadline(request: &Request) -> Option<Millis> {
    get(request, DEADLINE)?.trim().parse().ok().map(Millis)
}

/// Removes hop-by-hop headers, `content-length` and the headers of this system from a request.
pub fn strip_request(request: &mut Request) {
    let listed = listed_tokens(request.header("connection"));
    let names: Vec<HeaderName> = request.header_names().cloned().collect();
    for name in names {
        if is_removed(name.as_str(), &listed) {
            request.remove_header(name);
        }
    }
}

/// Removes hop-by-hop headers, `content-length` and the headers of this system from a response.
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

/// Checks that the framing of a request is unambiguous, which prevents request smuggling.
///
/// # Errors
///
/// Returns a description of the first violation.
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
