//! Streams whose targets have two versions of one service's software: each stream goes on at the version that began it.

mod deployment;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use deployment::runner::{Mode, Runner};
use deployment::store::Fault;
use deployment::{Ask, Deployment, LONG, config, list, list_version, until};
use futures::future::join_all;
use http_body_util::{BodyExt, Full};
use lanedeck::net;

const LARGE_BUDGET: u64 = 10_000_000;
const GATEWAYS: usize = 4;
/// Targets of each version.
const TARGETS: usize = 3;
/// Streams that may hold events of two versions.
const MIXED_MAX: usize = 2;
/// Longest time until a stream that cannot go on is refused.
const REFUSED_WITHIN: Duration = Duration::from_millis(1_500);
/// What a stream's target does: 40 events, 25 ms apart.
const WORK: &str = "0,0,40,25";
/// Time that a router and a target have to hear of a change.
const SETTLED: Duration = Duration::from_millis(1_500);

/// A caller's stream.
#[derive(Clone, Debug)]
struct Caller {
    /// Id of the request that brought the first event.
    id: String,
    number: usize,
    /// Number of requests so far.
    tries: usize,
    /// The last event that was received.
    last: u32,
    naming: Naming,
}

/// Whether a caller names the request that brought the first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Naming {
    Named,
    Unnamed,
}

/// What a caller got of one request.
#[derive(Debug)]
struct Got {
    status: u16,
    events: Vec<u32>,
    took: Duration,
}

impl Caller {
    fn new(number: usize) -> Self {
        Self {
            id: format!("s{number}"),
            number,
            tries: 0,
            last: 0,
            naming: Naming::Named,
        }
    }

    fn request(&mut self) -> Ask {
        let id = match self.tries {
            0 => self.id.clone(),
            tries => format!("{}-{tries}", self.id),
        };
        // Without a shared block, a target is chosen by load, so it is another one at the next try.
        let prompt = format!("{:x}:100", 0x100 + self.number);
        let ask = Ask::talk(&id, "/resume/x", 100, 50)
            .with("x-prompt-prefix", &prompt)
            .with("x-work", WORK)
            .post(&format!("prompt {}", self.number));
        self.tries += 1;
        let ask = match self.last {
            0 => return ask,
            last => ask.with("last-event-id", &last.to_string()),
        };
        match self.naming {
            Naming::Named => ask.with("resumes", &self.id),
            Naming::Unnamed => ask,
        }
    }

    /// Asks a router and reads up to `most` events; then closes the connection. `None` without an answer.
    async fn read(&mut self, front: SocketAddr, most: usize) -> Option<Got> {
        let ask = self.request();
        let started = Instant::now();
        let got = tokio::time::timeout(LONG, read(front, &ask, most)).await;
        let (status, events) = got.expect("an answer or the end of the connection")?;
        if let Some(last) = events.last() {
            let expected: Vec<u32> = (self.last + 1..=*last).collect();
            assert_eq!(events, expected, "each event once: {ask:?}");
            self.last = *last;
        }
        Some(Got {
            status,
            events,
            took: started.elapsed(),
        })
    }
}

async fn read(front: SocketAddr, ask: &Ask, most: usize) -> Option<(u16, Vec<u32>)> {
    let mut line = net::open(front, LONG, LONG).await.ok()?;
    let mut request = http::Request::new(Full::new(ask.body.clone()));
    *request.method_mut() = ask.method.clone();
    *request.uri_mut() = ask.path.parse().unwrap();
    *request.headers_mut() = ask.headers.clone();
    let mut response = line.send(request).await.ok()?;
    let status = response.status().as_u16();
    let mut text = String::new();
    let events = |text: &str| -> Vec<u32> {
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    };
    while let Some(Ok(frame)) = response.body_mut().frame().await {
        if let Ok(data) = frame.into_data() {
            text.push_str(std::str::from_utf8(&data).unwrap());
        }
        if status == 200 && events(&text).len() >= most {
            break;
        }
    }
    let events = if status == 200 { events(&text) } else { vec![] };
    Some((status, events))
}

