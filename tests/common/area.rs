//! A router test cluster: the real binary in separate processes on loopback, killed when the test ends.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Output;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method};
use lanedeck::util::hash_secret;
use serde_json::{Value, json};
use volo_http::body::BodyConversion;

mod process;

pub use process::Process;
use process::{LogFile, binary};

pub const OPERATOR: &str = "op-secret";
pub const SECRET: &str = "k-secret";
pub const FLEET_KEY: &str = "fleet-key";
pub const PREPAID: u64 = 1_000_000;

/// Runs a command of the binary until it exits.
pub fn lanedeck(args: &[&str]) -> Output {
    binary().args(args).output().expect("the binary starts")
}

/// Standard output followed by standard error.
pub fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// An HTTP answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    /// Data of each event of a streamed answer.
    pub fn events(&self) -> Vec<&str> {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .collect()
    }
}

/// Configuration of an `Area`.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    pub engines: usize,
    pub services: usize,
    /// Each router's listening addresses: for callers and for other routers.
    pub routers: Vec<(SocketAddr, SocketAddr)>,
    pub router_options: Vec<String>,
    pub engine_options: Vec<String>,
    /// Folder in which routers' logs are kept.
    pub logs: Option<PathBuf>,
}

/// Lets the system choose a free port each time a process starts.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Running routers with their platform stand-ins and targets.
pub struct Area {
    runtime: tokio::runtime::Runtime,
    client: volo_http::client::Client,
    pub log: Process,
    pub hosts: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub routers: Vec<Process>,
    options: Vec<String>,
    logs: Option<PathBuf>,
}

impl Area {
    /// Starts a log, a host list, engines, one service and routers; returns when all are configured and ready.
    pub fn new(engines: usize, routers: usize) -> Self {
        Self::with_options(engines, routers, &[], &[])
    }

    pub fn with_options(
        engines: usize,
        routers: usize,
        router_options: &[&str],
        engine_options: &[&str],
    ) -> Self {
        let own = |options: &[&str]| options.iter().map(|option| (*option).to_owned()).collect();
        Self::with_setup(Setup {
            engines,
            services: 1,
            routers: vec![(ANY_PORT, ANY_PORT); routers],
            router_options: own(router_options),
            engine_options: own(engine_options),
            logs: None,
        })
    }

