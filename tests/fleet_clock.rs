//! The time of day that hosts agree on: from how many, how nearly, and for how long.

use lanedeck::boot_clock::Reading;
use lanedeck::gateway::clock::{Clock, Readings};
use lanedeck::units::Millis;

const NOW: Millis = Millis(1_000_000);
const WALL: u64 = 1_800_000_000_000;
const BOOT: u64 = 7;

fn told(wall: u64) -> Readings {
    Readings {
        boot: None,
        wall: Some(Millis(wall)),
    }
}

/// A clock that these hosts have told the same time of day.
fn told_by(hosts: &[&str]) -> Clock {
    let mut clock = Clock::new(None);
    for host in hosts {
        clock.note(host, NOW, &told(WALL));
    }
    clock
}

/// What is agreed on where hosts are so many milliseconds off.
fn agreed(off: &[i64]) -> Option<u64> {
    let mut clock = Clock::new(None);
    for (number, off) in off.iter().enumerate() {
        let wall = WALL.saturating_add_signed(*off);
        clock.note(&format!("h{number}"), NOW, &told(wall));
    }
    let offset = clock.agreed(NOW)?;
    Some(offset.wall(NOW).0)
}

#[test]
fn most_agree() {
    assert_eq!(agreed(&[0, 0]), None, "two say nothing of who is right");
    assert_eq!(agreed(&[0, 20, -30]), Some(WALL));
    assert_eq!(agreed(&[0, 0, 2_000]), None, "two of three");
    assert_eq!(agreed(&[0, 0, 0, 2_000]), Some(WALL));
    assert_eq!(agreed(&[-9_000, 0, 0, 0]), Some(WALL));
    assert_eq!(agreed(&[0, 0, 0, 2_000, 2_000]), None, "three of five");
    assert_eq!(agreed(&[0, 400, 800]), None, "none is near another");
}

/// Few of a large fleet may all be wrong; of a small one most are needed, and not those that are down.
#[test]
fn enough_hosts() {
    let agreed = |fleet, hosts: usize| {
        let mut clock = Clock::new(None);
        clock.set_fleet(fleet);
        for number in 0..hosts {
            clock.note(&format!("h{number}"), NOW, &told(WALL));
        }
        assert_eq!(clock.offset(NOW), clock.agreed(NOW));
        clock.agreed(NOW).is_some()
    };
    assert!(!agreed(295, 11));
    assert!(agreed(295, 12));
    assert!(!agreed(7, 5));
    assert!(agreed(7, 6));
    assert!(!agreed(2, 2));
}

#[test]
fn old_news() {
    let clock = told_by(&["h1", "h2", "h3"]);
    let later = NOW + Millis(5_000);
    let offset = clock.agreed(later).unwrap();
    assert_eq!(offset.wall(later).0, WALL + 5_000);
    assert_eq!(clock.agreed(NOW + Millis(8_000)), None);
}

/// A router that hears of nobody any more, or of hosts that differ, knows what they agreed on by its steady clock.
#[test]
fn last_agreement() {
    let mut clock = told_by(&["h1", "h2", "h3"]);
    let later = NOW + Millis(59_000);
    assert_eq!(clock.offset(later).unwrap().wall(later).0, WALL + 59_000);
    assert_eq!(clock.offset(NOW + Millis(60_000)), None);
    for host in ["h1", "h2"] {
        clock.note(host, NOW, &told(WALL + 9_000));
    }
    assert_eq!(clock.agreed(NOW), None);
    assert_eq!(clock.offset(NOW).unwrap().wall(NOW).0, WALL);
    clock.set_fleet(5);
    assert_eq!(
        clock.offset(NOW),
        None,
        "three are too few of a larger fleet"
    );
}

/// A host whose time of day is set counts with what it told last.
#[test]
fn told_again() {
    let mut clock = told_by(&["h1", "h2", "h3", "h4"]);
    clock.note("h1", NOW, &told(WALL + 5_000));
    assert_eq!(clock.offset(NOW).unwrap().wall(NOW).0, WALL);
    clock.note("h2", NOW, &told(WALL + 9_000));
    assert_eq!(clock.agreed(NOW), None);
}

#[test]
fn boot_ids() {
    let read = |boot, at| Readings {
        boot: Some(Reading { boot, at }),
        wall: None,
    };
    let mut clock = Clock::new(Some(BOOT));
    clock.note("h1", NOW, &read(BOOT, NOW + Millis(300)));
    assert!(clock.tells_boots(), "the same clock");
    clock.note("h2", NOW, &read(BOOT + 1, NOW + Millis(9_000)));
    assert!(clock.tells_boots(), "another boot");
    clock.note("h3", NOW, &read(BOOT, NOW + Millis(9_000)));
    assert!(!clock.tells_boots(), "two clocks of one boot");
}
