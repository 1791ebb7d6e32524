//! Executes the actions of the control state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;

use super::shared::Shared;
use crate::router::client::Log;
use crate::router::control::{Action, Call, IfNotRun, Input};
use crate::router::http::answer::{Answer, Work};
use crate::router::http::relay::{Dispatch, Relay};
use crate::router::message::Request;
use crate::router::report::Key;
use crate::router::request::{Id, Ticket, Verdict};
use crate::units::Tokens;
use crate::wire;

/// Executes actions for the control thread, on the runtime for traffic where they take time.
pub struct Edge {
    traffic: Handle,
    shared: Arc<Shared>,
    relay: Relay,
    peers: wire::Client,
}

impl Edge {
    pub fn new(traffic: Handle, shared: Arc<Shared>, silence: Duration) -> Self {
        Self {
            traffic,
            peers: wire::Client::new(&shared.fleet_key),
            shared,
            relay: Relay::new(silence),
        }
    }

    /// Executes one action without blocking; anything that waits runs on the traffic runtime.
    pub fn execute(&self, action: Action) {
        match action {
            Action::Dispatch {
                ticket,
                id,
                holder,
                attempt,
                choice,
                rank,
            } => {
                let dispatch = Dispatch {
                    id,
                    holder,
                    attempt,
                    choice,
                    rank,
                };
                self.dispatch(ticket, dispatch);
            }
            Action::Finish { ticket, verdict } => self.finish(ticket, verdict),
            Action::Join { ticket, to } => self.join(ticket, to),
            Action::Forget(tickets) => {
                for ticket in tickets {
                    self.shared.answers.remove(ticket);
                }
            }
            Action::Inquire {
                id,
                request,
                target,
                if_not_run,
            } => {
                self.inquire(id, request, target, if_not_run);
            }
            Action::Append { stream, batch } => self.append(stream, batch),
            Action::Call { call, to, request } => self.call(call, to, request),
            Action::Answer { token, .. }
            | Action::Planned { token, .. }
            | Action::Confirmed { token, .. }
            | Action::Status { token, .. }
            | Action::Entries { token, .. }
            | Action::Cursors { token, .. } => self.shared.reply(token, action),
            Action::Publish { config } => {
                tracing::info!(event = "config_in_force", objects = config.items().count());
                self.shared.config.store(config);
            }
            Action::IncarnationRenewed { incarnation } => {
                tracing::warn!(event = "incarnation_closed", new = %incarnation);
            }
            Action::Violated(violation) => {
                tracing::error!(event = "invariant_violated", evidence = %violation);
            }
            Action::Exit => {}
        }
    }

    /// Asks a target for the outcome of a request in doubt.
    fn inquire(&self, id: Id, request: Id, target: SocketAddr, if_not_run: IfNotRun) {
        let (relay, shared) = (self.relay.clone(), Arc::clone(&self.shared));
        self.traffic.spawn(async move {
            let Some(state) = relay.request_state(target, request).await else {
                return;
            };
            if state.ran && state.done {
                let used = Tokens(state.used);
                tracing::info!(event = "doubt_answered", %request, %target, %used);
                shared.tell(Input::InquiryAnswered { id, used });
            }
            if !state.ran && if_not_run == IfNotRun::Cancel {
                let holder = id.incarnation;
                let answer = relay.cancel(target, request, holder).await;
                let cancelled = answer.is_some_and(|answer| answer.cancelled);
                tracing::info!(event = "doubt_cancelled", %request, %holder, %target, cancelled);
                if cancelled {
                    shared.tell(Input::Cancelled { id });
                }
            }
        });
    }

    fn call(&self, call: Call, to: SocketAddr, request: Request) {
        let (peers, shared) = (self.peers.clone(), Arc::clone(&self.shared));
        self.traffic.spawn(async move {
            // The client logs why there is no reply; the control state only needs to know that there is none.
            let reply = peers.ask(to, &request).await.ok();
            shared.tell(Input::Replied { call, reply });
        });
    }