    pub fn with_setup(setup: Setup) -> Self {
        let standin = |kind: &str, options: &[String]| {
            let mut args = vec!["standin".to_owned(), kind.to_owned()];
            args.extend(options.iter().cloned());
            Process::start(&args, LogFile::new(kind))
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let mut builder = volo_http::client::Client::builder();
        builder.set_max_idle_per_host(0);
        let mut area = Self {
            runtime,
            client: builder.build().unwrap(),
            log: standin("log", &[]),
            hosts: standin("hosts", &[]),
            engines: (0..setup.engines)
                .map(|_| standin("engine", &setup.engine_options))
                .collect(),
            services: (0..setup.services)
                .map(|_| standin("service", &[]))
                .collect(),
            routers: Vec::new(),
            options: setup.router_options,
            logs: setup.logs,
        };
        for (index, (entry, peer)) in setup.routers.into_iter().enumerate() {
            let router = area.router(index, entry, peer);
            area.routers.push(router);
        }
        area.list_hosts(&[]);
        area.wait_ready();
        area.configure();
        area
    }

    /// Waits until every router has read the log, has a witness, and reports all others with the standing `Well`.
    pub fn wait_ready(&self) {
        let routers = self.routers.len();
        let knows_all = |status: &Value| {
            let peers = status["peers"].as_array().cloned().unwrap_or_default();
            let well: std::collections::BTreeSet<String> = peers
                .iter()
                .filter(|peer| peer["standing"] == "Well")
                .map(|peer| peer["entry"].to_string())
                .collect();
            well.len() == routers - 1
        };
        self.wait("routers ready", |area| {
            let statuses = area.statuses();
            statuses.len() == routers
                && statuses.iter().all(|status| {
                    let witnessed = routers == 1 || status["witness"].is_string();
                    status["ready"] == true && witnessed && knows_all(status)
                })
        });
    }

    /// The status that one router reports.
    pub fn status(&self, router: usize) -> Value {
        let key = format!("operator:{OPERATOR}");
        self.get(self.routers[router].address, "/v1/status", &key)
            .json()
    }

    /// Starts a router at an index, on free ports.
    pub fn start_router(&mut self, index: usize) {
        let router = self.router(index, ANY_PORT, ANY_PORT);
        if index < self.routers.len() {
            self.routers[index] = router;
        } else {
            self.routers.push(router);
        }
    }

    fn router(&self, index: usize, entry: SocketAddr, peer: SocketAddr) -> Process {
        let kept = |folder: &PathBuf| LogFile::kept(folder, &format!("r{index}"));
        let log = self
            .logs
            .as_ref()
            .map_or_else(|| LogFile::new("router"), kept);
        Process::start(&self.router_args(index, entry, peer), log)
    }

    fn router_args(&self, index: usize, entry: SocketAddr, peer: SocketAddr) -> Vec<String> {
        let hall = ["nacka", "solna", "kista"][index % 3];
        let mut args = vec![
            "router".to_owned(),
            format!("--entry={entry}"),
            format!("--peer={peer}"),
            format!("--hall={hall}"),
            format!("--log={}", self.log.address),
            format!("--hosts={}", self.hosts.address),
            format!("--operator-hash={}", hash_secret(OPERATOR)),
            format!("--fleet-key={FLEET_KEY}"),
        ];
        args.extend(self.options.iter().cloned());
        args
    }

    /// Kills a router and restarts it on the same addresses.
    pub fn restart_router(&mut self, index: usize) {
        let (entry, peer) = (self.routers[index].address, self.routers[index].peer);
        self.routers[index].kill();
        self.routers[index] = self.router(index, entry, peer);
    }

    /// Sets the host list to all routers; those in `leaving` are marked as leaving.
    pub fn list_hosts(&self, leaving: &[usize]) {
        let hosts: Vec<Value> = self
            .routers
            .iter()
            .enumerate()
            .map(|(index, router)| {
                json!({"address": router.peer, "leaving": leaving.contains(&index)})
            })
            .collect();
        self.post(self.hosts.address, "/v1/hosts", "", &json!(hosts));
    }

    fn configure(&self) {
        for (name, rank, price) in [("std", 1, 1_000), ("fast", 0, 2_000)] {
            let class =
                json!({"class": {"rank": rank, "price_permille": price, "patience": 8_000}});
            self.put("class", name, &class);
        }
        for name in ["kiosks", "cooks"] {
            let customer = json!({"customer": {
                "key_hash": hash_secret(SECRET), "concurrency": 500, "classes": ["std", "fast"],
            }});
            self.put("customer", name, &customer);
            self.budget(name, name, PREPAID);
        }
        for (index, engine) in self.engines.iter().enumerate() {
            self.put(
                "target",
                &format!("engine-{index}"),
                &target(engine, "engine", "assistant"),
            );
        }
        for (index, service) in self.services.iter().enumerate() {
            self.put(
                "target",
                &format!("tickets-{index}"),
                &target(service, "service", "tickets"),
            );
        }
        self.wait_same();
    }

    /// Plans and confirms an object.
    pub fn put(&self, kind: &str, name: &str, object: &Value) {
        self.apply(&json!({"put": {"key": {kind: name}, "object": object}}));
    }

    pub fn budget(&self, name: &str, customer: &str, prepaid: u64) {
        let budget = json!({"name": name, "customer": customer, "prepaid": prepaid});
        self.apply(&json!({"budget": budget}));
    }

    /// Plans an intent and confirms it; both must succeed.
    pub fn apply(&self, intent: &Value) -> Answer {
        let plan = self.plan(0, intent);
        let answer = self.confirm(0, &plan);
        assert_eq!(answer.status, 200, "{answer:?}");
        answer
    }

    pub fn plan(&self, router: usize, intent: &Value) -> Value {
        let answer = self.operate(router, "/v1/intents", intent);
        assert_eq!(answer.status, 200, "{answer:?}");
        answer.json()["plan"].clone()
    }

    pub fn confirm(&self, router: usize, plan: &Value) -> Answer {
        self.operate(router, "/v1/confirm", plan)
    }

    fn operate(&self, router: usize, path: &str, body: &Value) -> Answer {
        let key = format!("operator:{OPERATOR}");
        self.post(self.routers[router].address, path, &key, body)
    }

    pub fn statuses(&self) -> Vec<Value> {
        let key = format!("operator:{OPERATOR}");
        let get = |router: &Process| {
            self.try_send(Method::GET, router.address, "/v1/status", &key, &[], "")
        };
        self.routers
            .iter()
            .filter_map(get)
            .map(|answer| answer.json())
            .collect()
    }

    /// A budget in the status of the first router that answers.
    pub fn seen(&self, name: &str) -> Value {
        let statuses = self.statuses();
        let budgets = statuses.first().map(|status| status["budgets"].clone());
        let budgets = budgets.unwrap_or_default();
        let all = budgets.as_array().cloned().unwrap_or_default();
        all.into_iter()
            .find(|budget| budget["name"] == name)
            .unwrap_or_default()
    }

    /// Waits until all routers have applied the same log offsets.
    pub fn wait_same(&self) {
        self.wait("the same offsets", |area| {
            let all = area.statuses();
            !all.is_empty()
                && all
                    .iter()
                    .all(|status| status["applied"] == all[0]["applied"])
        });
    }

    /// Polls until a condition holds; panics after 40 s, far longer than any condition should take.
    pub fn wait(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(40);
        while !holds(self) {
            assert!(Instant::now() < deadline, "{what}: {:#?}", self.statuses());
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    pub fn post(&self, to: SocketAddr, path: &str, key: &str, body: &Value) -> Answer {
        self.send(Method::POST, to, path, key, &[], &body.to_string())
    }

    pub fn get(&self, to: SocketAddr, path: &str, key: &str) -> Answer {
        self.send(Method::GET, to, path, key, &[], "")
    }

    pub fn faults(&self, process: &Process, faults: &Value) {
        let answer = self.post(process.address, "/v1/faults", "", faults);
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    pub fn send(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let answer = self.try_send(method, to, path, key, headers, body);
        answer.unwrap_or_else(|| panic!("{to}{path} did not answer"))
    }

    pub fn try_send(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Answer> {
        let mut request = self
            .client
            .request(method, format!("http://{to}{path}"))
            .header("authorization", format!("Bearer {key}"))
            .data(body.to_owned());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.runtime.block_on(async {
            let response = request.send::<volo_http::body::Body>().await.ok()?;
            let (status, headers) = (response.status().as_u16(), response.headers().clone());
            let body = response.into_body().into_string().await.ok()?;
            Some(Answer {
                status,
                headers,
                body,
            })
        })
    }

    /// First address in an answer of `/v1/entry`, with the prefix of request ids there.
    pub fn entry(&self, router: usize, key: &str) -> (SocketAddr, String) {
        let answer = self.get(self.routers[router].address, "/v1/entry", key);
        let first = answer.json()["use"][0].clone();
        let address = first["address"].as_str().unwrap_or_default().parse();
        (
            address.expect("an address"),
            first["prefix"].as_str().unwrap().to_owned(),
        )
    }

    /// The router's own prefix of request ids, whichever router the customer should use.
    pub fn prefix_of(&self, router: usize) -> String {
        let key = key("kiosks");
        let to = self.routers[router].address;
        let answer = self.get(to, "/v1/entry", &key).json();
        let all = answer["use"].as_array().cloned().unwrap_or_default();
        let own = all
            .into_iter()
            .find(|entry| entry["address"] == to.to_string());
        own.expect("every router is named")["prefix"]
            .as_str()
            .unwrap()
            .to_owned()
    }

    /// Number of runs of each request, over all targets.
    pub fn ran(&self) -> std::collections::BTreeMap<String, u64> {
        let mut all = std::collections::BTreeMap::new();
        for process in self.engines.iter().chain(&self.services) {
            let ran = self.get(process.address, "/v1/ran", "").json();
            for (id, times) in ran.as_object().cloned().unwrap_or_default() {
                *all.entry(id).or_default() += times.as_u64().unwrap_or_default();
            }
        }
        all
    }

    /// Waits until the budget's billed tokens equal `want`, and returns the budget.
    pub fn settled(&self, budget: &str, want: u64) -> Value {
        self.wait(&format!("{budget} billed {want}"), |area| {
            area.seen(budget)["billed"] == want
        });
        self.seen(budget)
    }
}

pub fn key(customer: &str) -> String {
    format!("{customer}:{SECRET}")
}

pub fn target(process: &Process, kind: &str, serves: &str) -> Value {
    let price = if kind == "service" { 50 } else { 0 };
    json!({"target": {
        "address": process.address, "kind": kind, "serves": serves, "hall": "nacka", "slots": 200,
        "checks_fence": true, "draining": false, "call_price": price,
    }})
}

/// Body of a streamed model call.
pub fn chat(content: &str, tokens: u64) -> String {
    json!({
        "model": "assistant",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": true,
    })
    .to_string()
}

/// Expected words of the streamed answer to `chat(content, tokens)`.
pub fn words(content: &str, tokens: u64) -> Vec<String> {
    let prompt = format!("user: {content}\n");
    (0..tokens)
        .map(|index| lanedeck::standin::engine::word(&prompt, index))
        .collect()
}

/// Sends the bytes of a request without waiting for an answer.
pub fn send(to: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    stream
}
