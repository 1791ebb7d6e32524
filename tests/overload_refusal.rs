//! A router whose callers send it more than its part of a core carries: what they get with and without refusals.

use std::collections::VecDeque;

use lanedeck::gateway::decision::overload::is_refused;
use lanedeck::gateway::lag::Lag;
use lanedeck::units::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Turns of a request on the traffic thread; with [`TURN`], 250 requests a second are all that it carries.
const TURNS: u32 = 8;
/// Time of a turn, in microseconds.
const TURN: u64 = 500;
/// Interval of samples of the lag, in microseconds.
const SAMPLE: u64 = 20_000;
const OBJECTIVE: Millis = Millis(600);
const SECOND: u64 = 1_000_000;

#[derive(Clone, Copy)]
struct Request {
    arrived: u64,
    turns: u32,
}

/// What callers get, in thousandths of what they ask.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    in_time: u64,
    late: u64,
    refused: u64,
}

/// Plays six seconds of evenly spaced requests, and until they are done.
fn play(requests_a_second: u64, refuses: bool) -> Outcome {
    let gap = SECOND / requests_a_second;
    let asked = 6 * requests_a_second;
    let (mut now, mut next, mut sample_due) = (0, 0, SAMPLE);
    let mut draw = StdRng::seed_from_u64(1);
    let mut queue: VecDeque<Request> = VecDeque::new();
    let (mut lag, mut least) = (Lag::default(), Millis::ZERO);
    let (mut in_time, mut late, mut refused) = (0, 0, 0);
    while in_time + late + refused < asked {
        while next < asked && next * gap <= now {
            queue.push_back(Request {
                arrived: next * gap,
                turns: TURNS,
            });
            next += 1;
        }
        if now >= sample_due {
            // The timer has its turn behind all that waits now.
            least = lag.note(Millis(queue.len() as u64 * TURN / 1_000));
            sample_due = now + SAMPLE;
        }
        let Some(mut request) = queue.pop_front() else {
            now = next * gap;
            continue;
        };
        now += TURN;
        // The third turn admits it.
        let is_admitted = request.turns == TURNS - 2;
        request.turns -= 1;
        if is_admitted && refuses && is_refused(least, OBJECTIVE, draw.next_u64()) {
            refused += 1;
        } else if request.turns > 0 {
            queue.push_back(request);
        } else if now - request.arrived <= OBJECTIVE.0 * 1_000 {
            in_time += 1;
        } else {
            late += 1;
        }
    }
    let share = |count: u64| count * 1_000 / asked;
    Outcome {
        in_time: share(in_time),
        late: share(late),
        refused: share(refused),
    }
}

/// Half as much again as it carries: without refusals 86 in 1,000 are answered in time, and the others are late;
/// with them 485 are, and none is late. More cannot be, since a refusal takes three turns of eight.
#[test]
fn too_much() {
    let before = play(375, false);
    assert_eq!((before.in_time, before.late), (86, 913), "{before:?}");
    let after = play(375, true);
    assert!(after.in_time >= 450, "{after:?}");
    assert!(after.late <= 10, "{after:?}");
}

/// What it carries is not refused, nor a short burst.
#[test]
fn just_enough() {
    let all = Outcome {
        in_time: 1_000,
        late: 0,
        refused: 0,
    };
    assert_eq!(play(240, true), all);
}

/// One sample that is not late shows that nothing stands before the thread.
#[test]
fn least_counts() {
    let mut lag = Lag::default();
    for _ in 0..4 {
        assert_eq!(lag.note(Millis(400)), Millis::ZERO);
    }
    assert_eq!(lag.note(Millis(300)), Millis(300));
    assert_eq!(lag.note(Millis(2)), Millis(2));
}

/// The shorter the time in which an answer is of use, and the longer work waits, the more are refused.
#[test]
fn by_objective() {
    let refused = |lag, objective| {
        let mut draw = StdRng::seed_from_u64(1);
        let draws = (0..1_000).map(|_| draw.next_u64());
        let refused = draws.filter(|draw| is_refused(Millis(lag), Millis(objective), *draw));
        refused.count()
    };
    assert_eq!(refused(0, 1), 0);
    assert_eq!(refused(12, 800), 0);
    assert!((400..600).contains(&refused(31, 800)));
    assert_eq!(refused(50, 800), 1_000);
    assert_eq!(refused(20, 300), 1_000);
}
