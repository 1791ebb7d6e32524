//! A router that gets more requests than its share of a core can handle: what callers get with and without refusals.

use std::collections::VecDeque;

use lanedeck::gateway::decision::overload::is_refused;
use lanedeck::gateway::lag::Lag;
use lanedeck::units::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Times that the traffic thread schedules a request; with [`STEP_MICROS`], its capacity is 250 requests a second.
const STEPS: u32 = 8;
/// Time that the thread takes for one step, in microseconds.
const STEP_MICROS: u64 = 500;
/// Interval of lag samples, in microseconds.
const SAMPLE_MICROS: u64 = 20_000;
const OBJECTIVE: Millis = Millis(600);
/// A second, in microseconds.
const SECOND: u64 = 1_000_000;

#[derive(Clone, Copy)]
struct Request {
    arrived: u64,
    steps_left: u32,
}

/// What callers get, in thousandths of their requests.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    in_time: u64,
    late: u64,
    refused: u64,
}

/// Simulates six seconds of evenly spaced requests, until all are done.
fn simulate(requests_per_second: u64, refuses: bool) -> Outcome {
    let gap = SECOND / requests_per_second;
    let total = 6 * requests_per_second;
    let (mut now, mut next, mut sample_due) = (0, 0, SAMPLE_MICROS);
    let mut rng = StdRng::seed_from_u64(1);
    let mut queue: VecDeque<Request> = VecDeque::new();
    let (mut lag, mut least) = (Lag::default(), Millis::ZERO);
    let (mut in_time, mut late, mut refused) = (0, 0, 0);
    while in_time + late + refused < total {
        while next < total && next * gap <= now {
            queue.push_back(Request {
                arrived: next * gap,
                steps_left: STEPS,
            });
            next += 1;
        }
        if now >= sample_due {
            // The timer runs after everything that is queued now.
            least = lag.record(Millis(queue.len() as u64 * STEP_MICROS / 1_000));
            sample_due = now + SAMPLE_MICROS;
        }
        let Some(mut request) = queue.pop_front() else {
            now = next * gap;
            continue;
        };
        now += STEP_MICROS;
        // Admission is the third step.
        let is_admission = request.steps_left == STEPS - 2;
        request.steps_left -= 1;
        if is_admission && refuses && is_refused(least, OBJECTIVE, rng.next_u64()) {
            refused += 1;
        } else if request.steps_left > 0 {
            queue.push_back(request);
        } else if now - request.arrived <= OBJECTIVE.0 * 1_000 {
            in_time += 1;
        } else {
            late += 1;
        }
    }
    let share = |count: u64| count * 1_000 / total;
    Outcome {
        in_time: share(in_time),
        late: share(late),
        refused: share(refused),
    }
}

/// At one and a half times the capacity, 86 in 1,000 requests are answered in time without refusals, and the others are
/// late. With refusals 485 are in time, and none is late. More is not possible, since a refusal takes three steps of
/// eight.
#[test]
fn too_much() {
    let without = simulate(375, false);
    assert_eq!((without.in_time, without.late), (86, 913), "{without:?}");
    let with = simulate(375, true);
    assert!(with.in_time >= 450, "{with:?}");
    assert!(with.late <= 10, "{with:?}");
}

/// No request is refused while the rate is within the capacity.
#[test]
fn just_enough() {
    let all = Outcome {
        in_time: 1_000,
        late: 0,
        refused: 0,
    };
    assert_eq!(simulate(240, true), all);
}

/// A single sample that is not late shows that the thread has no backlog.
#[test]
fn least_counts() {
    let mut lag = Lag::default();
    for _ in 0..4 {
        assert_eq!(lag.record(Millis(400)), Millis::ZERO);
    }
    assert_eq!(lag.record(Millis(300)), Millis(300));
    assert_eq!(lag.record(Millis(2)), Millis(2));
}

/// The shorter the latency objective and the longer the lag, the more requests are refused.
#[test]
fn by_objective() {
    let refused = |lag, objective| {
        let mut rng = StdRng::seed_from_u64(1);
        let numbers = (0..1_000).map(|_| rng.next_u64());
        let refused = numbers.filter(|random| is_refused(Millis(lag), Millis(objective), *random));
        refused.count()
    };
    assert_eq!(refused(0, 1), 0);
    assert_eq!(refused(12, 800), 0);
    assert!((400..600).contains(&refused(31, 800)));
    assert_eq!(refused(50, 800), 1_000);
    assert_eq!(refused(20, 300), 1_000);
}
