//! `lanedeck gateway`: runs a router for callers that use the deployment's dialect.

use std::net::SocketAddr;

use gumdrop::Options;
use rand::RngExt;
use tokio::net::TcpListener;

use super::router::{bind, bind_error};
use super::settings::{Checker, missing};
use super::{Adapter, Command, Error, Result, dropped_lines, parse, start_output_logs};
use crate::boot_clock;
use crate::gateway;
use crate::gateway::decision::backlog;
use crate::gateway::decision::capacity::Capacity;
use crate::gateway::decision::grant::Sizing;
use crate::gateway::decision::retry::Bound;
use crate::gateway::decision::rollout;
use crate::gateway::members::Router;
use crate::gateway::state::Settings;
use crate::net;
use crate::units::Millis;

pub const ABOUT: &str = "Runs a router for callers that use the deployment's dialect. On SIGTERM it
stops when all requests in progress have finished or --grace has passed. Durable state is kept in
the deployment's store. SIGHUP reads and validates the settings again.

Every option can also be set in the deployment's settings file, as a line NAME=value with the name
of its environment variable. The command line takes precedence over the environment, and that over
the file. Durations are in milliseconds, or in seconds with the suffix s: 1500, 1500ms, 1.5s.

Example:
  lanedeck gateway --name a --front 10.0.0.1:8000 --ready 10.0.0.1:8001 \\
      --directory 10.0.0.1:8002 --link 10.0.0.1:8003 --store 10.0.9.1:7100
";

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        no_short,
        meta = "NAME",
        default = "router",
        help = "this host's name, the same after each restart: 1 to 64 letters, digits, dots, dashes, underscores"
    )]
    pub name: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:8000",
        help = "listening address for callers"
    )]
    pub front: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:8001",
        help = "listening address for readiness probes"
    )]
    pub ready: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:8002",
        help = "listening address where callers look up the addresses to use"
    )]
    pub directory: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:8003",
        help = "listening address for other routers"
    )]
    pub link: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "",
        help = "listening address for requests of other routers that have no path to the targets; empty: this router sends none for others"
    )]
    pub proxy: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:8004",
        help = "listening address for metrics"
    )]
    pub metrics: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:7100",
        help = "address of the deployment's store"
    )]
    pub store: String,
    #[options(
        no_short,
        meta = "NAME",
        default = "hall",
        help = "this host's data hall: 1 to 64 letters, digits, dots, dashes, underscores"
    )]
    pub hall: String,
    #[options(
        no_short,
        meta = "MS",
        default = "1200",
        help = "interval between heartbeats, in milliseconds, 50 to 60000"
    )]
    pub heartbeat: String,
    #[options(
        no_short,
        meta = "MS",
        default = "2000",
        help = "how long callers may cache addresses, in milliseconds, 100 to 600000"
    )]
    pub keep: String,
    #[options(
        no_short,
        meta = "MS",
        default = "30000",
        help = "longest duration of a graceful stop, in milliseconds, 1000 to 3600000"
    )]
    pub grace: String,
    #[options(
        no_short,
        meta = "X",
        default = "0.2",
        help = "retries allowed for each request within the window, 0 to 10"
    )]
    pub repeat_ratio: String,
    #[options(
        no_short,
        meta = "MS",
        default = "10000",
        help = "window of the retry budget, in milliseconds, 100 to 600000"
    )]
    pub repeat_window: String,
    #[options(
        no_short,
        meta = "N",
        default = "20",
        help = "retries allowed in each window in addition to the ratio, over the whole fleet, 0 to 1000000"
    )]
    pub repeat_extra: String,
    #[options(
        no_short,
        meta = "X",
        default = "0.1",
        help = "fraction of a service's requests during a rollout that a bad version may get, 0 to 1"
    )]
    pub rollout_share: String,
    #[options(
        no_short,
        meta = "N",
        default = "50",
        help = "requests that a bad version may get in addition, over the whole fleet, 0 to 1000000"
    )]
    pub rollout_extra: String,
    #[options(
        no_short,
        meta = "MS",
        default = "8000",
        help = "demand that a grant of prepaid tokens covers, in milliseconds, 100 to 86400000"
    )]
    pub horizon: String,
    #[options(
        no_short,
        meta = "MS",
        default = "12000",
        help = "no tokens are granted ahead of need from a prepaid budget that lasts no longer than this at the present demand, in milliseconds, 0 to 86400000"
    )]
    pub exact: String,
    #[options(
        no_short,
        meta = "X",
        default = "0.8",
        help = "fraction of the budget left beyond --exact that all routers together may hold ahead of need, 0 to 1"
    )]
    pub share: String,
    #[options(
        no_short,
        meta = "X",
        default = "0.05",
        help = "fraction of the budget left beyond --exact that is spread over all routers regardless of their demand, 0 to 1"
    )]
    pub spread: String,
    #[options(
        no_short,
        meta = "N",
        default = "8",
        help = "routers that hold grants of one customer ahead of need; the others borrow from them, 1 to 1000"
    )]
    pub holders: String,
    #[options(
        no_short,
        meta = "MS",
        default = "0",
        help = "greatest age of a backup that the store may be restored from, losing later acknowledged writes, in milliseconds, 0 to 600000; 0 where it never loses any. A customer's first grants are spent only once they are this old"
    )]
    pub copy_age: String,
    #[options(
        no_short,
        meta = "N",
        default = "24",
        help = "partitions of the store that customers are spread over, 1 to 10000; must be the same at all routers and must not change while the store holds budgets"
    )]
    pub partitions: String,
    #[options(
        no_short,
        meta = "KEY",
        default = "lanedeck-fleet",
        help = "shared secret that routers of this fleet authenticate with, 8 to 256 visible characters; replace the default where others can reach --link or --proxy"
    )]
    pub fleet_key: String,
    #[options(
        no_short,
        meta = "MB",
        default = "0",
        help = "memory that the process may use, in megabytes, 0 to 1000000; 0 where it is not limited. Requests are refused before bodies and answers take too much of it"
    )]
    pub memory: String,
    #[options(
        no_short,
        meta = "X",
        default = "0",
        help = "processor cores that the process may use, 0 to 1024; 0 where unknown. Where routers differ, callers and grants are spread by capacity"
    )]
    pub cores: String,
    #[options(
        no_short,
        meta = "X",
        default = "0",
        help = "rate of this host's link in Mbit/s, 0 to 1000000; 0 where unknown"
    )]
    pub link_mbps: String,
    #[options(
        no_short,
        meta = "LEVEL",
        default = "info",
        help = "log level: error, warn, info, debug or trace"
    )]
    pub log_level: String,
}

