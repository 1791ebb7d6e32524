//! Which requests are quarantined because of crashes of targets, and which are not.

use std::collections::BTreeSet;

use arbtest::arbtest;
use lanedeck::gateway::fingerprint::Fingerprint;
use lanedeck::gateway::message::Request;
use lanedeck::gateway::quarantine::{BrokenAttempt, Quarantine, RETENTION, Report};
use lanedeck::units::Millis;
use lanedeck::util;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const START: Millis = Millis(10_000_000);

fn at(ms: u64) -> Millis {
    START + Millis(ms)
}

fn request(number: u64) -> Fingerprint {
    of_customer(1, number)
}

fn of_customer(customer: u64, request: u64) -> Fingerprint {
    Fingerprint { customer, request }
}

/// Crashes a target 100 ms after the requests were sent there.
fn crash(quarantine: &mut Quarantine, ms: u64, instance: u64, requests: &[Fingerprint]) {
    for fingerprint in requests {
        quarantine.note_broken(
            at(ms),
            BrokenAttempt {
                fingerprint: *fingerprint,
                instance,
                sent: at(ms - 100),
            },
        );
    }
    quarantine.note_crash(at(ms), instance);
}

fn is_held(quarantine: &Quarantine, ms: u64, request: Fingerprint) -> bool {
    quarantine.hold(at(ms), request).is_some()
}

#[test]
fn third_in_a_row() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        assert!(!is_held(&quarantine, 5_000, request(7)), "{number}");
        crash(&mut quarantine, 1_000 * number, number, &[request(7)]);
    }
    let hold = quarantine.hold(at(5_000), request(7)).unwrap();
    assert_eq!((hold.crashes, hold.last), (3, at(3_000)));
    assert_eq!(hold.left(at(5_000)), Millis(RETENTION.0 - 2_000));
    assert!(
        !is_held(&quarantine, 5_000, request(8)),
        "other requests are not quarantined"
    );
    let ended = 3_000 + RETENTION.0;
    assert!(
        !is_held(&quarantine, ended, request(7)),
        "the quarantine ends"
    );
}

/// Attempts in flight when a request is quarantined may still crash targets. These crashes do not evict the earlier
/// ones.
#[test]
fn under_way_meanwhile() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        crash(&mut quarantine, 1_000 * number, number, &[request(7)]);
    }
    for number in 4..=20 {
        crash(&mut quarantine, 3_000 + number, number, &[request(7)]);
        assert!(is_held(&quarantine, 3_100, request(7)), "{number}");
    }
}

#[test]
fn connection_alone() {
    let mut quarantine = Quarantine::default();
    for number in 1..=9 {
        let broken = BrokenAttempt {
            fingerprint: request(7),
            instance: number,
            sent: at(1_000 * number),
        };
        quarantine.note_broken(at(1_000 * number + 50), broken);
    }
    assert!(
        !is_held(&quarantine, 9_500, request(7)),
        "no target crashed"
    );
    quarantine.note_crash(at(20_000), 9);
    assert!(
        quarantine.next_reports(at(20_000)).is_empty(),
        "a crash long after the attempt is not attributed to it"
    );
}

/// A failed rack, a partition or reset connections end everything in flight at once, including many attempts of one
/// request. All of these count as one crash.
#[test]
fn all_at_once() {
    let mut quarantine = Quarantine::default();
    for number in 1..=20 {
        crash(&mut quarantine, 1_000 + number, number, &[request(7)]);
    }
    assert!(
        !is_held(&quarantine, 2_000, request(7)),
        "simultaneous crashes count once"
    );
}

#[test]
fn answered_is_cleared() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1_000, 1, &[request(7)]);
    crash(&mut quarantine, 2_000, 2, &[request(7)]);
    quarantine.note_answered(at(2_500), request(7));
    for number in 3..=9 {
        crash(&mut quarantine, 1_000 * number, number, &[request(7)]);
    }
    assert!(!is_held(&quarantine, 9_500, request(7)));
    // The same if it succeeded before the first crash.
    quarantine.note_answered(at(10_000), request(8));
    for number in 11..=19 {
        crash(&mut quarantine, 1_000 * number, number, &[request(8)]);
    }
    assert!(!is_held(&quarantine, 20_000, request(8)));
}

