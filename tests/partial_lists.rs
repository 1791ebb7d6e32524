//! Lists of targets that are passed on between routers after an outage of the store, while some of their entries may only
//! have lapsed in it.

mod deployment;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use deployment::runner::Runner;
use deployment::store::Fault;
use deployment::{Ask, Deployment, Gateway, ask, config, list, status_of, until};
use lanedeck::gateway::decision::completeness::{Completeness, LAPSED_GRACE};
use lanedeck::store::{Era, Page, Place, Record};
use lanedeck::units::Millis;
use tokio::time::{Instant, sleep};

const LARGE_BUDGET: u64 = 1_000_000;
const TARGETS: &str = "keyed.servers";
/// Longer than entries of targets stay without heartbeats.
const OUTAGE: Duration = Duration::from_secs(2);
/// Within this time of its end a running target that lapsed in an outage is listed again.
const RELISTED_WITHIN: Duration = Duration::from_millis(1_500);
/// A round in which a router reads or follows the list.
const ROUND: Duration = Duration::from_millis(500);
/// So many requests in a row reach another target only if one of two gets none.
const SAMPLE: usize = 40;

const NOW: Millis = Millis(1_000_000);

fn place(offset: u64) -> Place {
    Place {
        era: Era(1),
        offset,
    }
}