struct Fleet {
    deployment: Deployment,
    /// The targets, with their versions.
    targets: Vec<(Runner, &'static str)>,
}

impl Fleet {
    async fn start() -> Self {
        Self::start_with(&["v1", "v2"]).await
    }

    /// Starts a fleet whose list has the targets of these versions.
    async fn start_with(listed: &[&str]) -> Self {
        let mut targets = Vec::new();
        for version in ["v1", "v2"] {
            for number in 0..TARGETS {
                let target = Runner::start(&format!("i-{version}-{number}")).await;
                targets.push((target, version));
            }
        }
        let mut deployment = Deployment::start(0, &config(1, LARGE_BUDGET), &[]).await;
        for (target, version) in &targets {
            if listed.contains(version) {
                list_version(&deployment.store, "engine", target, version);
            }
        }
        for number in 0..GATEWAYS {
            let hall = format!("hall-{}", number % 3);
            deployment
                .add(&format!("g{number}"), &["--hall", &hall])
                .await;
        }
        deployment.wait_ready().await;
        deployment.wait_for_members().await;
        tokio::time::sleep(SETTLED).await;
        Self {
            deployment,
            targets,
        }
    }

    fn front(&self, number: usize) -> SocketAddr {
        self.deployment.gateways[number % GATEWAYS].front
    }

    /// Lets callers read some events at the routers in turn, or all at the router `at`.
    async fn begin(&self, count: usize, at: Option<usize>, most: usize) -> Vec<Caller> {
        self.begin_at(count, |number| at.unwrap_or(number), most)
            .await
    }

    /// Lets callers read some events, each at the router that `at` gives for its number.
    async fn begin_at(
        &self,
        count: usize,
        at: impl Fn(usize) -> usize,
        most: usize,
    ) -> Vec<Caller> {
        let begun = (0..count).map(|number| {
            let front = self.front(at(number));
            async move {
                let mut caller = Caller::new(number);
                let got = caller.read(front, most).await;
                (caller, got)
            }
        });
        let begun = join_all(begun).await;
        let served = begun
            .iter()
            .filter(|(_, got)| got.as_ref().is_some_and(|got| !got.events.is_empty()))
            .count();
        assert_eq!(served, count, "new streams are served");
        begun.into_iter().map(|(caller, _)| caller).collect()
    }

    /// Lets each caller take up its stream at the router that `at` gives, and returns how many went on.
    async fn resume(&self, callers: &mut [Caller], at: impl Fn(&Caller) -> usize) -> usize {
        let resumed = callers.iter_mut().map(|caller| {
            let front = self.front(at(caller));
            async move { caller.read(front, 3).await }
        });
        let mut went_on = 0;
        for got in join_all(resumed).await {
            let got = got.expect("an answer");
            match got.status {
                200 => went_on += usize::from(!got.events.is_empty()),
                status => {
                    assert_eq!(status, 503, "a stream that cannot go on is refused");
                    assert!(got.took < REFUSED_WITHIN, "at once: {got:?}");
                }
            }
        }
        went_on
    }

    /// Number of streams of which targets of two versions produced events.
    fn mixed(&self) -> usize {
        let mut versions: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
        for (target, version) in &self.targets {
            for arrival in target.arrivals() {
                let handed_out = arrival
                    .handed_out
                    .load(std::sync::atomic::Ordering::Relaxed);
                if handed_out > 0 {
                    let id = arrival.header("x-attempt-id");
                    let stream = id.split('-').next().unwrap().to_owned();
                    versions.entry(stream).or_default().insert(version);
                }
            }
        }
        versions.values().filter(|of| of.len() > 1).count()
    }

    fn list_version(&self, version: &str) {
        for target in self.of_version(version) {
            list_version(&self.deployment.store, "engine", target, version);
        }
    }

    /// Waits until a router sends requests to targets of a version.
    async fn until_used(&self, version: &str, router: usize) {
        let front = self.front(router);
        until(|| async {
            let id = format!("w{}", rand::random::<u32>());
            let prompt = format!("{:x}:99,b2:1", rand::random::<u32>());
            let ask = Ask::talk(&id, "/talk/x", 100, 50).with("x-prompt-prefix", &prompt);
            read(front, &ask, 1).await;
            self.of_version(version).any(|target| target.runs() > 0)
        })
        .await;
    }

