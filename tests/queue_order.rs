//! The order of a queue, which requests it sheds, and which it refuses at once.

use lanedeck::router::request::{Bound, Queue, Ticket, Waiting};
use lanedeck::units::Millis;

fn waiting(ticket: u64, rank: u8, arrived: u64) -> Waiting {
    Waiting {
        ticket: Ticket(ticket),
        rank,
        arrived: Millis(arrived),
        patience: Millis(5_000),
    }
}

fn order(queue: &Queue) -> Vec<u64> {
    queue.iter().map(|waiting| waiting.ticket.0).collect()
}

#[test]
fn shed_order() {
    let mut queue = Queue::new(Bound {
        len: 3,
        step: Millis(2_000),
    });
    assert_eq!(queue.push(waiting(1, 2, 0)), None);
    assert_eq!(queue.push(waiting(2, 0, 9_000)), None);
    assert_eq!(queue.push(waiting(3, 1, 9_010)), None);
    // The lowest class is shed first, even if its request has waited long and would start next.
    assert_eq!(order(&queue)[0], 1);
    let ticket_of = |shed: Option<Waiting>| shed.map(|waiting| waiting.ticket.0);
    assert_eq!(ticket_of(queue.push(waiting(4, 0, 9_020))), Some(1));
    assert_eq!(ticket_of(queue.push(waiting(5, 0, 9_030))), Some(3));
    // Within a class the newest is shed, here the request that has just arrived.
    assert_eq!(ticket_of(queue.push(waiting(6, 0, 9_040))), Some(6));
    assert_eq!(order(&queue), [2, 4, 5]);
}

#[test]
fn starvation_bound() {
    let mut queue = Queue::new(Bound {
        len: 10_000,
        step: Millis(2_000),
    });
    queue.push(waiting(1, 2, 0));
    let mut overtaken_by = 0;
    for turn in 0..1_000 {
        queue.push(waiting(10 + turn, 0, 10 * turn));
        let first = *queue.first().unwrap();
        queue.remove(&first);
        if first.ticket == Ticket(1) {
            break;
        }
        overtaken_by = 10 * turn;
    }
    // Two ranks apart: no request that arrives more than two steps later starts first.
    assert!(
        (3_900..=4_000).contains(&overtaken_by),
        "overtaken until {overtaken_by} ms"
    );
}

#[test]
fn refused_at_once() {
    let mut queue = Queue::new(Bound::default());
    for ticket in 0..100 {
        queue.push(waiting(ticket, 0, 0));
    }
    // At ten a second, fifty can start within the patience of five seconds, and one more just as it ends.
    let refused = queue.remove_late(Millis(0), 10.0);
    assert_eq!(refused.len(), 49);
    assert_eq!(refused[0].ticket, Ticket(51));
    assert!(queue.remove_late(Millis(0), 10.0).is_empty());
    // No request waits longer than its patience.
    assert_eq!(queue.remove_late(Millis(5_001), 1e9).len(), 51);
    assert!(queue.is_empty());
}
