//! A test deployment on loopback: platform stand-ins in this process, gateways as child processes.
#![allow(dead_code, missing_docs)]

pub mod churn;
pub mod flood;
pub mod runner;
pub mod server;
pub mod store;
pub mod turns;

use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method};
use http_body_util::{BodyExt, Full};
use lanedeck::gateway::decision::capacity::ADDRESSES_MAX;
use lanedeck::net;
use serde_json::{Value, json};

use runner::Runner;
use store::Store;

/// Upper bound on waits, so that a test fails instead of hanging.
pub const LONG: Duration = Duration::from_secs(30);
pub const KEY: &str = "key-of-anna";
pub const CUSTOMER: &str = "anna";
pub const HOST: &str = "shop.example";

/// A gateway process.
pub struct Gateway {
    child: Child,
    flags: Vec<String>,
    /// File that its log lines are appended to.
    log: Option<PathBuf>,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub link: SocketAddr,
    pub metrics: SocketAddr,
    pub proxy: SocketAddr,
    pub store: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Held while ports are probed and while a process is spawned: a child inherits all open sockets until
/// `exec`, so a spawn in another thread would keep a probed port in use.
static START_LOCK: Mutex<()> = Mutex::new(());

/// Ports outside the ephemeral port range, so that no outgoing connection takes one before a gateway binds it. They are
/// taken in blocks; the first port of a block stays bound, so that no other test process takes the block.
struct Ports {
    claims: Vec<TcpListener>,
    unused: Range<u16>,
}

impl Ports {
    const ALL: Range<u16> = 10_000..30_000;
    const BLOCK: u16 = 100;

    fn next(&mut self) -> u16 {
        loop {
            if let Some(port) = self.unused.next() {
                return port;
            }
            self.claim_block();
        }
    }

