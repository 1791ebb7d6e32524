//! The cases.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::{Machine, free, ip, start_all};
use crate::http::{Line, ask};
use crate::record::Record;
use crate::runner::{EVENTS, Runner};
use crate::store::Store;

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

const HOST: &str = "shop.example";
const KEY: &str = "key-of-anna";
const ZONES: [&str; 4] = ["hall-nacka", "hall-solna", "hall-kista", "hall-sodertalje"];

/// Plays a case and returns the exit code.
pub fn play(case: &str, folder: &Path, has_trouble: bool) -> i32 {
    let Ok(record) = Record::create(folder) else {
        eprintln!("the record cannot be written");
        return NOT_RUN;
    };
    let record = Arc::new(record);
    let played = std::panic::catch_unwind(|| {
        let Some(world) = World::start(Arc::clone(&record)) else {
            record.tell("the deployment did not start");
            return NOT_RUN;
        };
        play_in(world, case, has_trouble)
    });
    played.unwrap_or(NOT_RUN)
}

fn play_in(world: World, case: &str, has_trouble: bool) -> i32 {
    match case {
        "surplus" => surplus(world, has_trouble),
        "comments" => comments(world, has_trouble),
        "slash" => slash(world, has_trouble),
        "survivor" => survivor(world, has_trouble),
        _ => NOT_RUN,
    }
}

/// A small deployment: seven machines in four halls, the store, four runners of a plain service and nine of a model.
struct World {
    record: Arc<Record>,
    store: Store,
    machines: Vec<Machine>,
    runners: Vec<Arc<Runner>>,
    /// The runners of the model's service.
    engines: Vec<Arc<Runner>>,
    /// Settings and logs of the processes.
    folder: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl World {
    fn start(record: Arc<Record>) -> Option<Self> {
        let root = std::env::current_dir().ok()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Store::default();
        let address = free(&ip(200));
        store.serve(address).ok()?;
        store.put("keyed.op", "config", &config(1, &[]));
        let (mut runners, mut engines) = (Vec::new(), Vec::new());
        for number in 0..4_u8 {
            let (id, zone) = (format!("i-{number}"), ZONES[usize::from(number)]);
            let address = free(&ip(100 + number));
            runners.push(Runner::start(&id, "kassa-app", zone, address, &store, &record).ok()?);
        }
        for number in 0..9_u8 {
            let (id, zone) = (
                format!("e-{number}"),
                ZONES[usize::from(number) % ZONES.len()],
            );
            let address = free(&ip(110 + number));
            engines.push(Runner::start(&id, "lanedeck-lm", zone, address, &store, &record).ok()?);
        }
        let machines = (1..=7).map(|number| {
            let zone = ZONES[usize::from(number) % ZONES.len()];
            Machine::new(number, zone, address, &folder, &root)
        });
        let mut world = Self {
            record,
            store,
            machines: machines.collect(),
            runners,
            engines,
            folder,
        };
        let are_ready = start_all(&mut world.machines, &root);
        for machine in &world.machines {
            world.record.note(&machine.describe());
        }
        are_ready.then_some(world)
    }
}

/// Tokens that an event of a stream holds.
const STRIDE: u64 = 3;

/// A tenant: its name, its key and its prepaid tokens.
type Tenant<'a> = (&'a str, &'a str, u64);

/// A configuration with the tenant of all cases and these ones.
fn config(version: u64, more: &[Tenant<'_>]) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"goalMs\":500,\"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":{}}}",
            name == "answer"
        )
    };
    let tenants: Vec<String> = [("anna", KEY, 1_000_000)]
        .iter()
        .chain(more)
        .map(|(name, key, prepaid)| {
            format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\"prepaid\":{prepaid}}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{},{}],\"services\":[{{\"name\":\"kassa-app\",\
         \"healthPath\":\"/healthz\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"lanedeck-lm\",\"healthPath\":\"/healthz\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":374509,\"stride\":{STRIDE}}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{}]}}",
        route("ticket", "non_idempotent", "kassa-app", 600, 1),
        route("refund", "idempotent", "kassa-app", 600, 2),
        route("notice", "streaming", "lanedeck-lm", 4_000, 1),
        route("answer", "streaming", "lanedeck-lm", 4_000, 2),
        tenants.join(",")
    )
}

/// A request that may not be repeated, and its answer.
struct Sent {
    id: String,
    status: Option<u16>,
}

/// A client that keeps its connection and sends requests that may not be repeated, one after the other.
fn client(
    number: usize,
    machine: std::net::SocketAddr,
    until: Instant,
    pause: Duration,
    record: &Record,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut line: Option<Line> = None;
    for count in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{number:02}-{count:04}");
        let limit = Duration::from_millis(1_000);
        let mut open = match line
            .take()
            .map_or_else(|| Line::connect(machine, limit), Ok)
        {
            Ok(open) => open,
            Err(_) => {
                std::thread::sleep(pause);
                continue;
            }
        };
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "600"),
            ("Authorization", &format!("Bearer {KEY}")),
        ];
        record.note(&format!("client {number} sends {id}"));
        let answer = open
            .write("POST /ticket/1 HTTP/1.1", &headers, b"one ticket")
            .and_then(|()| open.read());
        let status = answer.as_ref().ok().map(|answer| answer.status());
        record.note(&format!("client {number} gets {status:?} to {id}"));
        if answer.is_ok() {
            line = Some(open);
        }
        sent.push(Sent { id, status });
        std::thread::sleep(pause);
    }
    sent
}