    fn of_version(&self, version: &str) -> impl Iterator<Item = &Runner> {
        let of = self.targets.iter().filter(move |(_, it)| *it == version);
        of.map(|(target, _)| target)
    }
}

fn assert_went_on(went_on: usize, of: usize) {
    assert!(
        went_on * 2 >= of,
        "half of the streams go on: {went_on} of {of}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_target() {
    let fleet = Fleet::start().await;
    for (target, _) in &fleet.targets {
        target.set(Mode::Break(2));
    }
    let callers = fleet.begin(24, None, usize::MAX).await;
    let went_on = callers.iter().filter(|caller| caller.last > 2).count();
    let mixed = fleet.mixed();
    println!("{went_on} of {} went on, {mixed} mixed", callers.len());
    assert!(mixed <= MIXED_MAX, "{mixed} streams of two versions");
    assert_went_on(went_on, callers.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn another_router() {
    let fleet = Fleet::start().await;
    let mut callers = fleet.begin(40, None, 5).await;
    let count = callers.len();
    for shift in 1..=2 {
        let went_on = fleet.resume(&mut callers, |it| it.number + shift).await;
        println!("{went_on} of {count} went on, {} mixed", fleet.mixed());
        assert!(
            fleet.mixed() <= MIXED_MAX,
            "{} of two versions",
            fleet.mixed()
        );
        assert_went_on(went_on, count);
    }
}

/// A caller may be at another router before the record of its stream is at the keepers.
#[tokio::test(flavor = "multi_thread")]
async fn first_event_only() {
    let fleet = Fleet::start().await;
    let mut callers = fleet.begin(40, None, 1).await;
    let went_on = fleet.resume(&mut callers, |it| it.number + 1).await;
    let (mixed, count) = (fleet.mixed(), callers.len());
    println!("{went_on} of {count} went on, {mixed} mixed");
    assert!(mixed <= MIXED_MAX, "{mixed} streams of two versions");
    assert_went_on(went_on, count);
}

/// A caller that names no request sends the same one again.
#[tokio::test(flavor = "multi_thread")]
async fn unnamed_request() {
    let fleet = Fleet::start().await;
    let mut callers = fleet.begin(40, None, 12).await;
    for caller in &mut callers {
        caller.naming = Naming::Unnamed;
    }
    let went_on = fleet.resume(&mut callers, |it| it.number + 1).await;
    let (mixed, count) = (fleet.mixed(), callers.len());
    println!("{went_on} of {count} went on, {mixed} mixed");
    assert!(mixed <= MIXED_MAX, "{mixed} streams of two versions");
    assert_went_on(went_on, count);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_router() {
    let mut fleet = Fleet::start().await;
    let mut callers = fleet.begin(40, Some(0), 12).await;
    fleet.deployment.gateways[0].kill();
    let went_on = fleet.resume(&mut callers, |it| 1 + it.number % 3).await;
    let (mixed, count) = (fleet.mixed(), callers.len());
    println!("{went_on} of {count} went on, {mixed} mixed");
    assert!(mixed <= MIXED_MAX, "{mixed} streams of two versions");
    assert_went_on(went_on, count);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_router() {
    let fleet = Fleet::start().await;
    let mut callers = fleet.begin(40, Some(0), 12).await;
    fleet.deployment.gateways[0].signal("STOP");
    let went_on = fleet.resume(&mut callers, |it| 1 + it.number % 3).await;
    fleet.deployment.gateways[0].signal("CONT");
    let (mixed, count) = (fleet.mixed(), callers.len());
    println!("{went_on} of {count} went on, {mixed} mixed");
    assert!(mixed <= MIXED_MAX, "{mixed} streams of two versions");
    assert_went_on(went_on, count);
}

/// A router that reaches no other one knows only what it has been told before.
#[tokio::test(flavor = "multi_thread")]
async fn silent_keepers() {
    let fleet = Fleet::start().await;
    let mut callers = fleet.begin(40, Some(0), 12).await;
    for number in [0, 1, 2] {
        fleet.deployment.gateways[number].signal("STOP");
    }
    let went_on = fleet.resume(&mut callers, |_| 3).await;
    for number in [0, 1, 2] {
        fleet.deployment.gateways[number].signal("CONT");
    }
    let (mixed, count) = (fleet.mixed(), callers.len());
    println!("{went_on} of {count} went on, {mixed} mixed");
    assert!(mixed <= MIXED_MAX, "{mixed} streams of two versions");
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_fleet() {
    let mut fleet = Fleet::start().await;
    let mut callers = fleet.begin(40, None, 12).await;
    for gateway in &mut fleet.deployment.gateways {
        gateway.kill();
    }
    for gateway in &mut fleet.deployment.gateways {
        gateway.restart();
    }
    fleet.deployment.wait_ready().await;
    let went_on = fleet.resume(&mut callers, |it| it.number + 1).await;
    let (mixed, count) = (fleet.mixed(), callers.len());
    println!("{went_on} of {count} went on, {mixed} mixed");
    assert!(mixed <= MIXED_MAX, "{mixed} streams of two versions");
}

#[tokio::test(flavor = "multi_thread")]
async fn version_gone() {
    let fleet = Fleet::start().await;
    let mut callers = fleet.begin(40, None, 5).await;
    let of_v1 = fleet.of_version("v1").flat_map(Runner::arrivals).count();
    for target in fleet.of_version("v1") {
        list(&fleet.deployment.store, "engine", target, "draining");
    }
    tokio::time::sleep(SETTLED).await;
    let went_on = fleet.resume(&mut callers, |it| it.number + 1).await;
    let (mixed, count) = (fleet.mixed(), callers.len());
    println!(
        "{went_on} of {count} went on, {of_v1} of them of the version that is gone, {mixed} mixed"
    );
    assert!(mixed <= MIXED_MAX, "{mixed} streams of two versions");
    assert_eq!(went_on, count - of_v1, "those of the other version go on");
}

/// Guards against a router that is out of step as targets of another version join, and goes on with streams there.
async fn check_out_of_step(leave: impl Fn(&Fleet), join: impl Fn(&Fleet)) {
    let fleet = Fleet::start_with(&["v1"]).await;
    leave(&fleet);
    fleet.list_version("v2");
    // The other routers send streams to both versions.
    fleet.until_used("v2", 1).await;
    let mut callers = fleet.begin_at(40, |number| 1 + number % 3, 12).await;
    join(&fleet);
    let went_on = fleet.resume(&mut callers, |_| 0).await;
    let (mixed, count) = (fleet.mixed(), callers.len());
    println!("{went_on} of {count} went on, {mixed} mixed");
    assert!(mixed <= MIXED_MAX, "{mixed} streams of two versions");
    tokio::time::sleep(SETTLED).await;
    let mut callers = fleet.begin_at(20, |number| 1 + number % 3, 12).await;
    let went_on = fleet.resume(&mut callers, |_| 0).await;
    assert_went_on(went_on, callers.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_as_version_joins() {
    let first = |fleet: &Fleet, signal| fleet.deployment.gateways[0].signal(signal);
    check_out_of_step(|it| first(it, "STOP"), |it| first(it, "CONT")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_store_as_version_joins() {
    let set = |fleet: &Fleet, fault| {
        let store = fleet.deployment.gateways[0].store;
        fleet.deployment.store.set_fault(store, fault);
    };
    check_out_of_step(|it| set(it, Fault::Unavailable), |it| set(it, Fault::None)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn second_version() {
    let fleet = Fleet::start().await;
    for target in fleet.of_version("v2") {
        let instance = target.instance();
        fleet.deployment.store.put("keyed.servers", &instance, None);
    }
    tokio::time::sleep(SETTLED).await;
    let mut callers = fleet.begin(30, None, 5).await;
    fleet.list_version("v2");
    fleet.until_used("v2", 0).await;
    let went_on = fleet.resume(&mut callers, |it| it.number + 1).await;
    let (mixed, count) = (fleet.mixed(), callers.len());
    println!("{went_on} of {count} went on, {mixed} mixed");
    assert!(mixed <= MIXED_MAX, "{mixed} streams of two versions");
    assert_went_on(went_on, count);
}