    fn claim_block(&mut self) {
        let count = u32::from(Self::ALL.end - Self::ALL.start) / u32::from(Self::BLOCK);
        let begin = std::process::id();
        let numbers = (0..count).map(|number| begin.wrapping_add(number) % count);
        let firsts = numbers.map(|number| Self::ALL.start + number as u16 * Self::BLOCK);
        let mut claims = firsts.filter_map(|first| TcpListener::bind(("127.0.0.1", first)).ok());
        let claim = claims.next().expect("a block of ports is free");
        let first = claim.local_addr().unwrap().port();
        self.unused = first + 1..first + Self::BLOCK;
        self.claims.push(claim);
    }
}

/// Returns a free address.
pub fn free_address() -> SocketAddr {
    static PORTS: Mutex<Ports> = Mutex::new(Ports {
        claims: Vec::new(),
        unused: 0..0,
    });
    loop {
        let port = PORTS.lock().unwrap().next();
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

/// Flags with the gateway's own addresses and the store's.
pub fn address_flags(
    [front, ready, directory, link, metrics, store]: [SocketAddr; 6],
) -> Vec<String> {
    let places = [
        ("--front", front),
        ("--ready", ready),
        ("--directory", directory),
        ("--link", link),
        ("--metrics", metrics),
        ("--store", store),
    ];
    let flags = places.map(|(flag, address)| [flag.to_owned(), address.to_string()]);
    flags.concat()
}

/// Spawns the binary; its log is appended to a file or discarded.
fn spawn(flags: &[String], log: Option<&PathBuf>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanedeck"));
    for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("LANEDECK_")) {
        command.env_remove(name);
    }
    let file = log.and_then(|path| {
        let mut options = std::fs::OpenOptions::new();
        options.create(true).append(true).open(path).ok()
    });
    command
        .args(flags)
        .stdout(file.map_or_else(Stdio::null, Into::into));
    command.spawn().expect("the binary starts")
}

/// Path of a gateway's log in the folder that `LANEDECK_TEST_LOGS` names, if it is set.
fn log_path_from_env(name: &str) -> Option<PathBuf> {
    let folder = std::env::var_os("LANEDECK_TEST_LOGS")?;
    let file = format!("{name}-{}.log", rand::random::<u32>());
    Some(PathBuf::from(folder).join(file))
}

impl Gateway {
    fn start(name: &str, store: SocketAddr, flags: &[&str], log: Option<PathBuf>) -> Self {
        let starting = START_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let [front, ready, directory, link, metrics, proxy] =
            std::array::from_fn(|_| free_address());
        let places = [front, ready, directory, link, metrics, store];
        let mut all = ["gateway", "--name", name, "--heartbeat", "200"]
            .map(str::to_owned)
            .to_vec();
        all.extend(address_flags(places));
        all.extend(["--proxy".to_owned(), proxy.to_string()]);
        all.extend(flags.iter().map(|flag| (*flag).to_owned()));
        let child = spawn(&all, log.as_ref());
        drop(starting);
        Self {
            child,
            flags: all,
            log,
            name: name.to_owned(),
            front,
            ready,
            directory,
            link,
            metrics,
            proxy,
            store,
        }
    }

    /// Starts a new process with the same name and addresses; the previous one must have ended.
    pub fn restart(&mut self) {
        assert!(self.has_ended(), "the previous process has ended");
        let _starting = START_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        self.child = spawn(&self.flags, self.log.as_ref());
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _starting = START_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.unwrap().success());
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub async fn is_ready(&self) -> bool {
        let ask = Ask::get("/api/readyz");
        try_ask(self.ready, &ask)
            .await
            .is_some_and(|answer| answer.status == 200)
    }
}

/// A store with gateways.
pub struct Deployment {
    pub store: Store,
    pub gateways: Vec<Gateway>,
}

impl Deployment {
    /// Starts gateways with a configuration and the given runners, and waits until all are ready.
    pub async fn start(count: usize, config: &Value, runners: &[(&str, &Runner)]) -> Self {
        Self::start_with(count, config, runners, &[]).await
    }

    /// Like `start`, with additional gateway flags.
    pub async fn start_with(
        count: usize,
        config: &Value,
        runners: &[(&str, &Runner)],
        flags: &[&str],
    ) -> Self {
        let store = Store::default();
        store.put("keyed.op", "config", Some(config));
        for (service, runner) in runners {
            list(&store, service, runner, "ready");
        }
        let mut deployment = Self {
            store,
            gateways: Vec::new(),
        };
        for number in 0..count {
            deployment.add(&format!("g{number}"), flags).await;
        }
        deployment.wait_ready().await;
        deployment
    }

    pub async fn add(&mut self, name: &str, flags: &[&str]) {
        self.add_logged(name, flags, log_path_from_env(name)).await;
    }

    /// Like `add`, with a log file.
    pub async fn add_logged(&mut self, name: &str, flags: &[&str], log: Option<PathBuf>) {
        let address = self.store.open().await;
        self.gateways
            .push(Gateway::start(name, address, flags, log));
    }

    /// Adds a gateway in a hall of its own that gets other addresses of targets: pairs of the listed address and its own.
    pub async fn add_routed(&mut self, name: &str, routes: Vec<(SocketAddr, SocketAddr)>) {
        let log = log_path_from_env(name);
        self.add_routed_logged(name, routes, &[], log).await;
    }

    /// Like `add_routed`, with additional flags and a log file.
    pub async fn add_routed_logged(
        &mut self,
        name: &str,
        routes: Vec<(SocketAddr, SocketAddr)>,
        flags: &[&str],
        log: Option<PathBuf>,
    ) {
        let address = self.store.open().await;
        self.store.set_routes(address, routes);
        let hall = format!("hall-of-{name}");
        let flags = [&["--hall", hall.as_str()], flags].concat();
        self.gateways
            .push(Gateway::start(name, address, &flags, log));
    }

    /// Adds a gateway that reaches its store at another address.
    pub fn add_with_store(&mut self, name: &str, store: SocketAddr, flags: &[&str]) {
        let log = log_path_from_env(name);
        self.gateways.push(Gateway::start(name, store, flags, log));
    }

    /// Waits until the first gateway's process has ended.
    pub async fn wait_end(&mut self) {
        until(|| {
            let ended = self.gateways[0].has_ended();
            async move { ended }
        })
        .await;
    }

    pub async fn wait_ready(&self) {
        for gateway in &self.gateways {
            until(|| gateway.is_ready()).await;
        }
    }

    /// Waits until each gateway lists all gateways as addresses for callers, or as many as it lists at most.
    pub async fn wait_for_members(&self) {
        let count = self.gateways.len().min(ADDRESSES_MAX);
        for gateway in &self.gateways {
            until(|| async { addresses(gateway).await.len() == count }).await;
        }
    }
}

/// Writes a runner's entry to the list of targets.
pub fn list(store: &Store, service: &str, runner: &Runner, state: &str) {
    list_at(store, service, &runner.instance(), runner.address, state);
}

/// Writes the entry of an instance with the given address.
pub fn list_at(store: &Store, service: &str, instance: &str, address: SocketAddr, state: &str) {
    list_with_born(store, service, instance, address, state, None);
}

/// Like `list_at`, with the instance's start time, if its entry has one.
pub fn list_with_born(
    store: &Store,
    service: &str,
    instance: &str,
    address: SocketAddr,
    state: &str,
    born: Option<u64>,
) {
    list_with_slots(store, service, instance, address, state, (born, SLOTS));
}

/// Slots of an instance that does not state others.
pub const SLOTS: u32 = 64;

/// Like `list_with_born`, with the instance's number of slots.
pub fn list_with_slots(
    store: &Store,
    service: &str,
    instance: &str,
    address: SocketAddr,
    state: &str,
    (born, slots): (Option<u64>, u32),
) {
    let mut entry = json!({
        "service": service, "address": address, "zone": "hall", "version": version_of(instance),
        "slots": slots, "state": state, "coldLeftMs": 0, "sequence": 1,
    });
    if let Some(born) = born {
        entry["born"] = born.into();
    }
    store.put("keyed.servers", instance, Some(&entry));
}

/// Number of versions that run side by side.
const VERSIONS: u32 = 3;

/// Version of an instance's software. Instances named `NAME.NUMBER-GENERATION` have another one in each generation.
pub fn version_of(instance: &str) -> String {
    let numbers = instance
        .split_once('.')
        .and_then(|(_, numbers)| numbers.split_once('-'));
    let numbers = numbers.map(|(number, generation)| {
        let [number, generation] = [number, generation].map(|it| it.parse::<u32>().unwrap());
        1 + (number + generation) % VERSIONS
    });
    format!("v{}", numbers.unwrap_or(1))
}

/// Writes the entry of a runner with another version of its software.
pub fn list_version(store: &Store, service: &str, runner: &Runner, version: &str) {
    let entry = json!({
        "service": service, "address": runner.address, "zone": "hall", "version": version,
        "slots": 64, "state": "ready", "coldLeftMs": 0, "sequence": 1,
    });
    store.put("keyed.servers", &runner.instance(), Some(&entry));
}

/// Addresses that a gateway's directory gives to callers.
pub async fn addresses(gateway: &Gateway) -> Vec<String> {
    let ask = Ask::get("/api/resolve?name=shop.example&region=r&zone=hall");
    let Some(answer) = try_ask(gateway.directory, &ask).await else {
        return Vec::new();
    };
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    let listed = body["addrs"].as_array().cloned().unwrap_or_default();
    listed
        .iter()
        .map(|address| address.as_str().unwrap().to_owned())
        .collect()
}

/// A configuration with plain routes under /once/ and /often/, and streaming routes under /talk/ and /resume/.
pub fn config(version: u64, prepaid: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "service": service,
            "timeoutMs": 4000, "goalMs": 500, "priority": 1, "maxAttempts": attempts,
            "public": false, "resumable": name == "resume",
        })
    };
    json!({
        "version": version,
        "routes": [
            route("once", "/once/", "non_idempotent", "app", 1),
            route("often", "/often/", "idempotent", "app", 2),
            route("talk", "/talk/", "streaming", "engine", 1),
            route("resume", "/resume/", "streaming", "engine", 2),
        ],
        "services": [
            { "name": "app", "healthPath": "/healthz", "maxConns": 100 },
            { "name": "engine", "healthPath": "/healthz", "maxConns": 100,
              "engine": { "slots": 64, "stride": 1 } },
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": CUSTOMER, "apiKeys": [KEY], "priority": 1, "prepaid": prepaid }],
    })
}

