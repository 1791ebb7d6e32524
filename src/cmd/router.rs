//! `lanedeck router`: the process on an entry host.

use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use rand::RngExt;
use tokio::net::TcpListener;

use super::settings::{Checker, missing};
use super::{Adapter, Command, Error, Result, block_on, parse, print, reload, start_logs};
use crate::router;
use crate::router::budget::Sizing;
use crate::router::client::{HttpHosts, HttpLog};
use crate::router::control::Settings;
use crate::router::host::Peer;
use crate::router::key::Incarnation;
use crate::router::request::Bound;
use crate::signals::Signals;
use crate::units::{Millis, Offset};

pub const ABOUT: &str = "Runs a router on an entry host until SIGTERM, and then until all that it
has begun is done. SIGHUP reads and checks the settings again.

Examples:
  lanedeck router --entry 10.0.0.1:7000 --peer 10.0.0.1:7001 --hall nacka \\
      --region stockholm --log 10.0.9.1:7100 --hosts 10.0.9.2:7200 \\
      --operator-hash $(printf %s SECRET | sha256sum | cut -c1-64) --fleet-key KEY
  LANEDECK_HALL=solna lanedeck check ...   checks all settings and starts nothing
";

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this")]
    pub help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:7000",
        help = "where callers and operators connect"
    )]
    pub entry: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:7001",
        help = "where other routers connect"
    )]
    pub peer: String,
    #[options(
        no_short,
        meta = "NAME",
        default = "hall",
        help = "this host's data hall: 1 to 64 letters, digits, dots, dashes, underscores"
    )]
    pub hall: String,
    #[options(
        no_short,
        meta = "NAME",
        default = "region",
        help = "this host's region, likewise"
    )]
    pub region: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:7100",
        help = "the platform's log"
    )]
    pub log: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:7200",
        help = "the platform's host list"
    )]
    pub hosts: String,
    #[options(
        no_short,
        meta = "HEX",
        help = "SHA-256 of the operators' secret, 64 hexadecimal digits"
    )]
    pub operator_hash: String,
    #[options(
        no_short,
        meta = "KEY",
        help = "what routers of this fleet show each other, 8 to 256 visible characters"
    )]
    pub fleet_key: String,
    #[options(
        no_short,
        meta = "POLICY",
        default = "two",
        help = "choice of targets: two; least, prefix and expected are taken and do as two"
    )]
    pub policy: String,
    #[options(
        no_short,
        meta = "S",
        default = "3600",
        help = "demand that a grant covers, in seconds, 1 to 86400"
    )]
    pub horizon: String,
    #[options(
        no_short,
        meta = "MS",
        default = "100",
        help = "least time between two appends to a stream, in milliseconds, 1 to 60000"
    )]
    pub append_gap: String,
    #[options(
        no_short,
        meta = "MS",
        default = "4000",
        help = "a holder silent for this long is closed by its witness, in milliseconds, 1000 to 600000"
    )]
    pub close_after: String,
    #[options(
        no_short,
        meta = "N",
        default = "5000",
        help = "appends to a stream between two checkpoints, 10 to 10000000"
    )]
    pub checkpoint_every: String,
    #[options(
        no_short,
        meta = "N",
        default = "512",
        help = "requests that wait for one model or service, 1 to 65536"
    )]
    pub queue: String,
    #[options(
        no_short,
        meta = "MS",
        default = "2000",
        help = "head start of each rank over the next, in milliseconds, 0 to 600000"
    )]
    pub step: String,
    #[options(
        no_short,
        meta = "BYTES",
        default = "1048576",
        help = "longest body of a request, in bytes, 1024 to 67108864"
    )]
    pub body_max: String,
    #[options(
        no_short,
        meta = "MS",
        default = "120000",
        help = "longest silence of a target within an answer, in milliseconds, 100 to 3600000"
    )]
    pub silence: String,
    #[options(
        no_short,
        meta = "N",
        default = "2",
        help = "threads for traffic, 1 to 64; the control state has one of its own"
    )]
    pub threads: String,
    #[options(
        no_short,
        meta = "LEVEL",
        default = "info",
        help = "logs: error, warn, info, debug or trace"
    )]
    pub log_level: String,
}

/// The one choice of targets that there is.
const POLICY: &str = "two";
/// What `--policy` takes: the others were removed, and settings that name them still start.
const POLICIES: [&str; 4] = [POLICY, "least", "prefix", "expected"];

/// Settings that have been checked.
pub struct Checked {
    pub settings: Settings,
    pub log: SocketAddr,
    pub hosts: SocketAddr,
    pub operator_hash: String,
    pub fleet_key: String,
    pub body_max: usize,
    pub silence: Duration,
    pub threads: usize,
    pub policy: String,
    pub log_level: String,
    pub in_force: String,
}

