//! The control thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

use super::edge::Edge;
use super::shared::Shared;
use crate::router::control::{Action, Input, Settings, State};
use crate::units::Millis;

/// Interval of the control state's ticks.
const TICK: Duration = Duration::from_millis(25);

/// Starts the control thread; the receiver resolves when a planned stop is done.
pub fn spawn(
    settings: Settings,
    shared: Arc<Shared>,
    inputs: mpsc::UnboundedReceiver<Input>,
    silence: Duration,
) -> oneshot::Receiver<()> {
    let (done, exit) = oneshot::channel();
    let edge = Edge::new(Handle::current(), Arc::clone(&shared), silence);
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .build();
            match runtime {
                Ok(runtime) => runtime.block_on(run(settings, &shared, inputs, &edge, done)),
                Err(error) => tracing::error!(event = "control_thread_failed", %error),
            }
        })
        .map_or_else(
            |error| tracing::error!(event = "control_thread_failed", %error),
            |_thread| {},
        );
    exit
}

async fn run(
    settings: Settings,
    shared: &Shared,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    edge: &Edge,
    done: oneshot::Sender<()>,
) {
    let start = Instant::now();
    let now = || Millis(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX) + 1);
    let mut state = State::new(settings, now());
    let mut done = Some(done);
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let input = tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => input,
                None => return,
            },
            _ = tick.tick() => Input::Tick,
        };
        for action in state.handle(now(), input) {
            if let Action::Exit = action
                && let Some(done) = done.take()
            {
                // The receiver is gone if the server has ended first.
                let _ = done.send(());
            } else {
                edge.execute(action);
            }
        }
        shared.set_ready(state.is_ready());
        let prefix = state.prefix();
        shared.set_incarnation(prefix.incarnation, prefix.epoch);
    }
}