#[test]
fn answered_elsewhere() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    for number in 1..=3 {
        crash(&mut here, 1_000 * number, number, &[request(7)]);
    }
    assert!(is_held(&here, 3_100, request(7)));
    there.note_answered(at(500), request(7));
    for report in here.next_reports(at(3_100)) {
        there.merge(at(3_100), &report);
    }
    assert!(!is_held(&there, 3_100, request(7)));
    for report in there.next_reports(at(3_200)) {
        here.merge(at(3_200), &report);
    }
    assert!(
        !is_held(&here, 3_200, request(7)),
        "the router that reported the crashes learns of the success"
    );
    // Late reports of a router that was cut off do not restore the quarantine.
    let mut late = Quarantine::default();
    for number in 1..=3 {
        crash(&mut late, 1_000 * number, number, &[request(7)]);
    }
    for report in late.next_reports(at(60_000)) {
        here.merge(at(60_000), &report);
    }
    assert!(!is_held(&here, 60_000, request(7)));
}

#[test]
fn beside_the_cause() {
    let (cause, other) = (request(7), request(8));
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1_000, 1, &[cause]);
    for number in 2..=4 {
        crash(&mut quarantine, 1_000 * number, number, &[cause, other]);
    }
    assert!(is_held(&quarantine, 4_500, cause));
    assert!(
        !is_held(&quarantine, 4_500, other),
        "the other request explains the crashes"
    );
    for number in 5..=7 {
        crash(&mut quarantine, 1_000 * number, number, &[other]);
    }
    assert!(
        is_held(&quarantine, 7_500, other),
        "it also crashes targets alone"
    );
}

#[test]
fn always_together() {
    let both = [request(7), request(8)];
    let mut quarantine = Quarantine::default();
    for number in 1..=4 {
        crash(&mut quarantine, 1_000 * number, number, &both);
        assert!(both.iter().all(|one| !is_held(&quarantine, 4_500, *one)));
    }
    crash(&mut quarantine, 5_000, 5, &both);
    assert!(both.iter().all(|one| is_held(&quarantine, 5_500, *one)));
}

/// A customer that invents requests which crash targets neither exhausts memory nor evicts other customers' entries.
#[test]
fn invented_requests() {
    let mut quarantine = Quarantine::default();
    let victim = of_customer(2, 7);
    crash(&mut quarantine, 1_000, 1, &[victim]);
    crash(&mut quarantine, 2_000, 2, &[victim]);
    for number in 3..20_000 {
        crash(
            &mut quarantine,
            2_000 + number,
            number,
            &[of_customer(1, number)],
        );
    }
    let reports = quarantine.next_reports(at(30_000));
    let bytes = util::encode(&Request::Suspects(reports)).len();
    assert!(bytes < 600, "{bytes} bytes are sent in a round");
    crash(&mut quarantine, 40_000, 30_000, &[victim]);
    assert!(
        is_held(&quarantine, 40_100, victim),
        "its earlier crashes are still known"
    );
}

/// Ages in the store may come from any writer. Absurd ones neither overflow nor quarantine a request.
#[test]
fn ages_without_bounds() {
    let mut here = Quarantine::default();
    for number in 1..=3 {
        crash(&mut here, 1_000 * number, number, &[request(7)]);
    }
    let mut there = Quarantine::default();
    for mut report in here.next_reports(at(3_100)) {
        for crash in &mut report.crashes {
            crash.ago = Millis(u64::MAX);
            crash.sent_ago = Millis(u64::MAX - 1);
        }
        there.merge(at(3_100), &report.aged(Millis(10)));
    }
    assert!(!is_held(&there, 3_100, request(7)));
}

