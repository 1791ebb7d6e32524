//! How requests get to the targets: directly, or through other routers while this one is partitioned from the targets.
//!
//! The control thread publishes the state, and each connection for a request is opened by it. A request that waits for
//! a connection when the state changes starts over with the new one.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use super::decision::reachability::Pooled;
use super::metrics::Counter;

/// The paths to the targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Paths {
    /// Connections are opened to the targets.
    #[default]
    Direct,
    /// No target can be reached from here.
    Proxied {
        /// Whether connections that were opened before are still used.
        pooled: Pooled,
        /// Addresses of routers that send requests for this one.
        proxies: Arc<[SocketAddr]>,
        /// Whether such routers are being searched for.
        is_searching: bool,
    },
}

/// Counts of connections that failed, and of requests sent through other routers.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections to targets that were not opened in time.
    pub timed_out: Counter,
    /// Connections to targets that were refused or failed otherwise.
    pub refused: Counter,
    /// Responses that came through another router: a target's, or that router's own if it got none.
    pub proxied: Counter,
    /// Requests that were sent to targets for other routers.
    pub sent_for_others: Counter,
    /// Requests of other routers that got no response of a target.
    pub failed_for_others: Counter,
}

impl Counts {
    /// Formats the counts and whether targets can be reached.
    pub fn text(&self, paths: &Paths) -> String {
        let mut text = String::new();
        let reachable = u8::from(matches!(paths, Paths::Direct));
        // Writing to a `String` cannot fail, here and below.
        let _ = writeln!(text, "lanedeck_targets_reachable {reachable}");
        let causes = [("timed_out", &self.timed_out), ("refused", &self.refused)];
        for (cause, counter) in causes {
            let count = counter.get();
            let _ = writeln!(
                text,
                "lanedeck_connect_failures_total{{cause=\"{cause}\"}} {count}"
            );
        }
        let counters = [
            ("proxied", &self.proxied),
            ("proxy_sent", &self.sent_for_others),
            ("proxy_failed", &self.failed_for_others),
        ];
        for (name, counter) in counters {
            let _ = writeln!(text, "lanedeck_{name}_total {}", counter.get());
        }
        text
    }
}