/// Runners send second answers, some of them late.
fn surplus(world: World, has_trouble: bool) -> i32 {
    const CLIENTS: usize = 14;
    let begun = Instant::now();
    let until = begun + Duration::from_secs(9);
    let all: Mutex<Vec<Sent>> = Mutex::default();
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let machine = world.machines[number % world.machines.len()].front;
            let (record, all) = (&world.record, &all);
            scope.spawn(move || {
                let sent = client(number, machine, until, Duration::from_millis(60), record);
                all.lock().unwrap().extend(sent);
            });
        }
        std::thread::sleep(Duration::from_secs(2));
        // Two of four runners, for five seconds.
        for runner in &world.runners[..2] {
            runner.sends_surplus.store(has_trouble, Ordering::Relaxed);
        }
        world
            .record
            .note(&format!("second answers begin: {has_trouble}"));
        std::thread::sleep(Duration::from_secs(5));
        for runner in &world.runners[..2] {
            runner.sends_surplus.store(false, Ordering::Relaxed);
        }
        world.record.note("second answers end");
    });
    // What runs later counts too.
    std::thread::sleep(Duration::from_secs(1));
    let all = all.into_inner().unwrap();
    let runs = |id: &str| -> usize {
        let each = world
            .runners
            .iter()
            .map(|runner| runner.runs.lock().unwrap().get(id).copied().unwrap_or(0));
        each.sum()
    };
    let count = |holds: &dyn Fn(&Sent) -> bool| all.iter().filter(|sent| holds(sent)).count();
    let surplus: usize = world
        .runners
        .iter()
        .map(|it| it.surplus.load(Ordering::Relaxed))
        .sum();
    let good = count(&|sent| sent.status == Some(200));
    let twice = count(&|sent| runs(&sent.id) > 1);
    let refused = |sent: &Sent| matches!(sent.status, Some(408 | 421 | 429 | 503));
    let broken = count(&|sent| refused(sent) && runs(&sent.id) > 0);
    for sent in all
        .iter()
        .filter(|sent| refused(sent) && runs(&sent.id) > 0)
    {
        world.record.note(&format!(
            "REFUSED: {} got {:?} and has run",
            sent.id, sent.status
        ));
    }
    world.record.tell(&format!(
        "{} requests, {good} with 200, {surplus} second answers in the place of the next; \
         {broken} were refused and have run, {twice} have run twice",
        all.len()
    ));
    if good < all.len() / 2 {
        return NOT_RUN;
    }
    if broken + twice > 0 { BROKEN } else { HELD }
}