/// Like `config`, without the customer's key.
pub fn config_without_key(version: u64, prepaid: u64) -> Value {
    let mut config = config(version, prepaid);
    config["tenants"] = json!([{ "name": CUSTOMER, "apiKeys": ["another"], "prepaid": prepaid }]);
    config
}

/// Sends a request with a random id and returns its status, if it is answered.
pub async fn status_of(front: SocketAddr, path: &str) -> Option<u16> {
    let ask = Ask::new(&format!("r{}", rand::random::<u64>()), path);
    try_ask(front, &ask).await.map(|answer| answer.status)
}

/// Sends requests for a plain route to a gateway until one reaches the runner.
pub async fn until_reached(front: SocketAddr, runner: &Runner) {
    let before = runner.arrivals().len();
    until(|| async {
        status_of(front, "/often/x").await;
        runner.arrivals().len() > before
    })
    .await;
}

/// A client request.
#[derive(Clone, Debug)]
pub struct Ask {
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Ask {
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// A valid request with an id, a key and a deadline.
    pub fn new(id: &str, path: &str) -> Self {
        Self::get(path)
            .with("host", HOST)
            .with("x-attempt-id", id)
            .with("x-deadline-ms", "5000")
            .with("authorization", &format!("Bearer {KEY}"))
    }

    /// A valid request to a model engine.
    pub fn talk(id: &str, path: &str, tokens: u64, most: u64) -> Self {
        Self::new(id, path)
            .with("x-model", "m")
            .with("x-token-count", &format!("{tokens},{most}"))
            .with(
                "x-prompt-prefix",
                &format!("a1:{},b2:1", tokens.saturating_sub(1)),
            )
            .post("prompt")
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.insert(name, value.parse().unwrap());
        self
    }

    /// Appends another value of a header.
    pub fn also(mut self, name: &'static str, value: &str) -> Self {
        self.headers.append(name, value.parse().unwrap());
        self
    }

    pub fn without(mut self, name: &str) -> Self {
        self.headers.remove(name);
        self
    }

    pub fn post(mut self, body: &str) -> Self {
        self.method = Method::POST;
        self.body = Bytes::copy_from_slice(body.as_bytes());
        self
    }
}

/// An answer as the client received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body was received to its end.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    /// Ids of the events, in order.
    pub fn events(&self) -> Vec<u32> {
        let lines = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        lines.map(|id| id.parse().unwrap()).collect()
    }
}

