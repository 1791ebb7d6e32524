//! A target's advertised rate limit across all routers: whether they keep it together, how much of it they use, and
//! what ends it.

mod fleet;
mod listed;

use fleet::{HEARTBEAT, NOW, members, most_within, router};
use lanedeck::gateway::decision::share::Allocation;
use lanedeck::gateway::key::TargetKey;
use lanedeck::gateway::members::Members;
use lanedeck::gateway::notice::{Announcement, Notice, Rate, Report};
use lanedeck::gateway::targets::Targets;
use lanedeck::units::Millis;

const KEY: TargetKey = TargetKey(0);
/// Interval at which a router with more requests than its targets accept tries to send.
const STEP: Millis = Millis(25);
/// How long the routers send.
const DURATION: Millis = Millis(16_000);
/// The window in which arrivals are counted.
const WINDOW: Millis = Millis(4_000);
const LIMITS: [f64; 6] = [0.5, 1.4, 1.8, 7.0, 12.5, 50.0];

fn limited(per_second: f64) -> Notice {
    Notice {
        rate_limit: Ok(Rate::new(per_second)),
        ..Notice::default()
    }
}

/// Most requests that a target may get in a window: one and a half times its limit, plus five.
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.0 as f64 / 1_000.0 * 1.5 + 5.0) as usize
}

/// A router with one target that already knows other routers.
struct View {
    members: Members,
    targets: Targets,
}

impl View {
    fn new(me: u16, known: impl Iterator<Item = u16>) -> Self {
        let members = members(me, known);
        let mut targets = Targets::default();
        targets.list(listed::listing(0));
        Self { members, targets }
    }

    fn may_send(&self, now: Millis) -> bool {
        let barred = self.targets.barred(now, &self.members, "s");
        barred.targets.is_empty()
    }

    fn send(&mut self, now: Millis) {
        self.targets.note_send(now, &self.members, KEY);
    }

    fn hear(&mut self, now: Millis, sent: Millis, notice: &Notice) -> Option<Announcement> {
        let news = self.targets.apply_notice(now, KEY, sent, notice);
        news.first().copied()
    }

    fn merge(&mut self, now: Millis, reports: &[Report]) {
        for report in reports {
            self.targets.merge(now, report);
        }
    }
}

/// Simulates routers that learn of a target's limit within a tenth of a second and send as much as they may. Returns
/// the times at which they sent.
fn simulate(fleet: &mut [View], limit: f64) -> Vec<Millis> {
    let mut sent = Vec::new();
    let count = fleet.len() as u64;
    for (place, view) in fleet.iter_mut().enumerate() {
        let heard = NOW + Millis(place as u64 * 100 / count);
        view.hear(heard, NOW, &limited(limit));
    }
    let mut now = NOW + Millis(100);
    while now < NOW + DURATION {
        for view in fleet.iter_mut() {
            if view.may_send(now) {
                view.send(now);
                sent.push(now);
            }
        }
        now += STEP;
    }
    sent
}

#[test]
fn kept_and_used() {
    for routers in [1, 3, 8, 75, 350] {
        for limit in LIMITS {
            let others = |me: u16| (0..routers).filter(move |other| *other != me);
            let mut fleet: Vec<View> = (0..routers).map(|me| View::new(me, others(me))).collect();
            let sent = simulate(&mut fleet, limit);
            let (most, allowed) = (most_within(&sent, WINDOW), allowed(limit));
            assert!(
                most <= allowed,
                "{routers} routers, {limit}/s: {most} of {allowed}"
            );
            let per_second = sent.len() as f64 * 1_000.0 / DURATION.0 as f64;
            assert!(
                per_second >= 0.6 * limit,
                "{routers} routers, {limit}/s: {per_second} used"
            );
        }
    }
}

/// What all routers together may send does not depend on their number.
#[test]
fn allocated_once() {
    for routers in [1, 24, 72, 350, 985] {
        for requests in [1, 5, 39, 152] {
            let allocation = Allocation::new(requests, routers);
            let sum: usize = (0..routers).map(|place| allocation.quota(place)).sum();
            assert_eq!(sum, requests, "{routers} routers");
        }
    }
}

/// The limit also holds if each half of the fleet does not know the other half.
#[test]
fn kept_in_a_cut() {
    for limit in LIMITS {
        let side = |me: u16| (0..40).filter(move |other| *other != me && other % 2 == me % 2);
        let mut fleet: Vec<View> = (0..40).map(|me| View::new(me, side(me))).collect();
        let most = most_within(&simulate(&mut fleet, limit), WINDOW);
        assert!(most <= allowed(limit), "{limit}/s: {most}");
    }
}

/// The share of a router that has ended for good is allocated to others, except while this router is cut off from the
/// store and cannot know that the other has ended.
#[test]
fn shares_of_ended_routers() {
    const MINUTES: Millis = Millis(120_000);
    let mut view = View::new(0, 1..40);
    view.hear(NOW, NOW, &limited(0.5));
    let place = |view: &View, now: Millis| view.members.place(now, "i-0").unwrap();
    let among_all = place(&view, NOW + MINUTES);
    assert!(among_all > 2, "this router has no part: {among_all}");
    view.members.record_read(NOW);
    assert_eq!(place(&view, NOW + Millis(30_000)), among_all);
    assert_eq!(place(&view, NOW + MINUTES), 0);
    view.members.record_failed_read();
    assert_eq!(place(&view, NOW + MINUTES), among_all);
}

/// A router that starts sends nothing to a limited target until the other routers know of it.
#[test]
fn newcomers_wait() {
    let mut view = View::new(0, 0..0);
    view.members = Members::new(router(0), HEARTBEAT);
    view.hear(NOW, NOW, &limited(50.0));
    assert!(!view.may_send(NOW + WINDOW));
    view.members.record_write(NOW);
    assert!(!view.may_send(NOW + HEARTBEAT));
    assert!(view.may_send(NOW + WINDOW));
}

