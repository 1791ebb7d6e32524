//! Ways to size grants, side by side: false refusals, tokens stranded, appends.
//!
//! `cargo bench --bench money`

mod common;

use common::{Arrival, Fleet, Make, Shape};
use lanedeck::router::budget::Sizing;
use lanedeck::router::log::Stream;
use lanedeck::router::request::{Reason, Verdict};
use lanedeck::units::{Millis, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const NODES: usize = 7;
const CUSTOMERS: usize = 10;
const HOUR: u64 = 3_600_000;
/// The cut starts after this and lasts an hour.
const BEFORE: u64 = 600_000;
const SPAN: u64 = BEFORE + HOUR + 300_000;
/// Requests a second over all.
const RATE: f64 = 4.0;
const SHAPE: Shape = Shape {
    slots: 64,
    first: 40.0,
    block: 1.0,
    between: 10.0,
    crowd: 1.0,
    cache: 4_000,
};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    NoFault,
    /// A region of two of the seven routers reaches neither the log nor the rest for an hour.
    Cut,
    /// Prepaid is only just what is asked for.
    Thin,
}

fn record() -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(5);
    let mut now = 2_000.0;
    let mut arrivals = Vec::new();
    while now < SPAN as f64 {
        now += -1_000.0 / RATE * (1.0 - rng.random::<f64>()).ln();
        // A few customers are large.
        let customer = if rng.random_bool(0.7) {
            rng.random_range(0..3)
        } else {
            rng.random_range(3..CUSTOMERS)
        };
        arrivals.push(Arrival {
            at: now as u64,
            node: (customer + rng.random_range(0..3)) % NODES,
            customer,
            class: 0,
            blocks: Vec::new(),
            prompt: rng.random_range(200..2_000),
            tokens: rng.random_range(20..160),
        });
    }
    arrivals
}

fn cost(arrival: &Arrival) -> u64 {
    arrival.prompt / 4 + arrival.tokens
}

fn run(sizing: Sizing, witnessed: bool, case: Case) {
    let arrivals = record();
    let need = |customer: usize| -> u64 {
        arrivals
            .iter()
            .filter(|one| one.customer == customer)
            .map(cost)
            .sum()
    };
    let prepaid: Vec<u64> = (0..CUSTOMERS)
        .map(|customer| match case {
            Case::Thin => need(customer) / 2,
            _ => need(customer) * 4,
        })
        .collect();
    let make = Make {
        nodes: NODES,
        engines: 10,
        customers: CUSTOMERS,
        classes: 1,
        prepaid: prepaid.clone(),
        shape: SHAPE,
        tick: 100,
    };
    let mut fleet = Fleet::new(&make, arrivals, |settings| {
        settings.with_sizing(sizing).with_witnessed(witnessed)
    });
    fleet.run_until(BEFORE);
    if case == Case::Cut {
        fleet.cut_off(0);
        fleet.cut_off(1);
    }
    fleet.run_until(BEFORE + HOUR);
    if case == Case::Cut {
        fleet.reconnect(0);
        fleet.reconnect(1);
    }
    fleet.run_until(SPAN + 10_000);
    report(&fleet, &prepaid, sizing, witnessed, case);
}

/// A refusal is false if the customer's budget, as a whole, would have covered the request.
fn report(fleet: &Fleet, prepaid: &[u64], sizing: Sizing, witnessed: bool, case: Case) {
    let mut spent = [0_u64; CUSTOMERS];
    let (mut ran, mut refused, mut false_refusals) = (0, 0, 0);
    for (arrival, outcome) in fleet.arrivals.iter().zip(&fleet.outcomes) {
        match outcome.verdict {
            Some(Verdict::Ran { billed }) => {
                spent[arrival.customer] += billed.0;
                ran += 1;
            }
            Some(Verdict::NotRun { reason, .. } | Verdict::MayHaveRun { reason }) => {
                refused += 1;
                let money = !matches!(reason, Reason::TooLate | Reason::Overloaded);
                let fits = spent[arrival.customer] + arrival.prompt + arrival.tokens
                    <= prepaid[arrival.customer];
                false_refusals += u64::from(money && fits);
            }
            None => {}
        }
    }
    let over = spent
        .iter()
        .zip(prepaid)
        .filter(|(spent, prepaid)| spent > prepaid)
        .count();
    let (mut held, mut billed) = (0, 0);
    for customer in 0..CUSTOMERS {
        let name = format!("c{customer}");
        let Stream::Shard(shard) = Stream::of_customer(&name) else {
            unreachable!()
        };
        let ledger = fleet.nodes[2].ledger(shard);
        let budget = ledger.budget(ledger.find(&name).unwrap()).unwrap();
        held += budget.held().0;
        billed += budget.billed().0;
    }
    let seconds = fleet.now as f64 / 1_000.0;
    println!(
        "{:<8} {:<16} {witnessed:<9} ran={ran:<6} refused={refused:<6} false={false_refusals:<6} \
         overspent={over} held={held:<9} billed={billed:<9} appends/s={:.2} bytes/s={:.0} calls/s={:.1}",
        format!("{case:?}"),
        name(sizing),
        fleet.appends as f64 / seconds,
        fleet.append_bytes as f64 / seconds,
        fleet.calls as f64 / seconds,
    );
}

fn name(sizing: Sizing) -> String {
    match sizing {
        Sizing::Fixed(Tokens(chunk)) => format!("fixed-{chunk}"),
        Sizing::Demand(Millis(horizon)) => format!("demand-{}s", horizon / 1_000),
        Sizing::Thin(Millis(horizon)) => format!("thin-{}s", horizon / 1_000),
    }
}

fn main() {
    let sizings = [
        Sizing::Fixed(Tokens(10_000)),
        Sizing::Fixed(Tokens(1_000_000)),
        Sizing::Demand(Millis(600_000)),
        Sizing::Thin(Millis(600_000)),
        Sizing::Thin(Millis(3_600_000)),
    ];
    std::thread::scope(|scope| {
        for case in [Case::NoFault, Case::Cut, Case::Thin] {
            for sizing in sizings {
                scope.spawn(move || run(sizing, true, case));
            }
            scope.spawn(move || run(Sizing::default(), false, case));
        }
    });
}
