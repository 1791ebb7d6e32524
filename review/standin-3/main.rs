//! Stand-ins for the platform's store, the runners and the clients, written from the published protocol with the
//! standard library alone, and the check of the case. Starts the gateways as separate processes.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::Bound;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// An entry goes after three heartbeats of silence.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Seconds of traffic. A gateway forgets a target a minute after its entry has gone.
const TRAFFIC: Duration = Duration::from_secs(76);
/// Seconds of traffic of the case of the surplus answers, and when these begin and end.
const SURPLUS_TRAFFIC: Duration = Duration::from_secs(16);
const SURPLUS_FROM: Duration = Duration::from_secs(5);
const SURPLUS_UNTIL: Duration = Duration::from_secs(10);
/// Of so many answers of a faulty runner, one is followed by a surplus one: 3 of 100.
const SURPLUS_EACH: u64 = 33;
/// Seconds of traffic of the case of an entry without the time of the start; when another writer writes it, when the
/// runner leaves, and how long it serves on: eight seconds longer than a leaving runner gets requests at most.
const UNBORN_TRAFFIC: Duration = Duration::from_secs(27);
const UNBORN_AT: Duration = Duration::from_secs(5);
const LEAVES_AT: Duration = Duration::from_secs(9);
const DRAIN: Duration = Duration::from_secs(5);
const SERVES_ON: Duration = Duration::from_secs(13);
/// Gateways, and runners that get no requests, of the case of the evacuation: so many that a few gateways of the hall read
/// the store for the others. Seconds of its traffic; when the store turns a third of the gateways away and when it serves
/// them again; when the operator evacuates their hall; how long after that all gateways that were turned away are in
/// touch and bound: `contactMs` after the end, and `evacMs` and `stretchMs` after the acknowledgement.
const HALL_GATEWAYS: usize = 30;
const IDLE_RUNNERS: usize = 3_400;
const EVACUATION_TRAFFIC: Duration = Duration::from_secs(36);
const TURNED_AWAY_AT: Duration = Duration::from_secs(5);
const SERVED_AT: Duration = Duration::from_secs(14);
const EVACUATED_AT: Duration = Duration::from_secs(9);
const EVACUATED: Duration = Duration::from_secs(16);
/// How long after the answer the surplus one follows.
const SURPLUS_DELAY: Duration = Duration::from_millis(15);
/// A surplus answer: a refusal that names no request.
const SURPLUS: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// Seconds from the start of traffic to the crash of the runner, and to the other writer's entry.
const CRASH_AT: Duration = Duration::from_secs(4);
const FOREIGN_AT: Duration = Duration::from_millis(4_500);
/// More requests than this that a gateway passes on from a kept connection and ends without an answer break the rule.
const LOST_MAX: usize = 3;

struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn note(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }
}

/// A message: its first line, its headers with names in lower case, and its body.
struct Message {
    line: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

/// Reads a message whose body has a length or comes in chunks; `None` at the end of the connection.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        fill(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end);
    let mut lines = head.lines();
    let line = lines.next()?.to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut body = Vec::new();
    if headers
        .get("transfer-encoding")
        .is_some_and(|it| it.contains("chunked"))
    {
        loop {
            let at = loop {
                if let Some(at) = buffer.windows(2).position(|it| it == b"\r\n") {
                    break at;
                }
                fill(stream, buffer)?;
            };
            let size = String::from_utf8_lossy(&buffer[..at]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            while buffer.len() < at + 2 + size + 2 {
                fill(stream, buffer)?;
            }
            body.extend_from_slice(&buffer[at + 2..at + 2 + size]);
            buffer.drain(..at + 2 + size + 2);
            if size == 0 {
                break;
            }
        }
    } else {
        let length = headers
            .get("content-length")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        while buffer.len() < length {
            fill(stream, buffer)?;
        }
        body = buffer.drain(..length).collect();
    }
    Some(Message {
        line,
        headers,
        body,
    })
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 8192];
    let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&part[..count]);
    Some(())
}

fn write_answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Option<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()
}

fn query(line: &str) -> (String, HashMap<String, String>) {
    let target = line.split(' ').nth(1).unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    (
        path.to_owned(),
        pairs
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
    )
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().enumerate().fold(0_u32, |sum, (at, byte)| {
            sum | u32::from(*byte) << (16 - 8 * at)
        });
        for at in 0..4 {
            text.push(if at <= part.len() {
                SIGNS[(number >> (18 - 6 * at)) as usize & 63] as char
            } else {
                '='
            });
        }
    }
    text
}

