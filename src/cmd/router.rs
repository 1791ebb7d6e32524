//! `lanedeck router`: runs a router on an entry host.

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

pub const ABOUT: &str = "Runs a router on an entry host. On SIGTERM it stops when all requests in
progress have finished. SIGHUP reads and validates the settings again.

Examples:
  lanedeck router --entry 10.0.0.1:7000 --peer 10.0.0.1:7001 --hall nacka \\
      --region stockholm --log 10.0.9.1:7100 --hosts 10.0.9.2:7200 \\
      --operator-hash $(printf %s SECRET | sha256sum | cut -c1-64) --fleet-key KEY
  LANEDECK_HALL=solna lanedeck check ...   validates all settings and starts no router
";

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:7000",
        help = "listening address for callers and operators"
    )]
    pub entry: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:7001",
        help = "listening address for other routers"
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
        help = "this host's region, with the same characters as --hall"
    )]
    pub region: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:7100",
        help = "address of the platform's log"
    )]
    pub log: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:7200",
        help = "address of the platform's host list"
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
        help = "shared secret that routers of this fleet authenticate with, 8 to 256 visible characters"
    )]
    pub fleet_key: String,
    #[options(
        no_short,
        meta = "POLICY",
        default = "two",
        help = "target selection policy: two; least, prefix and expected are accepted and act as two"
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
        help = "minimum interval between appends to a stream, in milliseconds, 1 to 60000"
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
        help = "most requests that wait for one model or service, 1 to 65536"
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
        help = "longest silence of a target within a response, in milliseconds, 100 to 3600000"
    )]
    pub silence: String,
    #[options(
        no_short,
        meta = "N",
        default = "2",
        help = "threads for traffic, 1 to 64; the control state has a dedicated thread"
    )]
    pub threads: String,
    #[options(
        no_short,
        meta = "LEVEL",
        default = "info",
        help = "log level: error, warn, info, debug or trace"
    )]
    pub log_level: String,
}

/// The only target selection policy.
const POLICY: &str = "two";
/// Accepted values of `--policy`. The other policies were removed; settings that name one are accepted and run with
/// [`POLICY`].
const POLICIES: [&str; 4] = [POLICY, "least", "prefix", "expected"];

/// Validated settings.
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

/// Validates all settings, so that one error reports every invalid one.
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
    let policy = c.setting("policy", &args.policy, &wanted, |policy: &String| {
        POLICIES.contains(&policy.as_str())
    });
    let me = || Some(own_initial_peer(entry?, peer?, hall?, region?));
    let settings = settings(c, args, me());
    let body_max = c.integer("body-max", &args.body_max, 1_024, 67_108_864);
    let silence = c.integer("silence", &args.silence, 100, 3_600_000);
    let threads = c.integer("threads", &args.threads, 1, 64);
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

/// This router's own entry, as it first announces itself to the others.
fn own_initial_peer(entry: SocketAddr, address: SocketAddr, hall: String, region: String) -> Peer {
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
    let horizon: Option<u64> = c.integer("horizon", &args.horizon, 1, 86_400);
    let append_gap = c.integer("append-gap", &args.append_gap, 1, 60_000);
    let close_after = c.integer("close-after", &args.close_after, 1_000, 600_000);
    let checkpoint_every = c.integer("checkpoint-every", &args.checkpoint_every, 10, 10_000_000);
    let queue = c.integer("queue", &args.queue, 1, 65_536);
    let step = c.integer("step", &args.step, 0, 600_000);
    let mut settings = Settings::new(me?, rand::rng().random());
    settings.sizing = Sizing {
        horizon: Millis(horizon? * 1_000),
    };
    settings.append_gap = Millis(append_gap?);
    settings.close_after = Millis(close_after?);
    settings.checkpoint_every = checkpoint_every?;
    settings.bound = Bound {
        len: queue?,
        step: Millis(step?),
    };
    Some(settings)
}

/// Binds an address. The error of a failed bind names the option and the address.
pub async fn bind(option: &str, address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| bind_error(option, address, source))
}

/// The error of a failed bind.
pub fn bind_error(option: &str, address: SocketAddr, source: std::io::Error) -> Error {
    Error::Io {
        what: format!("--{option} {address}"),
        source,
    }
}

/// Binds a router's addresses, and replaces port 0 in the settings by the port that was bound.
pub async fn bind_listeners(mut checked: Checked, signals: Signals) -> Result<router::Options> {
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

fn reparse(args: &[String], adapter: &Adapter) -> Result<Checked> {
    match parse(args, adapter)?.command {
        Some(Command::Router(args)) => check(&args),
        _ => super::usage("no router command"),
    }
}

/// Runs a router with the parsed options. SIGHUP parses and validates the command line `args` again.
pub fn run(options: &Args, args: &[String], adapter: &Adapter) -> Result<()> {
    let checked = check(options)?;
    start_logs(&checked.log_level);
    if checked.policy != POLICY {
        tracing::warn!(event = "policy_removed", given = %checked.policy, in_force = POLICY);
    }
    let (args, adapter) = (args.to_vec(), adapter.clone());
    let reload = reload(move || reparse(&args, &adapter).map(|checked| checked.in_force));
    block_on(checked.threads, async {
        let options = bind_listeners(checked, super::signals(reload)?).await?;
        let me = &options.settings.me;
        print(&format!("entry={} peer={}\n", me.entry, me.address))?;
        tracing::info!(event = "listening", entry = %me.entry, peer = %me.address, incarnation = %me.incarnation);
        router::run(options).await;
        Ok(())
    })
}