/// Routers converge on the same state whatever the order and number of reports.
#[test]
fn any_order() {
    arbtest(|u| {
        let mut sources = [Quarantine::default(), Quarantine::default()];
        for number in 1..=u.int_in_range(1..=12)? {
            let requests: [bool; 3] = u.arbitrary()?;
            let in_flight: Vec<Fingerprint> = (0..3)
                .filter(|one| requests[*one])
                .map(|one| request(one as u64))
                .collect();
            let source = &mut sources[usize::from(u.arbitrary::<bool>()?)];
            if u.ratio(1, 8)? {
                source.note_answered(at(1_000 * number), request(0));
            } else {
                crash(source, 1_000 * number, number, &in_flight);
            }
        }
        let now = at(20_000);
        let mut reports: Vec<Report> = Vec::new();
        for source in &mut sources {
            reports.extend(source.next_reports(now));
        }
        let mut views = [Quarantine::default(), Quarantine::default()];
        for report in &reports {
            views[0].merge(now, report);
        }
        for _ in 0..reports.len() * 4 {
            if !reports.is_empty() {
                let one = u.choose_index(reports.len())?;
                views[1].merge(now, &reports[one]);
            }
        }
        for report in reports.iter().rev() {
            views[1].merge(now, report);
        }
        let held = |view: &Quarantine| view.holds().keys().copied().collect::<BTreeSet<_>>();
        assert_eq!(held(&views[0]), held(&views[1]));
        Ok(())
    });
}

/// A fleet of 295 routers quarantines a request within two seconds, although each crash was seen by a different router.
#[test]
fn large_fleet() {
    const ROUTERS: usize = 295;
    const ROUND: u64 = 300;
    let mut random = StdRng::seed_from_u64(1);
    let mut fleet: Vec<Quarantine> = (0..ROUTERS).map(|_| Quarantine::default()).collect();
    for number in 1..=3 {
        crash(
            &mut fleet[number as usize * 50],
            1_000 + number * 200,
            number,
            &[request(7)],
        );
    }
    let (mut ms, mut bytes) = (1_600, 0);
    while !fleet.iter().all(|one| is_held(one, ms, request(7))) {
        ms += ROUND;
        assert!(ms <= 3_600, "not all routers know after two seconds");
        for sender in 0..ROUTERS {
            let reports = fleet[sender].next_reports(at(ms));
            for _ in 0..3 {
                bytes += util::encode(&reports).len();
                let other = random.random_range(0..ROUTERS);
                for report in &reports {
                    fleet[other].merge(at(ms), report);
                }
            }
        }
    }
    assert!(bytes / ROUTERS < 2_000, "{bytes} bytes sent in total");
}

fn block(id: u64) -> Fingerprint {
    Fingerprint::of_block(id)
}

/// Requests of which no two are alike share one block, and others share their first one.
#[test]
fn common_block() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        let at_crash = [request(number), block(1), block(10 + number), block(7)];
        crash(&mut quarantine, 1_000 * number, number, &at_crash);
        quarantine.note_answered(at(1_000 * number + 500), block(1));
    }
    assert!(is_held(&quarantine, 5_000, block(7)));
    for other in [block(1), block(11), block(12), block(13), request(1)] {
        assert!(!is_held(&quarantine, 5_000, other), "{other}");
    }
}

/// An answer clears a block of earlier crashes only.
#[test]
fn block_turns_bad() {
    let mut quarantine = Quarantine::default();
    quarantine.note_answered(at(500), block(7));
    for number in 1..=3 {
        crash(&mut quarantine, 1_000 * number, number, &[block(7)]);
    }
    assert!(is_held(&quarantine, 5_000, block(7)));
    quarantine.note_answered(at(5_100), block(7));
    assert!(!is_held(&quarantine, 5_200, block(7)));
}

/// A block in each of a request's crashes is explained by the request.
#[test]
fn block_of_request() {
    let mut quarantine = Quarantine::default();
    for number in 1..=6 {
        let at_crash = [request(1), block(7)];
        crash(&mut quarantine, 1_000 * number, number, &at_crash);
    }
    assert!(is_held(&quarantine, 8_000, request(1)));
    assert!(!is_held(&quarantine, 8_000, block(7)));
}