/// Records of an answer about the newest ones, and bytes of an answer about all, at most.
const NEWEST_MAX: usize = 500;
const READ_MAX: usize = 1 << 20;

/// A partition: all records, of which none is ever dropped, and the newest of each key.
#[derive(Default)]
struct Partition {
    log: Vec<(Vec<u8>, Vec<u8>)>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, usize)>,
}

impl Partition {
    fn append(&mut self, key: &[u8], value: &[u8]) {
        let offset = self.log.len();
        self.log.push((key.to_vec(), value.to_vec()));
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.to_vec(), (value.to_vec(), offset));
        }
    }
}

/// The platform's store.
#[derive(Clone, Default)]
struct Store(Arc<Mutex<HashMap<(String, String), Partition>>>);

impl Store {
    fn put(&self, topic: &str, key: &str, value: &str) {
        let mut all = self.0.lock().unwrap();
        let part = all.entry((topic.to_owned(), "0".to_owned())).or_default();
        part.append(key.as_bytes(), value.as_bytes());
    }

    /// Serves the store at an address of its own; while the flag is set, it answers nothing there.
    fn serve(&self) -> (SocketAddr, Arc<AtomicBool>) {
        let store = self.clone();
        let is_silent = Arc::new(AtomicBool::new(false));
        let silent = Arc::clone(&is_silent);
        let (address, _, _) = serve(move |_| {
            let (store, silent) = (store.clone(), Arc::clone(&silent));
            Box::new(move |message, stream| {
                if silent.load(Ordering::SeqCst) {
                    // A connection without an answer says nothing more.
                    while silent.load(Ordering::SeqCst) {
                        sleep(Duration::from_millis(20));
                    }
                    return None;
                }
                store.answer(message, stream)
            })
        });
        (address, is_silent)
    }

    fn answer(&self, message: &Message, stream: &mut TcpStream) -> Option<()> {
        let (path, query) = query(&message.line);
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let place = (get("topic"), get("part"));
        match path.as_str() {
            "/api/log-append" => {
                let mut all = self.0.lock().unwrap();
                let part = all.entry(place).or_default();
                let end = part.log.len();
                if query.get("at").is_some_and(|at| *at != end.to_string()) {
                    return write_answer(stream, 412, "", format!("{{\"end\":{end}}}").as_bytes());
                }
                let mut rest = &message.body[..];
                while rest.len() > 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + length];
                    let key_end = 1 + usize::from(record[0]);
                    part.append(&record[1..key_end], &record[key_end..]);
                    rest = &rest[4 + length..];
                }
                let answer = format!("{{\"offset\":{end},\"end\":{}}}", part.log.len());
                drop(all);
                sleep(Duration::from_millis(4));
                write_answer(stream, 200, "", answer.as_bytes())
            }
            "/api/log-read" => {
                let from: usize = get("from").parse().unwrap_or(0);
                let until =
                    Instant::now() + Duration::from_millis(get("waitMs").parse().unwrap_or(0));
                loop {
                    let mut all = self.0.lock().unwrap();
                    let part = all.entry(place.clone()).or_default();
                    if part.log.len() > from || Instant::now() >= until {
                        let mut body = (part.log.len() as u64).to_be_bytes().to_vec();
                        body.extend(0_u64.to_be_bytes());
                        for (key, value) in &part.log[from.min(part.log.len())..] {
                            if body.len() > READ_MAX {
                                break;
                            }
                            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                            body.push(key.len() as u8);
                            body.extend(key);
                            body.extend(value);
                        }
                        drop(all);
                        return write_answer(stream, 200, "", &body);
                    }
                    drop(all);
                    sleep(Duration::from_millis(4));
                }
            }
            "/api/log-newest" => {
                let mut all = self.0.lock().unwrap();
                let part = all.entry(place).or_default();
                let after = query.get("afterRev").map(|key| key.as_bytes().to_vec());
                let from = after.map_or(Bound::Unbounded, Bound::Excluded);
                let mut rest = part.newest.range((from, Bound::Unbounded));
                let items = rest
                    .by_ref()
                    .take(NEWEST_MAX)
                    .map(|(key, (value, offset))| {
                        let key = String::from_utf8_lossy(key);
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    });
                let items = items.collect::<Vec<_>>().join(",");
                let more = rest.next().is_some();
                let answer = format!(
                    "{{\"items\":[{items}],\"more\":{more},\"end\":{}}}",
                    part.log.len()
                );
                drop(all);
                write_answer(stream, 200, "", answer.as_bytes())
            }
            _ => write_answer(stream, 404, "", b""),
        }
    }
}