    fn append(&self, stream: crate::router::key::Stream, batch: crate::router::log::Batch) {
        let shared = Arc::clone(&self.shared);
        let log = shared.log.clone();
        self.traffic.spawn(async move {
            let appended = log.append(stream, &batch).await;
            if let Err(error) = &appended {
                tracing::warn!(event = "append_failed", %stream, %error);
            }
            let taken = appended.is_ok();
            shared.tell(Input::Appended { stream, taken });
        });
    }

    fn dispatch(&self, ticket: Ticket, dispatch: Dispatch) {
        let Some(answer) = self.shared.answers.get(ticket) else {
            return;
        };
        let target = dispatch.choice.address;
        let text = format!(
            "dispatch {} to {target}, fence {}",
            dispatch.attempt, dispatch.choice.fence
        );
        self.shared.trail.record(dispatch.id, text);
        tracing::debug!(event = "dispatched", request = %dispatch.id, %target, attempt = dispatch.attempt);
        let (relay, shared) = (self.relay.clone(), Arc::clone(&self.shared));
        self.traffic.spawn(async move {
            shared.mark_active(target);
            let end = run_attempt(&relay, &shared, &answer, dispatch).await;
            shared.trail.record(
                dispatch.id,
                format!("attempt {} ended: {end:?}", dispatch.attempt),
            );
            shared.tell(Input::Ended { ticket, end });
        });
    }

    fn finish(&self, ticket: Ticket, verdict: Verdict) {
        let Some(answer) = self.shared.answers.get(ticket) else {
            return;
        };
        let request = &answer.request;
        let key = metrics_key(&answer);
        let objective = self.shared.config.load().objective(&request.class);
        let sample = answer.frame_times.sample();
        self.shared
            .metrics
            .record_request(&key, objective, &verdict, sample);
        let reason = verdict.reason().map_or("none", |reason| reason.as_str());
        let billed = match verdict {
            Verdict::Ran { billed } => billed.0,
            _ => 0,
        };
        tracing::info!(
            event = "request_finished",
            request = %request.id,
            customer = request.customer,
            class = request.class,
            serves = request.serves,
            verdict = verdict.as_str(),
            reason,
            billed,
            first_ms = sample.first_ms,
            total_ms = request.arrived.elapsed().as_millis() as u64,
        );
        self.shared.trail.record(
            request.id,
            format!("verdict {}: {reason}, billed {billed}", verdict.as_str()),
        );
        answer.end(verdict);
        // A request that did not run may be sent again as a new one, so its answer is not kept.
        if matches!(verdict, Verdict::NotRun { .. }) {
            self.shared.answers.remove(ticket);
        }
    }

    fn join(&self, ticket: Ticket, to: Ticket) {
        let Some(answer) = self.shared.answers.remove(ticket) else {
            return;
        };
        self.shared.trail.record(
            answer.request.id,
            "a retry joined the first arrival".to_owned(),
        );
        match self.shared.answers.get(to) {
            Some(first) => answer.join(first),
            None => answer.end(Verdict::MayHaveRun {
                reason: crate::router::request::Reason::Expired,
            }),
        }
    }
}

fn metrics_key(answer: &Answer) -> Key {
    Key {
        customer: answer.request.customer.clone(),
        class: answer.request.class.clone(),
        serves: answer.request.serves.clone(),
    }
}

async fn run_attempt(
    relay: &Relay,
    shared: &Shared,
    answer: &Answer,
    dispatch: Dispatch,
) -> crate::router::control::End {
    let key = metrics_key(answer);
    let on_frame = |_index| {
        let at = u64::try_from(answer.request.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
        if let Some(gap) = answer.frame_times.record(at) {
            shared.metrics.record_gap(&key, gap);
        }
    };
    let end = relay.run(answer, dispatch, on_frame).await;
    if matches!(answer.work, Work::Service(_)) {
        on_frame(0);
    }
    end
}