/// A target with a limit of zero still gets a request now and then, since only its answer shows that the limit has
/// ended.
#[test]
fn nothing_taken() {
    let mut view = View::new(0, 0..0);
    let sent = simulate(std::slice::from_mut(&mut view), 0.0);
    assert_eq!(sent.len(), 2, "{sent:?}");
}

#[test]
fn ends_with_answers() {
    let mut view = View::new(0, 0..0);
    let at = |millis: u64| NOW + Millis(millis);
    assert!(view.hear(at(10), at(0), &limited(0.5)).is_some());
    view.send(at(10));
    assert!(
        view.hear(at(20), at(15), &limited(0.5)).is_none(),
        "the limit has not changed"
    );
    // Sent before the limit was last confirmed, so the target may have answered before the limit began.
    assert!(view.hear(at(30), at(5), &Notice::default()).is_none());
    assert!(!view.may_send(at(40)));
    assert!(view.hear(at(60), at(50), &Notice::default()).is_some());
    assert!(view.may_send(at(60)));
    // The answer to an older request arrives late.
    assert!(view.hear(at(70), at(40), &limited(0.5)).is_none());
    assert!(view.may_send(at(70)));
    assert!(view.hear(at(90), at(80), &limited(0.5)).is_some());
    view.send(at(90));
    assert!(!view.may_send(at(90)));
}

/// A notice that cannot be parsed does not change the limit.
#[test]
fn unreadable_notice_ignored() {
    let mut view = View::new(0, 0..0);
    view.hear(NOW, NOW, &limited(0.5));
    view.send(NOW);
    let unreadable = Notice {
        rate_limit: Err(lanedeck::gateway::notice::BadNotice::Long { header: "x" }),
        ..Notice::default()
    };
    let later = NOW + Millis(10);
    assert!(view.hear(later, later, &unreadable).is_none());
    assert!(!view.may_send(later));
}

/// Reports from other routers are applied once, and never bring back a limit that has ended.
#[test]
fn reports_from_links() {
    let mut reporter = View::new(0, [1].into_iter());
    let mut other = View::new(1, [0].into_iter());
    reporter.hear(NOW, NOW, &limited(0.5));
    let limited_then = reporter.targets.reports(NOW, 0);
    other.merge(NOW, &limited_then);
    assert_eq!(other.targets.reports(NOW, 0), limited_then);
    let later = NOW + Millis(10);
    reporter.hear(later, later, &Notice::default());
    let ended_then = reporter.targets.reports(later, 0);
    other.merge(later, &ended_then);
    assert!(other.may_send(later));
    other.merge(later, &limited_then);
    assert!(other.may_send(later), "an older report changes nothing");
    // The answer to a request sent before the end was reported is outdated, too.
    assert!(other.hear(later, NOW, &limited(0.5)).is_none());
    assert!(other.may_send(later));
}

/// A router that missed an earlier limit is the first to learn of a new one. The others accept its report, although its
/// revision number is lower than theirs.
#[test]
fn behind_the_others() {
    let mut old = View::new(0, [1].into_iter());
    let mut started = View::new(1, [0].into_iter());
    old.hear(NOW, NOW, &limited(0.5));
    old.hear(NOW + Millis(10), NOW + Millis(5), &Notice::default());
    let later = NOW + Millis(60_000);
    assert!(
        old.targets.reports(later, 0).is_empty(),
        "it is no longer reported"
    );
    let mut now = later;
    for _ in 0..2 {
        started.hear(now, now, &limited(0.5));
        old.merge(now, &started.targets.reports(now, 0));
        started.merge(now, &old.targets.reports(now, 0));
        now += Millis(10);
    }
    let (sent, received) = (started.targets.reports(now, 0), old.targets.reports(now, 0));
    assert_eq!(sent, received);
    assert!(matches!(
        received[0].announcement,
        Announcement::RateLimit { limit: Some(_), .. }
    ));
}

/// Whatever notices and reports routers receive and in whatever order, they agree once each has sent its reports to
/// all.
#[test]
fn routers_agree() {
    arbtest::arbtest(|input| {
        let mut views: Vec<View> = (0..3).map(|me| View::new(me, 0..0)).collect();
        let mut now = NOW;
        let mut old = Vec::new();
        for _ in 0..input.int_in_range(1..=30)? {
            now += Millis(input.int_in_range(0..=50)?);
            let at = input.choose_index(views.len())?;
            if input.ratio(1, 2)? {
                let ago = Millis(input.int_in_range(0..=100)?);
                let notice = *input.choose(&[Notice::default(), limited(0.5), limited(2.0)])?;
                views[at].hear(now, now.saturating_sub(ago), &notice);
            } else {
                let from = input.choose_index(views.len())?;
                old.extend(views[from].targets.reports(now, 0));
                let report = *input.choose(&old).unwrap_or(&Report {
                    instance: 0,
                    announcement: Announcement::RateLimit {
                        revision: 0,
                        limit: None,
                    },
                });
                views[at].merge(now, &[report]);
            }
        }
        for from in [0, 1, 2, 0, 1, 2] {
            let reports = views[from].targets.reports(now, 0);
            views.iter_mut().for_each(|view| view.merge(now, &reports));
        }
        let final_reports: Vec<Vec<Report>> = views
            .iter()
            .map(|view| view.targets.reports(now, 0))
            .collect();
        assert!(
            final_reports
                .iter()
                .all(|reports| *reports == final_reports[0]),
            "{final_reports:?}"
        );
        Ok(())
    });
}
