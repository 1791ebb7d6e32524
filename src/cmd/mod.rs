//! The commands: one file each, with its options and one `run`.

mod burn;
mod check;
mod client;
mod demo;
mod gateway;
mod intent;
mod load;
mod router;
mod settings;
mod standin;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use gumdrop::Options;
use snafu::Snafu;

use crate::gateway::dialect::Dialect;
use crate::signals::{Reload, Signals, hold_hangup};
use crate::store::Store;

const ABOUT: &str = "lanedeck: a router fleet for prepaid token budgets

Examples:
  lanedeck demo --once            serve on loopback, show each promise, exit
  lanedeck router --help          the settings of a router
  lanedeck intent --help          how operators plan and confirm

Every option that takes a value can be given in the environment as well:
--append-gap is LANEDECK_APPEND_GAP. The command line goes first.
";

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The command line or a setting is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// All that is wrong.
        message: String,
    },
    /// The system refused something.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was tried.
        what: String,
        /// The system's error.
        source: io::Error,
    },
    /// Another process did not answer, or refused.
    #[snafu(display("{message}"))]
    Remote {
        /// What it said.
        message: String,
    },
    /// Something that the command checks does not hold.
    #[snafu(display("{message}"))]
    Failed {
        /// What does not hold.
        message: String,
    },
    /// Whoever reads our output has gone.
    #[snafu(display("output closed"))]
    Closed,
}

impl Error {
    /// The process's exit status.
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            _ => 1,
        }
    }
}

/// What the binary is built with for the deployment that it runs on.
#[derive(Clone)]
pub struct Adapter {
    /// What callers and targets speak there.
    pub dialect: Arc<dyn Dialect>,
    /// Makes a client of the store at an address.
    pub store: fn(SocketAddr) -> Arc<dyn Store>,
    /// The deployment's settings file, where there is one.
    pub settings: Option<String>,
}

/// A command's result.
pub type Result<T> = std::result::Result<T, Error>;

pub(crate) fn usage<T>(message: impl Into<String>) -> Result<T> {
    let message = message.into();
    Err(Error::Usage { message })
}

pub(crate) fn failed<T>(message: impl Into<String>) -> Result<T> {
    let message = message.into();
    Err(Error::Failed { message })
}

/// What a process does at SIGHUP; `read` reads and checks its settings and gives those in force.
pub(crate) fn reload(read: impl Fn() -> Result<String> + Send + Sync + 'static) -> Reload {
    Arc::new(move || match read() {
        Ok(in_force) => Ok(in_force.replace('\n', " ")),
        Err(error) => Err(error.to_string()),
    })
}

/// Takes the signals of a serving process; `reload` is what SIGHUP does.
pub(crate) fn signals(reload: Reload) -> Result<Signals> {
    Signals::new(reload).map_err(signals_failed)
}

fn signals_failed(source: io::Error) -> Error {
    Error::Io {
        what: "signals".to_owned(),
        source,
    }
}

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a router on an entry host")]
    Router(router::Args),
    #[options(help = "run a router towards callers that speak the deployment's dialect")]
    Gateway(gateway::Args),
    #[options(help = "plan, confirm and look, for operators")]
    Intent(intent::Args),
    #[options(help = "report service-level burn")]
    Burn(burn::Args),
    #[options(help = "check a router's settings and print what would be in force")]
    Check(router::Args),
    #[options(help = "drive callers' traffic and print rates, verdicts and latencies")]
    Load(load::Args),
    #[options(help = "run a stand-in: log, hosts, engine or service")]
    Standin(standin::Args),
    #[options(help = "run everything on loopback in one process")]
    Demo(demo::Args),
}

/// Parses the command line and runs its command.
///
/// # Errors
/// What is wrong with the command line, or why the command failed.
pub fn run(args: &[String], adapter: &Adapter) -> Result<()> {
    let name = args.first().map_or("", String::as_str);
    if matches!(name, "router" | "gateway") {
        hold_hangup().map_err(signals_failed)?;
    }
    let parsed = parse(args, adapter)?;
    if parsed.version {
        return print(&format!("lanedeck {}\n", env!("CARGO_PKG_VERSION")));
    }
    if parsed.help_requested() {
        return print(&help(&parsed, name));
    }
    match parsed.command {
        Some(Command::Router(given)) => router::run(&given, args, adapter),
        Some(Command::Gateway(given)) => gateway::run(&given, args, adapter),
        Some(Command::Check(args)) => check::run(&args),
        Some(Command::Intent(args)) => intent::run(&args),
        Some(Command::Burn(args)) => burn::run(&args),
        Some(Command::Load(args)) => load::run(&args),
        Some(Command::Standin(args)) => standin::run(&args),
        Some(Command::Demo(args)) => demo::run(&args),
        None => usage(format!("no command\n\n{ABOUT}\n{}", commands())),
    }
}

