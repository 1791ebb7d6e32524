//! When a router counts as partitioned from the targets.

use lanedeck::gateway::decision::reachability::Probe::{Opened, Refused, TimedOut};
use lanedeck::gateway::decision::reachability::Reachability::{Partitioned, Reachable};
use lanedeck::gateway::decision::reachability::{Pooled, judge};

#[test]
fn lost_path() {
    let stale = Partitioned(Pooled::Stale);
    assert_eq!(judge(Reachable, &[TimedOut, TimedOut, TimedOut]), stale);
    assert_eq!(judge(Reachable, &[TimedOut, Refused, Refused]), stale);
    let usable = Partitioned(Pooled::Usable);
    assert_eq!(judge(Reachable, &[Refused, Refused, Refused]), usable);
    assert_eq!(judge(Reachable, &[Refused, Refused]), usable);
}

/// Targets that crashed are not taken for a partition.
#[test]
fn crashed_targets() {
    assert_eq!(judge(Reachable, &[Opened, Refused, Refused]), Reachable);
    assert_eq!(judge(Reachable, &[Refused]), Reachable);
    assert_eq!(judge(Reachable, &[]), Reachable);
}

/// One target that answers does not end a partition, and one that does not answer does not prolong it.
#[test]
fn path_back() {
    let partitioned = Partitioned(Pooled::Stale);
    let one = [Opened, TimedOut, TimedOut];
    assert_eq!(judge(partitioned, &one), partitioned);
    let most = [Opened, Opened, TimedOut];
    assert_eq!(judge(partitioned, &most), Reachable);
    assert_eq!(judge(partitioned, &[]), Reachable);
}

/// New connections that are refused instead of timing out leave the open ones usable.
#[test]
fn changed_kind() {
    let refused = [Refused, Refused, Refused];
    let before = Partitioned(Pooled::Stale);
    assert_eq!(judge(before, &refused), Partitioned(Pooled::Usable));
}