type Handler = Box<dyn FnMut(&Message, &mut TcpStream) -> Option<()> + Send>;
type Connections = Arc<Mutex<Vec<TcpStream>>>;

/// Serves connections on a free port, each with a handler of its own, until the flag is set.
fn serve(
    handler: impl Fn(&TcpStream) -> Handler + Send + 'static,
) -> (SocketAddr, Arc<AtomicBool>, Connections) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ended = Arc::new(AtomicBool::new(false));
    let open: Connections = Arc::default();
    let (is_ended, connections) = (Arc::clone(&ended), Arc::clone(&open));
    spawn(move || {
        for stream in listener.incoming() {
            if is_ended.load(Ordering::SeqCst) {
                return;
            }
            let Ok(mut stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            connections
                .lock()
                .unwrap()
                .push(stream.try_clone().unwrap());
            let mut handle = handler(&stream);
            spawn(move || {
                let mut buffer = Vec::new();
                while let Some(message) = read_message(&mut stream, &mut buffer) {
                    if handle(&message, &mut stream).is_none() {
                        return;
                    }
                }
            });
        }
    });
    (address, ended, open)
}

/// How long a runner works on a request, which differs from one to the next.
fn work(id: &str) -> Duration {
    let hash = id.bytes().fold(7_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    Duration::from_millis(150 + hash % 700)
}

/// A runner. It answers each request after its work, and writes its entry at each heartbeat.
struct Runner {
    id: String,
    ended: Arc<AtomicBool>,
    open: Connections,
    entry: Entry,
    /// Whether it hands out surplus answers.
    is_faulty: Arc<AtomicBool>,
    /// Whether it writes its entry no more, since it leaves.
    is_leaving: Arc<AtomicBool>,
}

/// A request that a runner has begun to run.
struct Run {
    id: String,
    runner: String,
    at: Instant,
}

/// What an entry of a runner says.
#[derive(Clone)]
struct Entry {
    service: &'static str,
    hall: &'static str,
    address: SocketAddr,
    /// The Unix millisecond of the runner's start.
    born: Option<u128>,
}

impl Entry {
    fn new(service: &'static str, hall: &'static str, address: SocketAddr) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = Some(now.map_or(0, |time| time.as_millis()));
        Self {
            service,
            hall,
            address,
            born,
        }
    }

    fn encode(&self, sequence: u64) -> String {
        let Self {
            service,
            hall,
            address,
            born,
        } = self;
        let born = born.map_or(String::new(), |born| format!("\"born\":{born},"));
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{hall}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,{born}\"sequence\":{sequence}}}"
        )
    }
}

