//! Responses for refused requests, as `application/problem+json` (RFC 9457).

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use serde::Serialize;

use crate::clock::as_ms;
use crate::edge::caller::ResponseBody;
use crate::edge::caller::full_body;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;

const MS_PER_S: u64 = 1_000;

/// JSON body of a refusal, with members beyond those of the RFC.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    reason: String,
    outcome: String,
    request_id: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the HTTP status for a reason of refusal.
pub fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::MalformedJson
        | RefusalReason::InvalidField
        | RefusalReason::PromptTooLong
        | RefusalReason::KeyRequired => StatusCode::BAD_REQUEST,
        RefusalReason::UnknownApiKey => StatusCode::UNAUTHORIZED,
        RefusalReason::UnknownAccount => StatusCode::FORBIDDEN,
        RefusalReason::UnknownModel | RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        RefusalReason::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        RefusalReason::KeyInProgress | RefusalReason::KeyCompleted => StatusCode::CONFLICT,
        RefusalReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::FairShare | RefusalReason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::TooManyConnections
        | RefusalReason::LogUnavailable
        | RefusalReason::Overloaded
        | RefusalReason::RateLimited
        | RefusalReason::NoUpstream
        | RefusalReason::VersionUnavailable
        | RefusalReason::PoisonousPrompt
        | RefusalReason::PoisonousRequest
        | RefusalReason::RetryBudget
        | RefusalReason::KeysUncertain
        | RefusalReason::ShuttingDown
        | RefusalReason::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::AttemptsExhausted
        | RefusalReason::UpstreamLost
        | RefusalReason::UpstreamFailed
        | RefusalReason::UnprovenRejection => StatusCode::BAD_GATEWAY,
    }
}

/// Builds the problem JSON of a refusal with this status, without a status line or headers.
pub fn body(status: StatusCode, refusal: &Refusal, request_id: &str) -> Bytes {
    let reason = refusal.reason.to_string();
    let problem = Problem {
        r#type: format!("urn:bamboodoor:refusal:{reason}"),
        title: status.canonical_reason().unwrap_or("Refused"),
        status: status.as_u16(),
        reason,
        outcome: refusal.outcome.to_string(),
        request_id,
        detail: &refusal.detail,
        retry_after_ms: refusal.retry_after.map(as_ms),
    };
    serde_json::to_vec(&problem).expect("a problem can be serialized as JSON").into()
}

/// Builds the complete HTTP response of a refusal. Sets `retry-after`, in whole
/// seconds rounded up, if the refusal has a retry time.
pub fn response(refusal: &Refusal, request_id: &str) -> Response<ResponseBody> {
    let status = status_of(refusal.reason);
    let mut response = Response::new(full_body(body(status, refusal, request_id)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers
        .insert("content-type", "application/problem+json".parse().expect("the header is valid"));
    if let Some(wait) = refusal.retry_after {
        let seconds = as_ms(wait).div_ceil(MS_PER_S);
        headers.insert("retry-after", seconds.into());
    }
    response
}
