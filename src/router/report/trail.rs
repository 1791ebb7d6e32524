//! The decisions on recent requests, for `GET /v1/explain/{id}`.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::router::request::Id;

/// Maximum number of requests that are kept.
const REQUESTS_MAX: usize = 4_096;
/// Maximum number of steps that are kept per request; later ones are dropped.
const STEPS_MAX: usize = 32;

/// One decision on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Time since the first step of the request on this router, in milliseconds.
    pub after_ms: u64,
    /// The decision and its reason.
    pub what: String,
}

#[derive(Debug)]
struct Steps {
    start: Instant,
    steps: Vec<Step>,
}

#[derive(Debug, Default)]
struct Inner {
    steps: HashMap<Id, Steps>,
    /// The requests, oldest first.
    order: VecDeque<Id>,
}

/// The decisions on recent requests.
#[derive(Debug, Default)]
pub struct Trail {
    inner: Mutex<Inner>,
}

impl Trail {
    /// Records a decision.
    pub fn record(&self, id: Id, what: String) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if !inner.steps.contains_key(&id) {
            inner.order.push_back(id);
        }
        let steps = inner.steps.entry(id).or_insert_with(|| Steps {
            start: Instant::now(),
            steps: Vec::new(),
        });
        if steps.steps.len() < STEPS_MAX {
            let after_ms = u64::try_from(steps.start.elapsed().as_millis()).unwrap_or(u64::MAX);
            steps.steps.push(Step { after_ms, what });
        }
        while inner.order.len() > REQUESTS_MAX
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.steps.remove(&oldest);
        }
    }

    /// The decisions on a request, oldest first.
    pub fn get(&self, id: Id) -> Option<Vec<Step>> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.steps.get(&id).map(|steps| steps.steps.clone())
    }
}