fn ids(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

/// A page of changes of targets that ends at the end of the list.
fn changes(offset: u64, ids: &[&str]) -> Page {
    let record = |id: &&str| Record {
        key: (*id).to_owned(),
        value: None,
    };
    Page {
        records: ids.iter().map(record).collect(),
        next: place(offset),
        end: place(offset),
    }
}

fn whole_at(offset: u64) -> Completeness {
    let mut completeness = Completeness::default();
    completeness.record_list(NOW, place(offset), BTreeSet::new());
    completeness
}

/// A list of which two targets are missing after an outage.
fn partial_at(offset: u64) -> Completeness {
    let mut completeness = whole_at(10);
    completeness.lose();
    assert!(!completeness.drops_missing(NOW));
    completeness.record_list(NOW, place(offset), ids(&["a", "b"]));
    completeness
}

#[test]
fn changes_of_a_whole_list() {
    let mut completeness = whole_at(10);
    let dropped = completeness.record_changes(NOW, &changes(12, &["a"]));
    assert_eq!(dropped, ids(&[]));
    assert!(completeness.is_whole());
    assert_eq!(completeness.whole_as_of(), Some(place(12)));
}

#[test]
fn missing_for_the_grace() {
    let mut completeness = partial_at(20);
    let dropped = completeness.record_changes(NOW, &changes(21, &["a"]));
    assert_eq!(dropped, ids(&[]));
    assert_eq!(completeness.whole_as_of(), Some(place(10)));
    let end = NOW + LAPSED_GRACE;
    let cut_short = Page {
        end: place(30),
        ..changes(22, &[])
    };
    assert_eq!(completeness.record_changes(end, &cut_short), ids(&[]));
    let dropped = completeness.record_changes(end, &changes(30, &[]));
    assert_eq!(dropped, ids(&["b"]));
    assert!(completeness.is_whole());
    assert_eq!(completeness.whole_as_of(), Some(place(30)));
}

#[test]
fn known_before_a_first_read() {
    let mut completeness = Completeness::default();
    assert!(!completeness.drops_missing(NOW));
    completeness.record_list(NOW, place(20), ids(&["a"]));
    assert_eq!(
        (completeness.whole_as_of(), completeness.missing()),
        (None, 1)
    );
    let dropped = completeness.record_changes(NOW + LAPSED_GRACE, &changes(21, &[]));
    assert_eq!(dropped, ids(&["a"]));
    assert_eq!(
        (completeness.whole_as_of(), completeness.missing()),
        (Some(place(21)), 0)
    );
}

#[test]
fn first_list_followed() {
    let mut completeness = Completeness::default();
    completeness.record_followed(place(10));
    assert!(completeness.is_whole() && completeness.continues());
    let mut completeness = Completeness::default();
    completeness.lose();
    completeness.record_followed(place(10));
    assert!(!completeness.continues());
}

#[test]
fn all_come_back() {
    let mut completeness = partial_at(20);
    let dropped = completeness.record_changes(NOW, &changes(22, &["a", "b"]));
    assert_eq!(dropped, ids(&[]));
    assert!(completeness.is_whole());
    assert_eq!(completeness.whole_as_of(), Some(place(22)));
}

#[test]
fn grace_begins_again() {
    let mut completeness = partial_at(20);
    completeness.lose();
    assert!(!completeness.continues());
    let end = NOW + LAPSED_GRACE;
    completeness.record_list(end, place(30), ids(&["a"]));
    assert!(!completeness.drops_missing(end));
}

#[test]
fn followed_list_ends_no_grace() {
    let mut completeness = whole_at(10);
    completeness.lose();
    completeness.record_followed(place(15));
    assert_eq!(completeness.whole_as_of(), Some(place(15)));
    assert!(!completeness.continues());
    completeness.record_list(NOW, place(20), ids(&["a"]));
    completeness.record_followed(place(18));
    assert_eq!(completeness.whole_as_of(), Some(place(18)));
    assert!(!completeness.continues());
    assert!(!completeness.drops_missing(NOW));
    assert!(completeness.drops_missing(NOW + LAPSED_GRACE));
}

/// Two gateways after an outage of their store, which still answers neither.
struct Outage {
    deployment: Deployment,
    leaving: Runner,
    staying: Runner,
    logs: [PathBuf; 2],
}

impl Outage {
    async fn start(test: &str) -> Self {
        let leaving = Runner::start("i-leaving").await;
        let staying = Runner::start("i-staying").await;
        let runners = [("app", &leaving), ("app", &staying)];
        let mut deployment = Deployment::start(0, &config(1, LARGE_BUDGET), &runners).await;
        let logs = [0, 1].map(|number| {
            let file = format!("lanedeck-{test}-{number}-{}.log", rand::random::<u64>());
            std::env::temp_dir().join(file)
        });
        for (number, log) in logs.iter().enumerate() {
            let name = format!("g{number}");
            deployment.add_logged(&name, &[], Some(log.clone())).await;
        }
        deployment.wait_ready().await;
        deployment.wait_for_members().await;
        let outage = Self {
            deployment,
            leaving,
            staying,
            logs,
        };
        outage.set_fault(0, Fault::Unavailable);
        outage.set_fault(1, Fault::Unavailable);
        sleep(OUTAGE).await;
        outage
    }

    fn gateway(&self, number: usize) -> &Gateway {
        &self.deployment.gateways[number]
    }

    fn set_fault(&self, number: usize, fault: Fault) {
        let store = self.gateway(number).store;
        self.deployment.store.set_fault(store, fault);
    }

    /// Removes the entries of all targets.
    fn lapse_all(&self) {
        for runner in [&self.leaving, &self.staying] {
            let store = &self.deployment.store;
            store.put(TARGETS, &runner.instance(), None);
        }
    }

    /// Checks that the second gateway serves until the targets are listed again, and after that.
    async fn stay_in_use(&self) {
        self.serve_for(RELISTED_WITHIN).await;
        for runner in [&self.leaving, &self.staying] {
            list(&self.deployment.store, "app", runner, "ready");
        }
        self.serve_for(OUTAGE + ROUND * 2).await;
    }

    async fn serve_for(&self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let status = status_of(self.gateway(1).front, "/often/x").await;
            assert_eq!(status, Some(200));
            sleep(ROUND / 10).await;
        }
    }

    /// Ends the outage for the first gateway alone, and waits until the second one has its list.
    async fn first_returns(&self) {
        let adopted = adoptions(&self.logs[1]);
        self.set_fault(0, Fault::None);
        until(|| async { missing(self.gateway(0)).await == 1 }).await;
        until(|| async { adoptions(&self.logs[1]) > adopted }).await;
    }
}