/// Bytes in a megabyte, as settings count memory.
const MEGABYTE: usize = 1_000_000;

/// Validated settings.
struct Checked {
    settings: Settings,
    ready: SocketAddr,
    directory: SocketAddr,
    metrics: SocketAddr,
    proxy: Option<SocketAddr>,
    store: SocketAddr,
    address_ttl: Millis,
    grace: Millis,
    fleet_key: String,
    partitions: u32,
    memory: Option<usize>,
    log_level: String,
    in_force: String,
}

/// Validates all settings, so that one error reports every invalid one.
fn check(args: &Args) -> Result<Checked> {
    let mut checker = Checker::default();
    let c = &mut checker;
    let name = c.name("name", &args.name);
    let front = c.address("front", &args.front);
    let ready = c.address("ready", &args.ready);
    let directory = c.address("directory", &args.directory);
    let link = c.address("link", &args.link);
    let metrics = c.address("metrics", &args.metrics);
    let proxy = proxy_address(c, args);
    let store = c.address("store", &args.store);
    let hall = c.name("hall", &args.hall);
    let heartbeat = c.duration("heartbeat", &args.heartbeat, 50.0, 60_000.0);
    let address_ttl = c.duration("keep", &args.keep, 100.0, 600_000.0);
    let grace = c.duration("grace", &args.grace, 1_000.0, 3_600_000.0);
    let retries = retry_budget(c, args);
    let sizing = sizing(c, args);
    let rollout = rollout_limit(c, args);
    let partitions = c.number("partitions", &args.partitions, 1, 10_000);
    let memory = c.number("memory", &args.memory, 0_usize, 1_000_000);
    let capacity = capacity(c, args);
    let log_level = c.log_level(&args.log_level);
    c.fleet_key(&args.fleet_key);
    let in_force = checker.finish()?;
    let checked = || {
        Some(Checked {
            settings: Settings {
                me: initial_entry(name?, front?, link?, hall?),
                capacity: capacity?,
                heartbeat: heartbeat?,
                retries: retries?,
                sizing: sizing?,
                rollout: rollout?,
                seed: rand::rng().random(),
                started: None,
            },
            ready: ready?,
            directory: directory?,
            metrics: metrics?,
            proxy: proxy?,
            store: store?,
            address_ttl: address_ttl?,
            grace: grace?,
            fleet_key: args.fleet_key.clone(),
            partitions: partitions?,
            memory: memory.map(|megabytes| (megabytes > 0).then_some(megabytes * MEGABYTE))?,
            log_level: log_level?,
            in_force,
        })
    };
    checked().ok_or_else(missing)
}

/// This router's member entry as it is before the first heartbeat.
fn initial_entry(name: String, front: SocketAddr, link: SocketAddr, hall: String) -> Router {
    Router {
        name,
        incarnation: rand::rng().random(),
        front,
        link,
        hall,
        is_ready: false,
        heartbeat: 0,
    }
}

