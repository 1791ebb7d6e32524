//! Gateways that restart, pause and join while a test runs.

use std::time::{Duration, Instant};

use super::{Deployment, Gateway};

/// Gateways that are restarted at once in a roll.
const ROLLED_AT_ONCE: usize = 4;
const ROLL_INTERVAL: Duration = Duration::from_millis(1_300);
const KILL_INTERVAL: Duration = Duration::from_millis(2_700);
const KILLS: usize = 2;
const PAUSE: Duration = Duration::from_millis(1_800);
const PAUSES: usize = 4;
const PAUSE_GAP: Duration = Duration::from_millis(200);

/// What happens to the gateways.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Churn {
    None,
    /// All are killed and restarted, a few at a time.
    Roll,
    /// Half of them are killed at once and restarted, twice.
    Kill,
    /// One half is paused, then the other, and again.
    Pause,
    /// As many again are added.
    Join,
}

impl Churn {
    /// Restarts, pauses or adds gateways, without pauses in between once it is `until`.
    pub async fn inject(self, deployment: &mut Deployment, until: Instant) {
        let wait = |time: Duration| {
            let next = (Instant::now() + time).min(until);
            tokio::time::sleep_until(next.into())
        };
        let half = deployment.gateways.len().div_ceil(2);
        match self {
            Self::None => {}
            Self::Roll => {
                for few in deployment.gateways.chunks_mut(ROLLED_AT_ONCE) {
                    restart(few);
                    wait(ROLL_INTERVAL).await;
                }
            }
            Self::Kill => {
                for _ in 0..KILLS {
                    restart(&mut deployment.gateways[..half]);
                    wait(KILL_INTERVAL).await;
                }
            }
            Self::Pause => {
                for round in 0..PAUSES {
                    let (first, second) = deployment.gateways.split_at(half);
                    let paused = if round % 2 == 0 { first } else { second };
                    paused.iter().for_each(|gateway| gateway.signal("STOP"));
                    wait(PAUSE).await;
                    paused.iter().for_each(|gateway| gateway.signal("CONT"));
                    wait(PAUSE_GAP).await;
                }
            }
            Self::Join => {
                for number in 0..deployment.gateways.len() {
                    deployment.add(&format!("joined-{number}"), &[]).await;
                }
            }
        }
    }
}

fn restart(gateways: &mut [Gateway]) {
    gateways.iter_mut().for_each(Gateway::kill);
    gateways.iter_mut().for_each(Gateway::restart);
}