/// Checks all settings at once.
pub fn check(args: &Args) -> Result<Checked> {
    let mut checker = Checker::default();
    let c = &mut checker;
    let entry = c.address("entry", &args.entry);
    let peer = c.address("peer", &args.peer);
    let log = c.address("log", &args.log);
    let hosts = c.address("hosts", &args.hosts);
    let hall = c.name("hall", &args.hall);
    let region = c.name("region", &args.region);
    let wanted = POLICIES.join(", ");
    let policy = c.take("policy", &args.policy, &wanted, |policy: &String| {
        POLICIES.contains(&policy.as_str())
    });
    let me = || Some(me(entry?, peer?, hall?, region?));
    let settings = settings(c, args, me());
    let body_max = c.whole("body-max", &args.body_max, 1_024, 67_108_864);
    let silence = c.whole("silence", &args.silence, 100, 3_600_000);
    let threads = c.whole("threads", &args.threads, 1, 64);
    c.log_level(&args.log_level);
    let is_hash = |text: &String| text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
    c.secret(
        "operator-hash",
        &args.operator_hash,
        "64 hexadecimal digits",
        is_hash,
    );
    c.fleet_key(&args.fleet_key);
    let in_force = checker.finish()?;
    let checked = || {
        Some(Checked {
            settings: settings?,
            log: log?,
            hosts: hosts?,
            operator_hash: args.operator_hash.to_ascii_lowercase(),
            fleet_key: args.fleet_key.clone(),
            body_max: body_max?,
            silence: Duration::from_millis(silence?),
            threads: threads?,
            policy: policy?,
            log_level: args.log_level.clone(),
            in_force,
        })
    };
    checked().ok_or_else(missing)
}

/// This router as the others are told of it.
fn me(entry: SocketAddr, address: SocketAddr, hall: String, region: String) -> Peer {
    Peer {
        incarnation: Incarnation(rand::rng().random()),
        counter: 0,
        entry,
        address,
        hall,
        region,
        epoch: 1,
        leaving: false,
        witness: None,
        applied: Offset::ZERO,
    }
}

fn settings(c: &mut Checker, args: &Args, me: Option<Peer>) -> Option<Settings> {
    let horizon: Option<u64> = c.whole("horizon", &args.horizon, 1, 86_400);
    let append_gap = c.whole("append-gap", &args.append_gap, 1, 60_000);
    let close_after = c.whole("close-after", &args.close_after, 1_000, 600_000);
    let every = c.whole("checkpoint-every", &args.checkpoint_every, 10, 10_000_000);
    let queue = c.whole("queue", &args.queue, 1, 65_536);
    let step = c.whole("step", &args.step, 0, 600_000);
    let mut settings = Settings::new(me?, rand::rng().random());
    settings.sizing = Sizing {
        horizon: Millis(horizon? * 1_000),
    };
    settings.append_gap = Millis(append_gap?);
    settings.close_after = Millis(close_after?);
    settings.checkpoint_every = every?;
    settings.bound = Bound {
        len: queue?,
        step: Millis(step?),
    };
    Some(settings)
}

/// Binds an address, and says which where that fails.
pub async fn bind(what: &str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Io {
            what: format!("--{what} {address}"),
            source,
        })
}

/// Binds a router's addresses; those given with port 0 are filled in.
pub async fn bound(mut checked: Checked, signals: Signals) -> Result<router::Options> {
    let entry = bind("entry", checked.settings.me.entry).await?;
    let peers = bind("peer", checked.settings.me.address).await?;
    let local = |listener: &TcpListener| {
        listener.local_addr().map_err(|source| Error::Io {
            what: "bound address".to_owned(),
            source,
        })
    };
    checked.settings.me.entry = local(&entry)?;
    checked.settings.me.address = local(&peers)?;
    Ok(router::Options {
        settings: checked.settings,
        entry,
        peers,
        log: HttpLog::new(checked.log),
        hosts: HttpHosts::new(checked.hosts),
        operator_hash: checked.operator_hash,
        fleet_key: checked.fleet_key,
        body_max: checked.body_max,
        silence: checked.silence,
        signals,
    })
}

fn read(args: &[String], adapter: &Adapter) -> Result<Checked> {
    match parse(args, adapter)?.command {
        Some(Command::Router(args)) => check(&args),
        _ => super::usage("no router command"),
    }
}

/// Runs a router by the options `given`, which SIGHUP has read again from the command line `args`.
pub fn run(given: &Args, args: &[String], adapter: &Adapter) -> Result<()> {
    let checked = check(given)?;
    start_logs(&checked.log_level);
    if checked.policy != POLICY {
        tracing::warn!(event = "policy_removed", given = %checked.policy, in_force = POLICY);
    }
    let (args, adapter) = (args.to_vec(), adapter.clone());
    let reload = reload(move || read(&args, &adapter).map(|checked| checked.in_force));
    block_on(checked.threads, async {
        let options = bound(checked, super::signals(reload)?).await?;
        let me = &options.settings.me;
        print(&format!("entry={} peer={}\n", me.entry, me.address))?;
        tracing::info!(event = "listening", entry = %me.entry, peer = %me.address, incarnation = %me.incarnation);
        router::run(options).await;
        Ok(())
    })
}
