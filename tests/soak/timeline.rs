//! One account of a run for the request that broke a promise: what its caller and its targets saw, the
//! lines that each process logged about it and about stops, starts and reloads, and each step, in order.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::caller::Call;
use crate::deployment::runner::Arrival;

/// Events that a timeline shows of each process, besides those of the request.
const EVENTS: [&str; 14] = [
    "started",
    "stopping",
    "closing",
    "giving_back",
    "stopped",
    "reloaded",
    "reload_refused",
    "config_in_force",
    "connections_cut",
    "give_back_timed_out",
    "store_lost",
    "store_regained",
    "target_changed",
    "target_removed",
];
const DAY_MS: f64 = 86_400_000.0;
/// Most lines of a printed timeline, so that a failure stays readable.
const LINES_MAX: usize = 400;
/// How long before a request and after it steps and logs are shown, in milliseconds.
const AROUND: f64 = 4_000.0;

/// Steps as they were taken, and the clock that all times are told by.
#[derive(Clone)]
pub struct Journal {
    began: Instant,
    /// The time of day at which it began, in milliseconds.
    began_at: f64,
    steps: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Default for Journal {
    fn default() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            began: Instant::now(),
            began_at: now.unwrap().as_secs_f64() * 1e3 % DAY_MS,
            steps: Arc::default(),
        }
    }
}

impl Journal {
    pub fn note(&self, step: impl Into<String>) {
        let line = (Instant::now(), step.into());
        self.steps.lock().unwrap().push(line);
    }

    fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64() * 1e3
    }

    /// The timeline around a request, or of all steps where no request is named.
    pub fn print(&self, logs: &Path, id: Option<&str>, calls: &[Call], ran: &[Arrival]) -> String {
        let call = calls.iter().find(|call| Some(call.id.as_str()) == id);
        let window = call.map_or((0.0, f64::INFINITY), |call| {
            (self.ms(call.begun) - AROUND, self.ms(call.ended) + AROUND)
        });
        let mut lines: Vec<(f64, String)> = Vec::new();
        for (at, step) in self.steps.lock().unwrap().iter() {
            lines.push((self.ms(*at), format!("step    {step}")));
        }
        lines.extend(self.logged(logs, id));
        lines.retain(|(at, _)| (window.0..window.1).contains(at));
        if let Some(call) = call {
            self.caller(call, &mut lines);
        }
        for arrival in ran {
            if Some(arrival.header("x-attempt-id")) == id {
                let told = format!(
                    "target  {} got it, ran={} tenant={}",
                    arrival.instance,
                    arrival.ran,
                    arrival.header("x-tenant")
                );
                lines.push((self.ms(arrival.at), told));
            }
        }
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines.iter().take(LINES_MAX) {
            let _ = writeln!(text, "{at:>9.1} ms  {line}");
        }
        if lines.len() > LINES_MAX {
            let _ = writeln!(text, "... and {} lines more", lines.len() - LINES_MAX);
        }
        text
    }

    fn caller(&self, call: &Call, lines: &mut Vec<(f64, String)>) {
        let begun = format!(
            "caller  {} begins {:?} at {}",
            call.id, call.route, call.gateway
        );
        lines.push((self.ms(call.begun), begun));
        if let Some(sent) = call.progress.sent.get() {
            lines.push((self.ms(*sent), format!("caller  {} has sent all", call.id)));
        }
        let ended = format!(
            "caller  {} ends: {:?}, status {:?}, {} bytes{}",
            call.id,
            call.progress.end,
            call.progress.status(),
            call.progress.body.len(),
            if call.left { ", left" } else { "" }
        );
        lines.push((self.ms(call.ended), ended));
    }

    /// Lines that the processes logged.
    fn logged(&self, logs: &Path, id: Option<&str>) -> Vec<(f64, String)> {
        let mut lines = Vec::new();
        for entry in std::fs::read_dir(logs).into_iter().flatten().flatten() {
            let name = entry.file_name().to_string_lossy().replace(".log", "");
            let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
            for line in text.lines() {
                let mut fields = line.split(' ');
                let Some(at) = fields.next().and_then(|field| self.logged_at(field)) else {
                    continue;
                };
                let rest: Vec<&str> = fields.collect();
                let field = |name: &str| rest.iter().find_map(|field| field.strip_prefix(name));
                let is_shown = field("event=").is_some_and(|event| EVENTS.contains(&event));
                if is_shown || (id.is_some() && field("id=") == id) {
                    lines.push((at, format!("{name:<7} {}", rest.join(" "))));
                }
            }
        }
        lines
    }

    /// The time of a log line, from its field `ts=2000-01-01T12:30:00.5Z`. A run may go past midnight.
    fn logged_at(&self, field: &str) -> Option<f64> {
        let time = field.strip_prefix("ts=")?.split('T').nth(1)?;
        let mut parts = time.trim_end_matches('Z').split(':');
        let mut next = || parts.next()?.parse::<f64>().ok();
        let at = ((next()? * 60.0 + next()?) * 60.0 + next()?) * 1e3;
        Some((at - self.began_at).rem_euclid(DAY_MS))
    }
}