/// Sends a request on a new connection; `None` if it closes without an answer.
pub async fn try_ask(address: SocketAddr, ask: &Ask) -> Option<Answer> {
    let mut line = net::open(address, LONG, LONG).await.ok()?;
    ask_on(&mut line, ask).await
}

/// Sends a request on an open connection; `None` if it closes without an answer.
pub async fn ask_on(line: &mut net::Connection, ask: &Ask) -> Option<Answer> {
    let mut request = http::Request::new(Full::new(ask.body.clone()));
    *request.method_mut() = ask.method.clone();
    *request.uri_mut() = ask.path.parse().unwrap();
    *request.headers_mut() = ask.headers.clone();
    if !ask.headers.contains_key("host") {
        request.headers_mut().insert("host", HOST.parse().unwrap());
    }
    let response = line.send(request).await.ok()?;
    let (parts, mut incoming) = response.into_parts();
    let mut body = Vec::new();
    let mut is_whole = true;
    while let Some(frame) = incoming.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => body.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                is_whole = false;
                break;
            }
        }
    }
    Some(Answer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8(body).unwrap(),
        is_whole,
    })
}

/// Sends a request on a new connection; panics without an answer.
pub async fn ask(address: SocketAddr, ask: &Ask) -> Answer {
    try_ask(address, ask).await.expect("an answer")
}

/// Polls until a condition holds; panics after `LONG`.
pub async fn until<F, A>(mut holds: F)
where
    F: FnMut() -> A,
    A: Future<Output = bool>,
{
    let end = Instant::now() + LONG;
    while !holds().await {
        assert!(Instant::now() < end, "condition does not hold in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
