//! Delay of this router's own link: how much longer the round trips of its heartbeats take than they did shortly before.
//!
//! A queue on the router's link delays the messages to all peers, so the minimum over several heartbeats counts. A slow
//! peer, a lost packet or a slow path to one data hall delays only some of them.

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

use crate::units::Millis;

/// Number of round trips of which the minimum counts: one more than a round of heartbeats has, so that a single round
/// that is delayed does not suffice.
const SAMPLES: usize = 5;
/// Number of peers that these must be from, so that a single slow peer does not suffice.
const PEERS_MIN: usize = 2;
/// Age of the newest round trip from which nothing is known about the link: five rounds without an answer.
const SAMPLE_MAX_AGE: Millis = Millis(1_500);
/// Period whose shortest round trip to a hall counts as the time without delay.
const BASELINE_PERIOD: Millis = Millis(60_000);
/// Maximum number of round trips kept: a minute of ten a second, and room for more.
const KEPT_MAX: usize = 1_000;
/// Delay from which a link counts as delayed. A request crosses the link about eight times until its first event, so
/// this is a third of the shortest latency objective of a model request.
pub const DELAYED_MIN: Millis = Millis(20);

/// The state of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Messages are not delayed, or nothing is known about the link.
    Clear,
    /// Messages wait in a queue on the link.
    Delayed,
}

impl Link {
    /// The state that a delay shows.
    pub fn of(delay: Option<Millis>) -> Self {
        match delay {
            Some(delay) if delay >= DELAYED_MIN => Self::Delayed,
            _ => Self::Clear,
        }
    }
}

/// The round trip of a heartbeat on a connection that was open before.
#[derive(Clone, Copy, Debug)]
pub struct RoundTrip<'a> {
    /// Name of the peer.
    pub peer: &'a str,
    /// Data hall of the peer.
    pub hall: &'a str,
    /// Time from the call to the reply.
    pub took: Millis,
    /// Part of it in which this router's own thread was ready and did not run.
    pub stalled: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    peer: u64,
    hall: u64,
    took: Millis,
    stalled: Millis,
}

/// The round trips of the last minute.
#[derive(Debug, Default)]
pub struct RoundTrips {
    /// Oldest first.
    samples: VecDeque<Sample>,
}

impl RoundTrips {
    /// Adds a round trip that has just ended.
    pub fn record(&mut self, now: Millis, trip: &RoundTrip<'_>) {
        let is_expired = |sample: &Sample| sample.at + BASELINE_PERIOD < now;
        while self.samples.len() >= KEPT_MAX || self.samples.front().is_some_and(is_expired) {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            at: now,
            peer: xxh3_64(trip.peer.as_bytes()),
            hall: xxh3_64(trip.hall.as_bytes()),
            took: trip.took,
            stalled: trip.stalled,
        });
    }

    /// The delay of the link; `None` if too little is known.
    ///
    /// It is the minimum over the last five round trips and the last one of each hall, of the time that each took
    /// longer than the shortest one to the same hall. Halls are compared with themselves, since the paths to them differ
    /// in length, and a hall's only round trip shows nothing.
    pub fn delay(&self, now: Millis) -> Option<Millis> {
        let newest = self.samples.back()?;
        if newest.at + SAMPLE_MAX_AGE < now {
            return None;
        }
        let (mut peers, mut halls) = (Vec::new(), Vec::new());
        let mut delay: Option<Millis> = None;
        for (index, sample) in self.samples.iter().rev().enumerate() {
            let is_last_of_hall = !halls.contains(&sample.hall);
            if index < SAMPLES {
                peers.push(sample.peer);
            } else if sample.at + SAMPLE_MAX_AGE < now {
                break;
            } else if !is_last_of_hall {
                continue;
            }
            if is_last_of_hall {
                halls.push(sample.hall);
            }
            if let Some(baseline) = self.baseline(now, sample.hall) {
                let excess = sample.took.saturating_sub(baseline + sample.stalled);
                delay = Some(delay.map_or(excess, |least| least.min(excess)));
            }
        }
        if peers.len() < SAMPLES {
            return None;
        }
        peers.sort_unstable();
        peers.dedup();
        delay.filter(|_| peers.len() >= PEERS_MIN)
    }

    /// The shortest round trip to a hall in the last minute; `None` if there was only one.
    fn baseline(&self, now: Millis, hall: u64) -> Option<Millis> {
        let of_hall = || {
            let is_recent = |sample: &&Sample| sample.at + BASELINE_PERIOD >= now;
            let samples = self.samples.iter().filter(is_recent);
            samples.filter(move |sample| sample.hall == hall)
        };
        of_hall().nth(1)?;
        of_hall().map(|sample| sample.took).min()
    }
}