/// All machines but one are lost for good.
fn survivor(mut world: World, has_trouble: bool) -> i32 {
    // `contactMs` and 3 s of the rule.
    const LATER: Duration = Duration::from_millis(4_000 + 3_000);
    let last = world.machines.len() - 1;
    let mut lost: Vec<String> = Vec::new();
    if has_trouble {
        for machine in &mut world.machines[..last] {
            machine.kill();
            lost.push(machine.front.to_string());
            world.record.note(&format!("{} loses power", machine.name));
        }
    }
    let begun = Instant::now();
    let broken = AtomicUsize::new(0);
    let mut answers = 0;
    while begun.elapsed() < LATER + Duration::from_secs(10) {
        let is_late = begun.elapsed() > LATER;
        if let Some(names) = world.machines[last].addresses() {
            let dead = names.iter().filter(|name| lost.contains(name)).count();
            let own = names.contains(&world.machines[last].front.to_string());
            world.record.note(&format!(
                "the directory names {} addresses, {dead} of lost machines, its own: {own}",
                names.len()
            ));
            answers += usize::from(is_late);
            if is_late && own && dead > 0 {
                broken.fetch_add(1, Ordering::Relaxed);
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let broken = broken.into_inner();
    let is_ready = world.machines[last].is_ready();
    world.record.tell(&format!("{answers} answers later than {LATER:?}, {broken} of them name lost machines; the last machine is ready: {is_ready}"));
    if answers == 0 {
        return NOT_RUN;
    }
    if broken > 3 { BROKEN } else { HELD }
}

/// An operator adds a tenant whose name has a slash.
fn slash(world: World, has_trouble: bool) -> i32 {
    const PREPAID: u64 = 200_000;
    const PROMPT: u64 = 1_000;
    const OUT: u64 = EVENTS * STRIDE;
    const NEW_KEY: &str = "key-of-vaxholm";
    let name = if has_trouble {
        "skargard/vaxholm"
    } else {
        "skargard-vaxholm"
    };
    world.record.tell(&format!(
        "the operator adds tenant {name}, prepaid {PREPAID} tokens"
    ));
    world.store.put(
        "keyed.op",
        "config",
        &config(2, &[(name, NEW_KEY, PREPAID)]),
    );
    std::thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + Duration::from_secs(30);
    let (got, whole, no_tokens, refused) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    std::thread::scope(|scope| {
        for (number, machine) in world.machines.iter().enumerate() {
            let (front, record) = (machine.front, &world.record);
            let counts = (&got, &whole, &no_tokens, &refused);
            scope.spawn(move || {
                let (got, whole, no_tokens, refused) = counts;
                let limit = Duration::from_millis(4_500);
                let mut line: Option<Line> = None;
                for count in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("{number}-{count:04}");
                    let Ok(mut open) = line.take().map_or_else(|| Line::connect(front, limit), Ok)
                    else {
                        continue;
                    };
                    let headers = [
                        ("Host", HOST),
                        ("X-Attempt-Id", id.as_str()),
                        ("X-Deadline-Ms", "4000"),
                        ("X-Model", "m"),
                        ("X-Token-Count", &format!("{PROMPT},{OUT}")),
                        (
                            "X-Prompt-Prefix",
                            &format!(
                                "5c1e07a2:{},{:x}:100",
                                PROMPT - 100,
                                number * 10_000 + count
                            ),
                        ),
                        ("Authorization", &format!("Bearer {NEW_KEY}")),
                    ];
                    let answer = open
                        .write("POST /notice/1 HTTP/1.1", &headers, b"prompt")
                        .and_then(|()| open.read());
                    let status = answer.as_ref().ok().map(|answer| answer.status());
                    let events = answer.as_ref().map_or(0, |answer| {
                        String::from_utf8_lossy(&answer.body)
                            .matches("data: ")
                            .count() as u64
                    });
                    record.note(&format!(
                        "client {number} gets {status:?} and {events} events to {id}"
                    ));
                    if answer.is_ok() {
                        line = Some(open);
                    }
                    match status {
                        Some(200) => {
                            whole.fetch_add(1, Ordering::Relaxed);
                            got.fetch_add((PROMPT + events * STRIDE) as usize, Ordering::Relaxed);
                        }
                        Some(402) => {
                            no_tokens.fetch_add(1, Ordering::Relaxed);
                        }
                        _ => {
                            refused.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    let got = got.into_inner() as u64;
    world.record.tell(&format!(
        "{name} got {got} tokens of {PREPAID} prepaid, in {} whole answers; {} times 402, {} other answers",
        whole.into_inner(),
        no_tokens.into_inner(),
        refused.into_inner()
    ));
    if got < PREPAID / 10 {
        return NOT_RUN;
    }
    if got > PREPAID { BROKEN } else { HELD }
}

/// Runners of the model, whose streams have comments between some events, break streams off that may be resumed.
fn comments(world: World, has_trouble: bool) -> i32 {
    const CLIENTS: usize = 56;
    for engine in &world.engines {
        engine.pace_ms.store(10, Ordering::Relaxed);
        engine.sends_comments.store(true, Ordering::Relaxed);
    }
    // The tenant's first grants are spent once they are some seconds old.
    std::thread::sleep(Duration::from_secs(10));
    let until = Instant::now() + Duration::from_secs(9);
    let (whole, wrong, other) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let front = world.machines[number % world.machines.len()].front;
            let (record, counts) = (&world.record, (&whole, &wrong, &other));
            scope.spawn(move || {
                let (whole, wrong, other) = counts;
                let limit = Duration::from_millis(4_500);
                for count in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("{number}-{count:04}");
                    let headers = [
                        ("Host", HOST),
                        ("X-Attempt-Id", id.as_str()),
                        ("X-Deadline-Ms", "4000"),
                        ("X-Model", "m"),
                        ("X-Token-Count", "100,60"),
                        (
                            "X-Prompt-Prefix",
                            &format!("5c1e07a2:90,{:x}:10", number * 10_000 + count),
                        ),
                        ("Authorization", &format!("Bearer {KEY}")),
                    ];
                    let answer = ask(front, "POST /answer/1 HTTP/1.1", &headers, b"prompt", limit);
                    let Ok(answer) = answer else {
                        record.note(&format!("client {number} gets no whole answer to {id}"));
                        other.fetch_add(1, Ordering::Relaxed);
                        continue;
                    };
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let ids = body
                        .lines()
                        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
                    let ids: Vec<u64> = ids.collect();
                    record.note(&format!(
                        "client {number} gets {} and events {ids:?} to {id}",
                        answer.status()
                    ));
                    if answer.status() != 200 {
                        other.fetch_add(1, Ordering::Relaxed);
                    } else if ids.iter().copied().eq(1..=EVENTS) {
                        whole.fetch_add(1, Ordering::Relaxed);
                    } else {
                        record.note(&format!("ORDER: {id} is whole, with events {ids:?}"));
                        wrong.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        std::thread::sleep(Duration::from_secs(2));
        // Three of nine runners, for five seconds and a half.
        for engine in &world.engines[..3] {
            engine.breaks_off.store(has_trouble, Ordering::Relaxed);
        }
        std::thread::sleep(Duration::from_millis(5_500));
        for engine in &world.engines[..3] {
            engine.breaks_off.store(false, Ordering::Relaxed);
        }
    });
    let broken: usize = world
        .engines
        .iter()
        .map(|it| it.broken_off.load(Ordering::Relaxed))
        .sum();
    let (whole, wrong, other) = (whole.into_inner(), wrong.into_inner(), other.into_inner());
    world.record.tell(&format!(
        "{whole} streams with each piece once, {wrong} ended as complete with other pieces, {other} without a whole answer; \
         runners broke off {broken}"
    ));
    if whole == 0 {
        return NOT_RUN;
    }
    if wrong > 0 { BROKEN } else { HELD }
}