/// The listening address for other routers' requests, which may be left out.
fn proxy_address(c: &mut Checker, args: &Args) -> Option<Option<SocketAddr>> {
    if args.proxy.is_empty() {
        return Some(None);
    }
    c.address("proxy", &args.proxy).map(Some)
}

fn retry_budget(c: &mut Checker, args: &Args) -> Option<Bound> {
    let ratio = c.number("repeat-ratio", &args.repeat_ratio, 0.0, 10.0);
    let window = c.duration("repeat-window", &args.repeat_window, 100.0, 600_000.0);
    let extra = c.number("repeat-extra", &args.repeat_extra, 0.0, 1e6);
    Some(Bound {
        ratio: ratio?,
        window: window?,
        extra: extra?,
    })
}

fn capacity(c: &mut Checker, args: &Args) -> Option<Capacity> {
    let cores = c.number("cores", &args.cores, 0.0, 1_024.0);
    let link = c.number("link-mbps", &args.link_mbps, 0.0, 1e6);
    Some(Capacity::new(cores?, link?))
}

fn rollout_limit(c: &mut Checker, args: &Args) -> Option<rollout::Limit> {
    let share = c.number("rollout-share", &args.rollout_share, 0.0, 1.0);
    let extra = c.number("rollout-extra", &args.rollout_extra, 0.0, 1e6);
    Some(rollout::Limit {
        share: share?,
        extra: extra?,
    })
}

fn sizing(c: &mut Checker, args: &Args) -> Option<Sizing> {
    let horizon = c.duration("horizon", &args.horizon, 100.0, 86_400_000.0);
    let exact = c.duration("exact", &args.exact, 0.0, 86_400_000.0);
    let share = c.number("share", &args.share, 0.0, 1.0);
    let spread = c.number("spread", &args.spread, 0.0, 1.0);
    let holders = c.number("holders", &args.holders, 1, 1_000);
    let copy_age = c.duration("copy-age", &args.copy_age, 0.0, 600_000.0);
    Some(Sizing {
        horizon: horizon?,
        exact: exact?,
        share: share?,
        spread: spread?,
        holders: holders?,
        copy_age: copy_age?,
    })
}

fn reparse(args: &[String], adapter: &Adapter) -> Result<Checked> {
    match parse(args, adapter)?.command {
        Some(Command::Gateway(args)) => check(&args),
        _ => super::usage("no gateway command"),
    }
}

/// Runs a gateway with the parsed options. SIGHUP parses and validates the command line `args` again.
pub fn run(options: &Args, args: &[String], adapter: &Adapter) -> Result<()> {
    let checked = check(options)?;
    let logs = start_output_logs(&checked.log_level);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::Io {
            what: "starting the runtime".to_owned(),
            source,
        })?;
    let args = args.to_vec();
    let result = runtime.block_on(serve(checked, args, adapter.clone()));
    drop(logs);
    result
}

/// Binds the callers' address. The length of the accept queue follows from the host's link rate in Mbit/s, `None` if it
/// is unknown.
fn bind_callers(address: SocketAddr, link_mbps: Option<f64>) -> Result<TcpListener> {
    let bound = net::bind(address, backlog::length(link_mbps));
    bound.map_err(|source| bind_error("front", address, source))
}

async fn serve(checked: Checked, args: Vec<String>, adapter: Adapter) -> Result<()> {
    let dialect = adapter.dialect.clone();
    let store = (adapter.store)(checked.store);
    let reload = super::reload(move || reparse(&args, &adapter).map(|checked| checked.in_force));
    let signals = super::signals(reload)?;
    let link_mbps = checked.settings.capacity.link_mbps();
    let callers = bind_callers(checked.settings.me.front, link_mbps)?;
    let link = bind("link", checked.settings.me.link).await?;
    let listeners = gateway::Listeners {
        callers,
        ready: bind("ready", checked.ready).await?,
        directory: bind("directory", checked.directory).await?,
        metrics: bind("metrics", checked.metrics).await?,
        proxy: match checked.proxy {
            Some(address) => Some(bind("proxy", address).await?),
            None => None,
        },
    };
    let mut settings = checked.settings;
    // The link address is bound by now, so no earlier process of the same name is still running.
    settings.started = boot_clock::Reading::now();
    let in_force = checked.in_force.replace('\n', " ");
    tracing::info!(event = "settings", in_force);
    let options = gateway::Options {
        settings,
        listeners,
        link,
        fleet_key: checked.fleet_key,
        partitions: checked.partitions,
        address_ttl: checked.address_ttl,
        memory: checked.memory,
        grace: checked.grace,
        dialect,
        store,
        signals,
        dropped_log_lines: dropped_lines,
    };
    gateway::run(options).await.map_err(|source| Error::Io {
        what: "--link".to_owned(),
        source,
    })
}
