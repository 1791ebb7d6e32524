//! The slots of a target with a rejection limit across a fleet: who owns them, how views that differ add up, and which
//! requests enter, wait or are refused.

mod fleet;
mod listed;

use fleet::{HEARTBEAT, NOW, members, router};
use lanedeck::gateway::decision::slots::{Entry, Line, WAIT_MAX, WITHHELD_FOR, owned};
use lanedeck::gateway::key::TargetKey;
use lanedeck::gateway::members::Members;
use lanedeck::gateway::notice::{Notice, Rejections};
use lanedeck::gateway::slots::{End, LeaseId, Occupancy};
use lanedeck::gateway::targets::{Change, Targets};
use lanedeck::units::Millis;

const KEY: TargetKey = TargetKey(0);
const LEFT: Millis = Millis(1_500);

const LIMITED: Notice = Notice {
    rate_limit: Ok(None),
    rejection_limit: Ok(Some(Rejections(1))),
    is_leaving: Ok(false),
    retry_after: Ok(None),
};

fn targets(slots: u32) -> Targets {
    let mut targets = listed::targets(3, slots);
    targets.apply_notice(NOW, KEY, NOW, &LIMITED);
    targets
}

/// The slots of a target that all routers own, each with the others that `knows` names.
fn owned_by_all(routers: u16, slots: u32, knows: impl Fn(u16, u16) -> bool) -> u32 {
    let own = |me: u16| {
        let others = (0..routers).filter(|other| *other != me && knows(me, *other));
        let members = members(me, others);
        owned(slots, members.count(), members.place(NOW, "i-0"))
    };
    (0..routers).map(own).sum()
}

#[test]
fn each_slot_has_one_owner() {
    for routers in [1, 24, 72, 350, 985] {
        for slots in [1, 4, 6, 48] {
            let sum = owned_by_all(routers, slots, |_, _| true);
            assert_eq!(sum, slots, "{routers} routers");
        }
    }
}

/// A router that others have not read yet owns nothing, so a slot has no second owner while routers join.
#[test]
fn newcomers_own_nothing() {
    let mut members = Members::new(router(0), HEARTBEAT);
    assert_eq!(owned(6, 1, members.place(NOW, "i-0")), 0);
    members.record_write(NOW);
    assert_eq!(owned(6, 1, members.place(NOW + HEARTBEAT, "i-0")), 0);
    let settled = NOW + Millis(3 * HEARTBEAT.0);
    assert_eq!(owned(6, 1, members.place(settled, "i-0")), 6);
}

/// A router that has written its own entry and could not read those of others owns nothing, however long that lasts.
#[test]
fn strangers_own_nothing() {
    let mut targets = targets(6);
    let mut members = Members::new(router(0), HEARTBEAT);
    members.record_write(Millis::ZERO);
    assert_eq!(targets.line(NOW, &members, KEY).owned, 0);
    members.record_entries(members.count());
    let later = NOW + HEARTBEAT;
    assert_eq!(targets.line(later, &members, KEY).owned, 6);
}

/// Routers that have fallen silent keep their slots, so those that others have lost sight of add nothing.
#[test]
fn silence_moves_no_slots() {
    let mut all = members(0, 1..24);
    let own = owned(4, all.count(), all.place(NOW, "i-0"));
    all.record_read(NOW);
    let later = NOW + Millis(30_000);
    assert_eq!(owned(4, all.count(), all.place(later, "i-0")), own);
    assert!(all.live_first(later, "i-0", 4).is_empty());
}

/// The owners that a router asks are those that own the slots.
#[test]
fn owners_are_asked() {
    for routers in [2, 24, 350] {
        let asking = members(0, 1..routers);
        let asked = asking.live_first(NOW, "i-0", 6);
        for owner in asked {
            let number: u16 = owner.name[1..].parse().unwrap();
            let others = (0..routers).filter(|other| *other != number);
            let members = members(number, others);
            assert!(owned(6, members.count(), members.place(NOW, "i-0")) > 0);
        }
    }
}

fn line(occupied: u32, waiting: u32) -> Line {
    Line {
        owned: 2,
        withheld: 0,
        occupied,
        waiting,
        work: Millis(60),
    }
}