impl Drop for Outage {
    fn drop(&mut self) {
        for log in &self.logs {
            // It is missing if the test failed before the process was started.
            let _ = std::fs::remove_file(log);
        }
    }
}

/// Number of targets that a gateway keeps although its list lacks them.
async fn missing(gateway: &Gateway) -> usize {
    let text = ask(gateway.metrics, &Ask::get("/metrics")).await.body;
    let count = text
        .lines()
        .find_map(|line| line.strip_prefix("lanedeck_targets_missing "));
    count.unwrap().parse().unwrap()
}

/// How often a gateway took over a list after an outage.
fn adoptions(log: &Path) -> usize {
    let text = std::fs::read_to_string(log).unwrap();
    let lines = text.lines();
    lines
        .filter(|line| line.contains("event=target_list_adopted"))
        .count()
}

/// Waits until a gateway sends nothing more to a runner.
async fn until_unused(gateway: &Gateway, runner: &Runner) {
    until(|| async {
        let before = runner.arrivals().len();
        for _ in 0..SAMPLE {
            status_of(gateway.front, "/often/x").await;
        }
        runner.arrivals().len() == before
    })
    .await;
}

/// Guards against a router that takes a list with targets that have left for whole, and never removes them.
#[tokio::test(flavor = "multi_thread")]
async fn adopted_and_read_on() {
    let outage = Outage::start("adopted").await;
    let store = &outage.deployment.store;
    store.put(TARGETS, &outage.leaving.instance(), None);
    outage.first_returns().await;
    outage.set_fault(1, Fault::None);
    until(|| async { missing(outage.gateway(0)).await == 0 }).await;
    sleep(OUTAGE + ROUND).await;
    until_unused(outage.gateway(1), &outage.leaving).await;
}

/// Guards against a router that takes its own partial list back from one that has it from there.
#[tokio::test(flavor = "multi_thread")]
async fn adopted_back() {
    let outage = Outage::start("back").await;
    let store = &outage.deployment.store;
    store.put(TARGETS, &outage.leaving.instance(), None);
    outage.first_returns().await;
    outage.set_fault(0, Fault::Unavailable);
    sleep(ROUND * 2).await;
    outage.set_fault(0, Fault::None);
    outage.set_fault(1, Fault::None);
    sleep(OUTAGE + ROUND * 2).await;
    until_unused(outage.gateway(0), &outage.leaving).await;
    until_unused(outage.gateway(1), &outage.leaving).await;
}

/// Guards against a router that drops targets whose entries lapsed in an outage, since another one kept them.
#[tokio::test(flavor = "multi_thread")]
async fn lapsed_while_following() {
    let outage = Outage::start("lapsed").await;
    outage.lapse_all();
    let adopted = adoptions(&outage.logs[1]);
    outage.set_fault(0, Fault::None);
    until(|| async { adoptions(&outage.logs[1]) > adopted }).await;
    outage.set_fault(1, Fault::None);
    outage.stay_in_use().await;
}

/// Guards against a router that starts in an outage and drops targets whose entries lapsed in it.
#[tokio::test(flavor = "multi_thread")]
async fn lapsed_before_a_first_read() {
    let mut outage = Outage::start("started").await;
    // The entries of the routers are all that it can read.
    outage.set_fault(1, Fault::RoutersOnly);
    let gateway = &mut outage.deployment.gateways[1];
    gateway.kill();
    gateway.restart();
    let front = gateway.front;
    until(|| async { status_of(front, "/often/x").await == Some(200) }).await;
    outage.lapse_all();
    outage.set_fault(0, Fault::None);
    outage.set_fault(1, Fault::None);
    outage.stay_in_use().await;
}