impl Runner {
    fn start(
        id: &str,
        hall: &'static str,
        store: &Store,
        ran: &Arc<Mutex<Vec<Run>>>,
        record: &Arc<Record>,
    ) -> Self {
        let (name, ran, record) = (id.to_owned(), Arc::clone(ran), Arc::clone(record));
        let is_faulty = Arc::new(AtomicBool::new(false));
        let faulty = Arc::clone(&is_faulty);
        let answers = Arc::new(AtomicU64::new(0));
        let (address, ended, open) = serve(move |_| {
            let (name, ran, record) = (name.clone(), Arc::clone(&ran), Arc::clone(&record));
            let (faulty, answers) = (Arc::clone(&faulty), Arc::clone(&answers));
            Box::new(move |message, stream| {
                let attempt = message
                    .headers
                    .get("x-attempt-id")
                    .cloned()
                    .unwrap_or_default();
                let id = format!("X-Attempt-Id: {attempt}\r\n");
                if message
                    .headers
                    .get("x-expect-instance")
                    .is_some_and(|it| *it != name)
                {
                    return write_answer(stream, 421, &format!("{id}X-Not-Executed: 1\r\n"), b"");
                }
                record.note(&format!("run {attempt} at {name}"));
                ran.lock().unwrap().push(Run {
                    id: attempt.clone(),
                    runner: name.clone(),
                    at: Instant::now(),
                });
                sleep(work(&attempt));
                let answered = write_answer(
                    stream,
                    200,
                    &format!("{id}X-Server-Seal: {name}.{attempt}\r\n"),
                    b"done",
                );
                let number = answers.fetch_add(1, Ordering::Relaxed);
                if faulty.load(Ordering::Relaxed) && number % SURPLUS_EACH == 0 {
                    let (mut stream, record, name) =
                        (stream.try_clone().ok()?, Arc::clone(&record), name.clone());
                    spawn(move || {
                        sleep(SURPLUS_DELAY);
                        record.note(&format!("surplus answer of {name} after that to {attempt}"));
                        let _ = stream.write_all(SURPLUS);
                    });
                }
                answered
            })
        });
        let entry = Entry::new("app", hall, address);
        let runner = Self {
            entry: entry.clone(),
            id: id.to_owned(),
            ended,
            open,
            is_faulty,
            is_leaving: Arc::default(),
        };
        let is_leaving = Arc::clone(&runner.is_leaving);
        let (store, id, ended) = (store.clone(), id.to_owned(), Arc::clone(&runner.ended));
        store.put("keyed.servers", &id, &entry.encode(1));
        spawn(move || {
            for sequence in 2.. {
                sleep(HEARTBEAT);
                if ended.load(Ordering::SeqCst) || is_leaving.load(Ordering::SeqCst) {
                    return;
                }
                store.put("keyed.servers", &id, &entry.encode(sequence));
            }
        });
        runner
    }

    /// Ends at once, without a word: the port and all connections close.
    fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.entry.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A block of free ports below those that the system gives to outgoing connections. Its first port stays bound, so that no
/// other run takes the block.
struct Ports {
    first: u16,
    _claim: TcpListener,
}

impl Ports {
    const BLOCK: u16 = 200;

    fn claim() -> Self {
        let begin = std::process::id() as u16 % 100;
        for number in 0..100 {
            let first = 12_000 + (begin + number) % 100 * Self::BLOCK;
            let Ok(claim) = TcpListener::bind(("127.0.0.1", first)) else {
                continue;
            };
            let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
            if (first + 1..first + Self::BLOCK).all(is_free) {
                return Self {
                    first,
                    _claim: claim,
                };
            }
        }
        println!("no ports are free");
        std::process::exit(2);
    }