#[test]
fn enters_waits_or_is_refused() {
    assert_eq!(line(1, 0).enter(LEFT), Entry::Enter);
    assert_eq!(line(1, 1).enter(LEFT), Entry::Wait, "others are ahead");
    assert_eq!(line(2, 0).enter(LEFT), Entry::Wait);
    let after = Millis(330);
    assert_eq!(line(2, 10).enter(LEFT), Entry::Busy { after });
    assert!(after > WAIT_MAX);
    let after = Millis(30);
    assert_eq!(line(2, 0).enter(Millis(80)), Entry::Busy { after });
    let withheld = Line {
        withheld: 2,
        ..line(0, 0)
    };
    assert!(matches!(withheld.enter(LEFT), Entry::Busy { .. }));
}

/// A slot in which a request was rejected is not used again at once, so that a target with less room than it states
/// rejects a few requests and not one after the other.
#[test]
fn rejection_withholds_slot() {
    let (mut targets, alone) = (targets(2), members(0, 0..0));
    targets.take_slot(KEY);
    targets.free_slot(NOW, KEY, NOW, NOW + LEFT, Occupancy::Rejected);
    assert_eq!(targets.line(NOW, &alone, KEY).withheld, 1);
    let later = NOW + WITHHELD_FOR;
    assert_eq!(targets.expire_slots(later), [KEY]);
    assert_eq!(targets.line(later, &alone, KEY).withheld, 0);
}

/// A target may go on with a request whose caller has left, so its slot stays in use until the request has to end.
#[test]
fn abandoned_request_keeps_slot() {
    let (mut targets, alone) = (targets(2), members(0, 0..0));
    targets.take_slot(KEY);
    targets.free_slot(NOW, KEY, NOW, NOW + LEFT, Occupancy::Unknown);
    assert_eq!(targets.line(NOW, &alone, KEY).occupied, 1);
    targets.expire_slots(NOW + LEFT);
    assert_eq!(targets.line(NOW + LEFT, &alone, KEY).occupied, 0);
}

/// A lease ends by its router's report or with its request's deadline, whichever comes first.
#[test]
fn leases_end() {
    let (mut targets, alone) = (targets(2), members(0, 0..0));
    let instance = targets.get(KEY).hash();
    let end = |lease| End {
        instance,
        lease,
        occupancy: Occupancy::Ended,
    };
    let (first, second) = (LeaseId(1), LeaseId(2));
    targets.lease_slot(NOW, KEY, first, NOW + LEFT);
    targets.lease_slot(NOW, KEY, second, NOW + LEFT);
    assert!(!targets.line(NOW, &alone, KEY).has_free_slot());
    assert_eq!(targets.end_lease(NOW, &end(first)), Some(KEY));
    assert_eq!(targets.end_lease(NOW, &end(first)), None, "told twice");
    assert_eq!(targets.expire_slots(NOW + LEFT), [KEY]);
    assert_eq!(targets.end_lease(NOW + LEFT, &end(second)), None);
    assert_eq!(targets.line(NOW + LEFT, &alone, KEY).occupied, 0);
}

/// Attempts from before the limit was known use slots, too.
#[test]
fn earlier_attempts_count() {
    let (mut targets, alone) = (targets(2), members(0, 0..0));
    targets.begin(NOW, KEY, 0);
    targets.begin(NOW, KEY, 0);
    assert!(!targets.line(NOW, &alone, KEY).has_free_slot());
    targets.end(KEY);
    assert!(targets.line(NOW, &alone, KEY).has_free_slot());
}

/// A target that has failed is back as another incarnation, of which nothing is known; it must not be filled.
#[test]
fn restarted_target_needs_slots() {
    let mut targets = targets(4);
    let restarted = lanedeck::gateway::dialect::Listing {
        instance: "i-0@7".into(),
        ..targets.get(KEY).listing.clone()
    };
    assert!(matches!(targets.list(restarted), Change::Restarted { .. }));
    let key = targets.by_hash(targets.get(TargetKey(3)).hash()).unwrap();
    assert!(targets.needs_slot(key));
    let later = NOW + Millis(100);
    targets.apply_notice(later, key, NOW, &Notice::default());
    assert!(!targets.needs_slot(key), "it has answered without a limit");
}