/// A block in more crashes than a repeated request explains them.
#[test]
fn request_of_block() {
    let mut quarantine = Quarantine::default();
    for number in 1..=5 {
        let own = if number <= 3 { 1 } else { number };
        let at_crash = [request(own), block(7)];
        crash(&mut quarantine, 1_000 * number, number, &at_crash);
    }
    assert!(is_held(&quarantine, 8_000, block(7)));
}

/// Routers that each see some of a block's crashes quarantine it from each other's reports.
#[test]
fn block_at_several_routers() {
    let mut routers = [Quarantine::default(), Quarantine::default()];
    for number in 1..=4 {
        let router = &mut routers[number as usize % 2];
        crash(router, 1_000 * number, number, &[request(number), block(7)]);
        let reports = router.next_reports(at(1_000 * number));
        let other = &mut routers[(number as usize + 1) % 2];
        for report in reports {
            let encoded = util::encode(&report);
            other.merge(at(1_000 * number + 50), &util::decode(&encoded).unwrap());
        }
    }
    for router in &routers {
        assert!(is_held(router, 5_000, block(7)));
    }
}

/// A block that has been answered again and again is not held for crashes while nothing is answered.
#[test]
fn proven_block() {
    let mut quarantine = Quarantine::default();
    for second in 0..10 {
        quarantine.note_answered(at(1_000 * second), block(1));
    }
    for number in 10..=20 {
        crash(&mut quarantine, 1_000 * number, number, &[block(1)]);
    }
    assert!(!is_held(&quarantine, 21_000, block(1)));
}

#[test]
fn common_block_beside_crashes() {
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        quarantine.note_answered(at(1_000 * second), block(1));
    }
    for number in 3..=6 {
        crash(&mut quarantine, 1_000 * number, number, &[block(1)]);
        assert!(!is_held(&quarantine, 7_000, block(1)), "{number}");
    }
    crash(&mut quarantine, 8_000, 8, &[block(1)]);
    assert!(is_held(&quarantine, 8_000, block(1)));
}

/// A held block is tried five seconds after a burst of crashes, and once a minute after a crash in a trial.
#[test]
fn block_trial() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        crash(&mut quarantine, 1_000 * number, number, &[block(7)]);
    }
    assert!(is_held(&quarantine, 5_000, block(7)));
    assert!(!quarantine.begin_trial(at(7_999), &[block(7)], 0));
    assert!(quarantine.begin_trial(at(8_000), &[block(7)], 0));
    assert!(!quarantine.begin_trial(at(12_999), &[block(7)], 0));
    crash(&mut quarantine, 13_000, 4, &[block(7)]);
    assert!(!quarantine.begin_trial(at(72_999), &[block(7)], 0));
    assert!(quarantine.begin_trial(at(73_000), &[block(7)], 0));
    assert!(!quarantine.begin_trial(at(132_999), &[block(7)], 0));
    assert!(quarantine.begin_trial(at(133_000), &[block(7)], 0));
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        crash(&mut quarantine, 1_000 * number, number, &[request(7)]);
    }
    assert!(is_held(&quarantine, 5_000, request(7)));
    assert!(!quarantine.begin_trial(at(90_000), &[request(7)], 0));
}

/// Two blocks that were together in each of so many crashes.
fn together(crashes: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 1..=crashes {
        let at_crash = [request(number), block(1), block(7)];
        crash(&mut quarantine, 1_000 * number, number, &at_crash);
    }
    quarantine
}

#[test]
fn tied_blocks_are_told_apart() {
    let mut quarantine = together(5);
    for tied in [block(1), block(7)] {
        assert!(is_held(&quarantine, 5_000, tied), "{tied}");
    }
    let (first, both) = ([request(8), block(1)], [block(1), block(7)]);
    assert_eq!(
        quarantine.refused_for(at(6_000), &first),
        Some(Millis(5_000))
    );
    assert_eq!(
        quarantine.refused_for(at(6_000), &both),
        Some(Millis(RETENTION.0 - 1_000))
    );
    assert!(!quarantine.begin_trial(at(9_999), &first, 0));
    assert!(
        !quarantine.begin_trial(at(12_000), &first, 1),
        "others wait longer"
    );
    assert!(
        !quarantine.begin_trial(at(30_000), &both, 0),
        "a request with both tells nothing"
    );
    assert!(quarantine.begin_trial(at(30_000), &first, 0));
    assert!(!quarantine.begin_trial(at(34_999), &first, 0));
    quarantine.note_answered(at(35_000), block(1));
    assert!(!is_held(&quarantine, 35_000, block(1)));
    assert!(is_held(&quarantine, 35_000, block(7)));
    let last = [block(7)];
    assert!(
        !quarantine.begin_trial(at(64_999), &last, 0),
        "others are answered"
    );
    assert!(quarantine.begin_trial(at(65_000), &last, 0));
}