/// Parses a command line, with what the environment and the settings file give besides.
fn parse(args: &[String], adapter: &Adapter) -> Result<Args> {
    let name = args.first().map_or("", String::as_str);
    let args = match Command::command_usage(name) {
        Some(usage) => {
            let args = settings::with_environment(usage, args, std::env::vars());
            match &adapter.settings {
                Some(path) => {
                    let pairs = settings::read_file(path)?;
                    settings::with_environment(usage, &args, pairs.into_iter())
                }
                None => args,
            }
        }
        None => args.to_vec(),
    };
    Args::parse_args(&args, gumdrop::ParsingStyle::AllOptions).map_err(|error| Error::Usage {
        message: format!("{error}; see lanedeck {name} --help"),
    })
}

fn help(parsed: &Args, name: &str) -> String {
    let about = match parsed.command {
        Some(Command::Router(_)) => router::ABOUT,
        Some(Command::Gateway(_)) => gateway::ABOUT,
        Some(Command::Check(_)) => check::ABOUT,
        Some(Command::Intent(_)) => intent::ABOUT,
        Some(Command::Burn(_)) => burn::ABOUT,
        Some(Command::Load(_)) => load::ABOUT,
        Some(Command::Standin(_)) => standin::ABOUT,
        Some(Command::Demo(_)) => demo::ABOUT,
        None => return format!("{ABOUT}\n{}\n", commands()),
    };
    let options = Command::command_usage(name).unwrap_or_default();
    format!("{about}\n{options}\n")
}

fn commands() -> String {
    format!("Commands:\n{}", Command::usage())
}

/// Prints to standard output; a reader that has gone is no fault.
pub(crate) fn print(text: &str) -> Result<()> {
    use std::io::Write;
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Ok(()) => Ok(()),
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Err(Error::Closed),
        Err(source) => Err(Error::Io {
            what: "standard output".to_owned(),
            source,
        }),
    }
}

/// Runs a command's work on a runtime with this many threads.
pub(crate) fn block_on<T>(threads: usize, work: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(work),
        Err(source) => Err(Error::Io {
            what: "starting threads".to_owned(),
            source,
        }),
    }
}

/// Log lines that wait to be written; more are dropped and counted.
const LOG_LINES_MAX: usize = 8_192;

/// Bytes of log lines that are written at once: what waits when the writer has its turn is one call of the system.
const LOG_BUFFER: usize = 32 << 10;

static DROPPED: std::sync::OnceLock<tracing_appender::non_blocking::ErrorCounter> =
    std::sync::OnceLock::new();

/// Log lines that were dropped since the reader is too slow.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED
        .get()
        .map_or(0, |counter| counter.dropped_lines() as u64)
}

/// Logs to standard output, a line of key=value pairs an event, without ever waiting for its
/// reader. What is returned writes the last lines when dropped.
pub(crate) fn start_output_logs(level: &str) -> tracing_appender::non_blocking::WorkerGuard {
    use tracing_subscriber::EnvFilter;
    use tracing_subscriber::layer::SubscriberExt;
    use tracing_subscriber::util::SubscriberInitExt;
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_LINES_MAX)
        .finish(io::BufWriter::with_capacity(LOG_BUFFER, io::stdout()));
    let _ = DROPPED.set(writer.error_counter());
    let filter = EnvFilter::new(format!("warn,lanedeck={level}"));
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .layer()
        .with_writer(writer);
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
    guard
}

/// Logs to standard error, a line of key=value pairs an event.
pub(crate) fn start_logs(level: &str) {
    use tracing_subscriber::EnvFilter;
    use tracing_subscriber::layer::SubscriberExt;
    use tracing_subscriber::util::SubscriberInitExt;
    let filter = EnvFilter::new(format!("warn,lanedeck={level}"));
    let layer = tracing_logfmt::builder().layer().with_writer(io::stderr);
    // Only the first start in a process counts.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}
