//! Answers that no target gave: refusals, each with its status and a time to come back.

use http::{HeaderValue, Response, StatusCode, header};

use super::body::Body;
use super::dialect::Dialect;
use super::state::Refusal;
use crate::units::Millis;

/// Why a request was not passed on, or has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A header makes no sense.
    BadHeader,
    /// The body did not arrive whole.
    BadBody,
    /// The body is too long.
    TooLong,
    /// No configuration is known yet.
    NoConfig,
    /// No route has this host and path.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The process is stopping, and would not finish this.
    Stopping,
    /// The control state refused.
    Refused(Refusal),
    /// The target refused, and has not run it.
    TargetRefused,
    /// No target could be reached.
    Unreachable,
    /// Time was over before it was sent.
    Late,
    /// It was sent, and broke off; it may have run.
    BrokenOff,
    /// It was sent, and time was over; it may have run.
    TimedOut,
}

impl Reason {
    /// The status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHeader | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Refused(Refusal::Exhausted) => StatusCode::PAYMENT_REQUIRED,
            Self::BrokenOff => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::NoConfig
            | Self::Stopping
            | Self::Refused(_)
            | Self::TargetRefused
            | Self::Unreachable
            | Self::Late => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// When to come back, where it has not run and may run later.
    pub fn retry_after(self) -> Option<Millis> {
        match self {
            Self::NoConfig => Some(Millis(300)),
            Self::Stopping => Some(Millis(20)),
            Self::Refused(Refusal::Short) => Some(Millis(250)),
            Self::Refused(Refusal::CutOff) => Some(Millis(5_000)),
            Self::Refused(Refusal::NoTarget) | Self::Unreachable => Some(Millis(250)),
            Self::Refused(Refusal::NoRepeats) | Self::TargetRefused => Some(Millis(100)),
            _ => None,
        }
    }

    /// The word in logs and bodies.
    pub fn word(self) -> &'static str {
        match self {
            Self::BadHeader => "bad_header",
            Self::BadBody => "bad_body",
            Self::TooLong => "body_too_long",
            Self::NoConfig => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::Stopping => "stopping",
            Self::Refused(Refusal::NoTarget) => "no_target",
            Self::Refused(Refusal::NoRepeats) => "no_repeats",
            Self::Refused(Refusal::Exhausted) => "budget_exhausted",
            Self::Refused(Refusal::Short) => "budget_short_here",
            Self::Refused(Refusal::CutOff) => "budget_short_and_cut_off",
            Self::TargetRefused => "target_refused",
            Self::Unreachable => "unreachable",
            Self::Late => "late",
            Self::BrokenOff => "broken_off",
            Self::TimedOut => "timed_out",
        }
    }

    /// The answer.
    pub fn answer(self, dialect: &dyn Dialect, id: &str) -> Response<Body> {
        let (body, headers) = dialect.refusal(id, self.word());
        let mut response = Response::new(Body::whole(body));
        *response.status_mut() = self.status();
        *response.headers_mut() = headers;
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        if let Some(after) = self.retry_after() {
            let seconds = format!("{:.3}", after.0 as f64 / 1_000.0);
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
        }
        response
    }
}