/// Trials that tell nothing are sent by few routers, whatever the size of the fleet.
#[test]
fn all_routers_try_block() {
    let block = [block(1)];
    let tries = |rank| together(5).begin_trial(at(300_000), &block, rank);
    let routers = (0..350).filter(|rank| tries(*rank)).count();
    assert_eq!(routers, 3);
}

/// A router that starts later does not know what was answered.
#[test]
fn late_router_tries_block() {
    let mut late = Quarantine::default();
    for report in together(5).next_reports(at(5_100)) {
        late.merge(at(5_200), &report);
    }
    assert!(is_held(&late, 5_200, block(1)));
    assert!(!late.begin_trial(at(64_000), &[block(1)], 0));
    assert!(late.begin_trial(at(66_000), &[block(1)], 0));
}

/// A block of most prompts is also in a crash that the cause has no part in, so it has more of them.
#[test]
fn common_block_held_in_place_of_cause() {
    let mut quarantine = together(3);
    crash(&mut quarantine, 4_000, 4, &[request(4), block(1)]);
    assert!(is_held(&quarantine, 4_000, block(1)) && !is_held(&quarantine, 4_000, block(7)));
    assert!(!quarantine.begin_trial(at(30_000), &[block(1), block(7)], 0));
    assert!(!quarantine.begin_trial(at(8_999), &[block(1)], 0));
    assert!(quarantine.begin_trial(at(9_000), &[block(1)], 0));
    quarantine.note_answered(at(9_100), block(1));
    assert!(!is_held(&quarantine, 9_100, block(1)) && is_held(&quarantine, 9_100, block(7)));
}

/// Two blocks of all prompts are in doubt together, and one request clears both.
#[test]
fn common_blocks_in_one_request() {
    let mut quarantine = Quarantine::default();
    for number in 1..=5 {
        let at_crash = [block(1), block(2), block(7)];
        crash(&mut quarantine, 1_000 * number, number, &at_crash);
    }
    let common = [request(8), block(1), block(2)];
    assert!(quarantine.begin_trial(at(10_000), &common, 0));
}

/// Reports of a router that was killed are missing, so the cause is in fewer crashes than the first block.
#[test]
fn common_block_held_without_rival() {
    let mut quarantine = together(1);
    crash(&mut quarantine, 2_000, 2, &[request(2), block(1)]);
    crash(&mut quarantine, 3_000, 3, &[request(3), block(1), block(7)]);
    assert!(is_held(&quarantine, 3_000, block(1)) && !is_held(&quarantine, 3_000, block(7)));
    assert!(!quarantine.begin_trial(at(30_000), &[block(1), block(7)], 0));
    assert!(!quarantine.begin_trial(at(7_999), &[block(1)], 0));
    assert!(quarantine.begin_trial(at(8_000), &[block(1)], 0));
}

#[test]
fn trials_crash_target_after_target() {
    let mut quarantine = together(5);
    let first = [request(8), block(1)];
    assert!(quarantine.begin_trial(at(10_000), &first, 0));
    crash(&mut quarantine, 10_200, 6, &first);
    assert!(is_held(&quarantine, 10_200, block(1)) && !is_held(&quarantine, 10_200, block(7)));
    assert!(
        !quarantine.begin_trial(at(70_199), &first, 0),
        "the trial has told"
    );
    assert!(quarantine.begin_trial(at(70_200), &first, 0));
}
