//! HTTP headers, request and response bodies, and the relay of answers from targets to callers.

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

/// Extractor of a request's headers, for handlers.
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
/// Header with the number of tokens billed for a request.
pub const BILLED: &str = "lanedeck-billed";
/// Header with the reason of a refusal.
pub const REASON: &str = "lanedeck-reason";
/// Header with the service class that a caller requests.
pub const CLASS: &str = "lanedeck-class";
/// Header with the budget that is charged.
pub const BUDGET: &str = "lanedeck-budget";
/// Header that states whether a request may run more than once: `yes` or `no`.
pub const REPEATABLE: &str = "lanedeck-repeatable";
/// Header with the number of this dispatch of a request, sent to targets.
pub const ATTEMPT: &str = "lanedeck-attempt";
/// Header with the fence of a request (the version of the target's object), sent to targets.
pub const FENCE: &str = "lanedeck-fence";
/// Header with the incarnation that pays for a dispatch of a request, sent to targets.
pub const HOLDER: &str = "lanedeck-holder";
/// Header with the rank of the class, sent to targets.
pub const RANK: &str = "lanedeck-rank";
