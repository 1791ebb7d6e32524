//! The time of day that hosts agree on: how many hosts it takes, how close their times must be, and how long the result
//! is valid.

use lanedeck::boot_clock::Reading;
use lanedeck::gateway::clock::{Clock, Readings};
use lanedeck::units::Millis;

const NOW: Millis = Millis(1_000_000);
const WALL: u64 = 1_800_000_000_000;
const BOOT: u64 = 7;

fn wall_reading(wall: u64) -> Readings {
    Readings {
        boot: None,
        wall: Some(Millis(wall)),
    }
}

/// A clock that has received the same time of day from each of these hosts.
fn clock_read_from(hosts: &[&str]) -> Clock {
    let mut clock = Clock::new(None);
    for host in hosts {
        clock.record(host, NOW, &wall_reading(WALL));
    }
    clock
}

/// The time of day agreed on by hosts whose clocks are off by these numbers of milliseconds.
fn agreed(errors: &[i64]) -> Option<u64> {
    let mut clock = Clock::new(None);
    for (number, error) in errors.iter().enumerate() {
        let wall = WALL.saturating_add_signed(*error);
        clock.record(&format!("h{number}"), NOW, &wall_reading(wall));
    }
    let offset = clock.agreed(NOW)?;
    Some(offset.wall(NOW).0)
}

#[test]
fn most_agree() {
    assert_eq!(
        agreed(&[0, 0]),
        None,
        "two hosts do not show which one is right"
    );
    assert_eq!(agreed(&[0, 20, -30]), Some(WALL));
    assert_eq!(agreed(&[0, 0, 2_000]), None, "two of three is too few");
    assert_eq!(agreed(&[0, 0, 0, 2_000]), Some(WALL));
    assert_eq!(agreed(&[-9_000, 0, 0, 0]), Some(WALL));
    assert_eq!(
        agreed(&[0, 0, 0, 2_000, 2_000]),
        None,
        "three of five is too few"
    );
    assert_eq!(agreed(&[0, 400, 800]), None, "no two are close enough");
}

/// A large fleet needs a fixed number of hosts, since a few may all be wrong; a small fleet needs most of its hosts,
/// but not those that are down.
#[test]
fn enough_hosts() {
    let agreed = |fleet, hosts: usize| {
        let mut clock = Clock::new(None);
        clock.set_fleet_size(fleet);
        for number in 0..hosts {
            clock.record(&format!("h{number}"), NOW, &wall_reading(WALL));
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
fn expired_readings() {
    let clock = clock_read_from(&["h1", "h2", "h3"]);
    let later = NOW + Millis(5_000);
    let offset = clock.agreed(later).unwrap();
    assert_eq!(offset.wall(later).0, WALL + 5_000);
    assert_eq!(clock.agreed(NOW + Millis(8_000)), None);
}

/// A router that gets no more readings, or readings that differ, continues the last agreed time by its steady clock.
#[test]
fn last_agreement() {
    let mut clock = clock_read_from(&["h1", "h2", "h3"]);
    let later = NOW + Millis(59_000);
    assert_eq!(clock.offset(later).unwrap().wall(later).0, WALL + 59_000);
    assert_eq!(clock.offset(NOW + Millis(60_000)), None);
    for host in ["h1", "h2"] {
        clock.record(host, NOW, &wall_reading(WALL + 9_000));
    }
    assert_eq!(clock.agreed(NOW), None);
    assert_eq!(clock.offset(NOW).unwrap().wall(NOW).0, WALL);
    clock.set_fleet_size(5);
    assert_eq!(
        clock.offset(NOW),
        None,
        "three hosts are too few for a larger fleet"
    );
}

/// Only a host's last reading counts, also after its time of day was set.
#[test]
fn newest_reading_counts() {
    let mut clock = clock_read_from(&["h1", "h2", "h3", "h4"]);
    clock.record("h1", NOW, &wall_reading(WALL + 5_000));
    assert_eq!(clock.offset(NOW).unwrap().wall(NOW).0, WALL);
    clock.record("h2", NOW, &wall_reading(WALL + 9_000));
    assert_eq!(clock.agreed(NOW), None);
}

#[test]
fn boot_ids() {
    let read = |boot, at| Readings {
        boot: Some(Reading { boot, at }),
        wall: None,
    };
    let mut clock = Clock::new(Some(BOOT));
    clock.record("h1", NOW, &read(BOOT, NOW + Millis(300)));
    assert!(clock.is_boot_id_unique(), "the same clock");
    clock.record("h2", NOW, &read(BOOT + 1, NOW + Millis(9_000)));
    assert!(clock.is_boot_id_unique(), "another boot");
    clock.record("h3", NOW, &read(BOOT, NOW + Millis(9_000)));
    assert!(!clock.is_boot_id_unique(), "two clocks of one boot");
}
