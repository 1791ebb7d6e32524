//! What HTTP requests and answers look like, and answers on their way from a target to callers.

pub mod answer;
pub mod chat;
pub mod entry;
pub mod relay;
pub mod reply;

use std::convert::Infallible;

use http::HeaderMap;
use http::request::Parts;
use volo_http::context::ServerContext;
use volo_http::server::extract::FromContext;

/// A request's headers, for handlers.
#[derive(Clone, Debug)]
pub struct Headers(pub HeaderMap);

impl FromContext for Headers {
    type Rejection = Infallible;

    async fn from_context(_: &mut ServerContext, parts: &mut Parts) -> Result<Self, Infallible> {
        Ok(Self(parts.headers.clone()))
    }
}

/// Header with a request's id, in both directions.
pub const REQUEST_ID: &str = "lanedeck-request-id";
/// Header with the verdict: `ran`, `not_run` or `may_have_run`.
pub const VERDICT: &str = "lanedeck-verdict";
/// Header with what a request was billed, in tokens.
pub const BILLED: &str = "lanedeck-billed";
/// Header with the reason of a refusal.
pub const REASON: &str = "lanedeck-reason";
/// Header with the class that a caller wants.
pub const CLASS: &str = "lanedeck-class";
/// Header with the budget that pays.
pub const BUDGET: &str = "lanedeck-budget";
/// Header that says whether a request may run twice: `yes` or `no`.
pub const REPEATABLE: &str = "lanedeck-repeatable";
/// Header that counts the dispatches of a request, towards targets.
pub const ATTEMPT: &str = "lanedeck-attempt";
/// Header with the fence of an order, towards targets.
pub const FENCE: &str = "lanedeck-fence";
/// Header with the rank of the class, towards targets.
pub const RANK: &str = "lanedeck-rank";