    fn of(&self, number: usize) -> [SocketAddr; 6] {
        std::array::from_fn(|at| {
            SocketAddr::from(([127, 0, 0, 1], self.first + 1 + (number * 6 + at) as u16))
        })
    }
}

/// A gateway process. The platform starts one that has ended again.
struct Gateway {
    name: String,
    settings: String,
    directory: SocketAddr,
    ready: SocketAddr,
    log: String,
    child: Child,
}

impl Gateway {
    fn spawn(settings: &str, log: &str) -> Child {
        let log = File::options().create(true).append(true).open(log).unwrap();
        let mut command = Command::new("target/release/lanedeck");
        // Of the caller's variables a process receives only these.
        command.env_clear().envs(
            std::env::vars().filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())),
        );
        command
            .arg("gateway")
            .env("LANEDECK_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the gateway starts")
    }

    fn start(number: usize, store: SocketAddr, folder: &str, ports: &Ports) -> Self {
        let [front, ready, directory, link, metrics, proxy] = ports.of(number);
        let name = format!("front-hall-a-{number}");
        let settings = format!("{folder}/{name}.env");
        let text = format!(
            "LANEDECK_NAME={name}\nLANEDECK_HALL=hall-a\nLANEDECK_FRONT={front}\nLANEDECK_READY={ready}\n\
             LANEDECK_DIRECTORY={directory}\nLANEDECK_LINK={link}\nLANEDECK_METRICS={metrics}\nLANEDECK_PROXY={proxy}\n\
             LANEDECK_STORE={store}\nLANEDECK_HEARTBEAT=1200\nLANEDECK_GRACE=8s\nLANEDECK_REPEAT_RATIO=0.2\n\
             LANEDECK_REPEAT_WINDOW=10s\nLANEDECK_REPEAT_EXTRA=54\nLANEDECK_MEMORY=260\nLANEDECK_CORES=0.25\n\
             LANEDECK_LINK_MBPS=1000\nLANEDECK_PARTITIONS=24\nLANEDECK_HORIZON=16s\nLANEDECK_SPREAD=0.3\n\
             LANEDECK_COPY_AGE=8s\n"
        );
        std::fs::write(&settings, text).unwrap();
        let log = format!("{folder}/{name}.log");
        let child = Self::spawn(&settings, &log);
        Self {
            name,
            settings,
            directory,
            ready,
            log,
            child,
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn call(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    read_message(&mut stream, &mut Vec::new())
}

/// The front addresses that a directory names.
fn resolve(directory: SocketAddr) -> Vec<SocketAddr> {
    let answer = call(
        directory,
        "/api/resolve?name=shop.example&region=r&zone=hall-a",
    );
    let text = answer
        .map(|answer| String::from_utf8_lossy(&answer.body).into_owned())
        .unwrap_or_default();
    text.split('"')
        .filter_map(|part| part.parse().ok())
        .collect()
}

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
    /// Requests that got an answer which promises that they have not run and never will.
    promised: Mutex<Vec<String>>,
    /// Requests on kept connections that ended without a byte of an answer, each with its gateway's address.
    lost: Mutex<Vec<(SocketAddr, String)>>,
}

/// A client that keeps its connection and sends one request after the other.
fn client(
    number: usize,
    directories: &[SocketAddr],
    until: Instant,
    counts: &Counts,
    record: &Record,
) {
    let mut next = number;
    let mut sent = 0;
    while Instant::now() < until {
        next += 1;
        let fronts = resolve(directories[next % directories.len()]);
        let Some(front) = fronts.get(next % fronts.len().max(1)) else {
            sleep(Duration::from_millis(100));
            continue;
        };
        let Ok(mut stream) = TcpStream::connect_timeout(front, Duration::from_secs(1)) else {
            sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let (mut buffer, mut answers) = (Vec::new(), 0);
        while Instant::now() < until {
            sent += 1;
            let id = format!("c{number:02}-{sent:05}");
            counts.sent.fetch_add(1, Ordering::Relaxed);
            record.note(&format!("send {id} to {front}"));
            let head = format!(
                "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
                 Authorization: Bearer key-of-anna\r\nContent-Length: 4\r\n\r\nbody"
            );
            let answer = match stream.write_all(head.as_bytes()) {
                Ok(()) => read_message(&mut stream, &mut buffer),
                Err(_) => None,
            };
            let Some(answer) = answer else {
                record.note(&format!(
                    "end {id} without an answer, after {answers} on its connection"
                ));
                if answers > 0 && buffer.is_empty() {
                    counts.lost.lock().unwrap().push((*front, id));
                }
                break;
            };
            answers += 1;
            let status = answer.line.split(' ').nth(1).unwrap_or("").to_owned();
            record.note(&format!("answer {id} {status}"));
            match status.as_str() {
                "200" => counts.answered.fetch_add(1, Ordering::Relaxed),
                _ => counts.refused.fetch_add(1, Ordering::Relaxed),
            };
            if ["408", "421", "429", "503"].contains(&status.as_str()) {
                counts.promised.lock().unwrap().push(id);
            }
            if status != "200" {
                sleep(Duration::from_millis(200));
            }
            if answer
                .headers
                .get("connection")
                .is_some_and(|it| it == "close")
            {
                break;
            }
        }
        sleep(Duration::from_millis(50));
    }
}

fn config() -> String {
    "{\"version\":3,\"routes\":[{\"name\":\"once\",\"host\":\"shop.example\",\"pathPrefix\":\"/once/\",\
      \"kind\":\"non_idempotent\",\"service\":\"app\",\"timeoutMs\":4000,\"goalMs\":600,\"priority\":1,\
      \"maxAttempts\":2}],\"services\":[{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConns\":100}],\
      \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
      \"tenants\":[{\"name\":\"anna\",\"apiKeys\":[\"key-of-anna\"],\"priority\":1}]}"
        .to_owned()
}

/// Which case is played.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Case {
    /// Another writer leaves an entry for a runner that has crashed.
    ForeignEntry,
    /// Runners send a surplus answer after some of their answers.
    SurplusAnswers,
    /// Another writer leaves an entry without the time of the start for a runner that leaves later.
    UnbornEntry,
    /// The operator evacuates a hall while the store turns some gateways away.
    Evacuation,
}

/// What is played, with its gateways and runners.
struct Play {
    case: Case,
    has_trouble: bool,
    record: Arc<Record>,
    store: Store,
    runners: Vec<Runner>,
    gateways: Vec<Gateway>,
    start: Instant,
    /// Gateways that have ended by themselves and are to be started again, each with the time of its end.
    ended: Vec<(usize, Instant)>,
    ends: Vec<String>,
    /// For each gateway, whether the store turns it away.
    gates: Vec<Arc<AtomicBool>>,
    /// When the entry of the runner that leaves has gone, or the hall was evacuated.
    left: Mutex<Option<Instant>>,
}

impl Play {
    fn steps(&self) -> Vec<(Duration, &'static str)> {
        match (self.case, self.has_trouble) {
            (Case::ForeignEntry, true) => {
                vec![
                    (CRASH_AT, "crash"),
                    (FOREIGN_AT, "foreign"),
                    (FOREIGN_AT + LAPSE, "lapse"),
                ]
            }
            (Case::ForeignEntry, false) => vec![(CRASH_AT, "crash"), (CRASH_AT + LAPSE, "lapse")],
            (Case::SurplusAnswers, true) => {
                vec![(SURPLUS_FROM, "surplus"), (SURPLUS_UNTIL, "sound")]
            }
            (Case::SurplusAnswers, false) => Vec::new(),
            (Case::UnbornEntry, _) => {
                let mut steps = vec![(LEAVES_AT, "leave"), (LEAVES_AT + SERVES_ON, "end")];
                if self.has_trouble {
                    steps.insert(0, (UNBORN_AT, "unborn"));
                }
                steps
            }
            (Case::Evacuation, true) => vec![
                (TURNED_AWAY_AT, "turn-away"),
                (EVACUATED_AT, "evacuate"),
                (SERVED_AT, "serve"),
            ],
            (Case::Evacuation, false) => vec![(EVACUATED_AT, "evacuate")],
        }
    }

    fn take(&self, step: &str) {
        let last = self.runners.last().expect("there are runners");
        match step {
            "crash" => {
                last.crash();
                self.record
                    .note(&format!("runner {} crashes for good", last.id));
            }
            "foreign" => {
                self.store.put(
                    "keyed.servers",
                    &last.id,
                    &Entry {
                        service: "inventory",
                        ..last.entry.clone()
                    }
                    .encode(1),
                );
                let line = format!(
                    "another writer writes the entry of {}, with a service not named",
                    last.id
                );
                self.record.note(&line);
            }
            "turn-away" | "serve" => {
                let gates = self.gates.iter().skip(1).step_by(3);
                gates.for_each(|gate| gate.store(step == "turn-away", Ordering::SeqCst));
                self.record
                    .note(&format!("a third of the gateways, at the store: {step}"));
            }
            "evacuate" => {
                self.store.put("keyed.op", "evacuate/hall-a", "{}");
                *self.left.lock().unwrap() = Some(Instant::now());
                self.record.note("the operator evacuates hall-a");
            }
            "unborn" => {
                let entry = Entry {
                    born: None,
                    ..last.entry.clone()
                }
                .encode(1);
                self.store.put("keyed.servers", &last.id, &entry);
                self.record.note(&format!(
                    "another writer writes the entry of {}, without the time of its start",
                    last.id
                ));
            }
            "leave" => {
                last.is_leaving.store(true, Ordering::SeqCst);
                self.store.put("keyed.servers", &last.id, "");
                *self.left.lock().unwrap() = Some(Instant::now());
                self.record.note(&format!(
                    "runner {} leaves: its entry goes, and it serves on",
                    last.id
                ));
            }
            "end" => {
                last.crash();
                self.record.note(&format!("runner {} ends", last.id));
            }
            "lapse" => {
                self.store.put("keyed.servers", &last.id, "");
                self.record.note(&format!(
                    "the entry of {} goes after three heartbeats of silence",
                    last.id
                ));
            }
            _ => {
                // Half of the runners.
                for runner in self.runners.iter().skip(1).step_by(2) {
                    runner.is_faulty.store(step == "surplus", Ordering::Relaxed);
                }
                self.record.note(&format!("half of the runners are {step}"));
            }
        }
    }

    /// Plays all steps until the traffic ends, and starts gateways again that have ended.
    fn run(&mut self, traffic: Duration) {
        let mut steps = self.steps().into_iter().peekable();
        while self.start.elapsed() < traffic + Duration::from_secs(1) {
            sleep(Duration::from_millis(20));
            if let Some((_, step)) = steps.next_if(|(at, _)| self.start.elapsed() >= *at) {
                self.take(step);
            }
            self.watch_gateways();
        }
    }

    fn watch_gateways(&mut self) {
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            let is_known = self.ended.iter().any(|(other, _)| *other == number);
            if !is_known && let Ok(Some(status)) = gateway.child.try_wait() {
                self.record.note(&format!(
                    "gateway {} ends by itself: {status}",
                    gateway.name
                ));
                let after = self.start.elapsed().as_secs_f64();
                self.ends
                    .push(format!("{} after {after:.1} s: {status}", gateway.name));
                self.ended.push((number, Instant::now()));
            }
        }
        let gateways = &mut self.gateways;
        self.ended.retain(|(number, at)| {
            let is_due = at.elapsed() >= Duration::from_millis(500);
            if is_due {
                let gateway = &mut gateways[*number];
                gateway.child = Gateway::spawn(&gateway.settings, &gateway.log);
            }
            !is_due
        });
    }

    fn end(&mut self) {
        for gateway in &mut self.gateways {
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record_path] = &arguments[..] else {
        println!("wanted: CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let (case, runners, gateways, clients, traffic) = match case.as_str() {
        "foreign-entry" => (Case::ForeignEntry, 2, 3, 30, TRAFFIC),
        "surplus-answers" => (Case::SurplusAnswers, 4, 3, 60, SURPLUS_TRAFFIC),
        "unborn-entry" => (Case::UnbornEntry, 3, 3, 30, UNBORN_TRAFFIC),
        "evacuation" => (Case::Evacuation, 8, HALL_GATEWAYS, 60, EVACUATION_TRAFFIC),
        _ => std::process::exit(2),
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = Mutex::new(File::create(record_path).unwrap());
    let record = Arc::new(Record {
        start: Instant::now(),
        file,
    });
    let store = Store::default();
    store.put("keyed.op", "config", &config());
    let ran: Arc<Mutex<Vec<Run>>> = Arc::default();
    let runners = (1..=runners)
        .map(|number| {
            // In the case of the evacuation, every second one is in the gateways' hall.
            let hall =
                ["hall-a", "hall-b"][usize::from(case == Case::Evacuation && number % 2 == 0)];
            Runner::start(&format!("i-{number}"), hall, &store, &ran, &record)
        })
        .collect();
    if case == Case::Evacuation {
        start_idle_runners(&store);
    }
    let ports = Ports::claim();
    let (addresses, gates): (Vec<_>, Vec<_>) = (0..gateways).map(|_| store.serve()).unzip();
    let gateways = addresses.iter().enumerate();
    let gateways = gateways
        .map(|(number, address)| Gateway::start(number, *address, folder, &ports))
        .collect();
    let start = Instant::now();
    let (ended, ends) = (Vec::new(), Vec::new());
    let mut play = Play {
        case,
        has_trouble,
        record,
        store,
        runners,
        gateways,
        start,
        ended,
        ends,
        gates,
        left: Mutex::default(),
    };
    let is_ready = |gateway: &Gateway| {
        call(gateway.ready, "/api/readyz").is_some_and(|it| it.line.contains("200"))
    };
    while !play.gateways.iter().all(is_ready) {
        if play.start.elapsed() > Duration::from_secs(40) {
            play.end();
            println!("the gateways are not ready");
            std::process::exit(2);
        }
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(1));
    play.start = Instant::now();
    play.record.note("traffic starts");
    let counts: Arc<Counts> = Arc::default();
    let directories: Vec<SocketAddr> = play
        .gateways
        .iter()
        .map(|gateway| gateway.directory)
        .collect();
    let until = play.start + traffic;
    let clients: Vec<_> = (0..clients)
        .map(|number| {
            let (directories, counts) = (directories.clone(), Arc::clone(&counts));
            let record = Arc::clone(&play.record);
            spawn(move || client(number, &directories, until, &counts, &record))
        })
        .collect();
    play.run(traffic);
    for client in clients {
        let _ = client.join();
    }
    play.end();
    let (is_broken, found) = check(&play, &counts, &ran.lock().unwrap());
    let [sent, answered, refused] = [&counts.sent, &counts.answered, &counts.refused]
        .map(|count| count.load(Ordering::Relaxed));
    let ends = (play.ends.len(), play.ends.join("; "));
    let summary = format!(
        "sent {sent}, answered {answered}, refused or failed {refused}; {found}; gateways that ended by themselves: {} {}",
        ends.0, ends.1
    );
    play.record.note(&summary);
    println!("{summary}");
    std::process::exit(match (is_broken, answered > 500) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    });
}

/// Starts runners of a service that gets no requests: ports that are open, and entries that are written at each heartbeat.
fn start_idle_runners(store: &Store) {
    let ports: Vec<TcpListener> = (0..IDLE_RUNNERS)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let entries: Vec<(String, Entry)> = ports
        .iter()
        .enumerate()
        .map(|(number, port)| {
            let entry = Entry::new("models", "hall-b", port.local_addr().unwrap());
            (format!("m-{number}"), entry)
        })
        .collect();
    for (id, entry) in &entries {
        store.put("keyed.servers", id, &entry.encode(1));
    }
    let store = store.clone();
    spawn(move || {
        let _ports = ports;
        let parts = 24;
        for sequence in 2.. {
            for part in 0..parts {
                sleep(HEARTBEAT / parts);
                let share = IDLE_RUNNERS / parts as usize + 1;
                for (id, entry) in entries.iter().skip(part as usize * share).take(share) {
                    store.put("keyed.servers", id, &entry.encode(sequence));
                }
            }
        }
    });
}

/// Whether the rule of the case was broken, and what was found.
fn check(play: &Play, counts: &Counts, runs: &[Run]) -> (bool, String) {
    let mut ran: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        *ran.entry(&run.id).or_default() += 1;
    }
    match play.case {
        Case::ForeignEntry => {
            let lost = counts.lost.lock().unwrap();
            let mut by_gateway: BTreeMap<SocketAddr, usize> = BTreeMap::new();
            for (front, _) in lost.iter().filter(|(_, id)| ran.contains_key(id.as_str())) {
                *by_gateway.entry(*front).or_default() += 1;
            }
            let most = by_gateway.values().copied().max().unwrap_or(0);
            let by_gateway: Vec<usize> = by_gateway.into_values().collect();
            let found = format!(
                "passed on from a kept connection to the sound runner {} and ended without an answer, by gateway: \
                 {by_gateway:?} (allowed {LOST_MAX})",
                play.runners[0].id
            );
            (most > LOST_MAX, found)
        }
        Case::UnbornEntry => {
            let left = play.left.lock().unwrap().unwrap_or(play.start);
            let last = &play.runners[play.runners.len() - 1].id;
            let late = runs
                .iter()
                .filter(|run| run.runner == *last && run.at > left + DRAIN);
            let late = late.count();
            let all = runs.iter().filter(|run| run.runner == *last).count();
            let found = format!(
                "of {all} requests that {last} ran, {late} reached it more than {} ms after its entry had gone",
                DRAIN.as_millis()
            );
            (late > 0, found)
        }
        Case::Evacuation => {
            let evacuated = play.left.lock().unwrap().unwrap_or(play.start);
            let inside: Vec<&str> = play
                .runners
                .iter()
                .filter(|runner| runner.entry.hall == "hall-a")
                .map(|runner| runner.id.as_str())
                .collect();
            let late = runs.iter().filter(|run| run.at > evacuated + EVACUATED);
            let late: Vec<&Run> = late.collect();
            let inside = late
                .iter()
                .filter(|run| inside.contains(&run.runner.as_str()));
            let inside = inside.count();
            let found = format!(
                "of {} requests that runners began more than {} ms after the evacuation of hall-a, {inside} were in it",
                late.len(),
                EVACUATED.as_millis()
            );
            (inside > 0, found)
        }
        Case::SurplusAnswers => {
            let promised = counts.promised.lock().unwrap();
            let untrue = promised
                .iter()
                .filter(|id| ran.contains_key(id.as_str()))
                .count();
            let twice = ran.values().filter(|count| **count > 1).count();
            let found = format!(
                "run more than once {twice}, run although a promise says that they were not {untrue}"
            );
            (twice + untrue > 0, found)
        }
    }
}
