//! Subcommands of the binary. Each module defines the options of one command and its `run` function.

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
use crate::signals::{Reload, Signals, ignore_hangup};
use crate::store::Store;

const ABOUT: &str = "lanedeck: a router fleet for prepaid token budgets

Examples:
  lanedeck demo --once            serve one request of each kind on loopback, exit
  lanedeck router --help          print the settings of a router
  lanedeck intent --help          print how operators plan and confirm changes

Every option that takes a value can also be set in the environment: --append-gap
is LANEDECK_APPEND_GAP. The command line takes precedence.
";

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The command line or a setting is invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// Describes everything that is invalid.
        message: String,
    },
    /// An operation of the system failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// The operation, file or option that failed.
        what: String,
        /// The system's error.
        source: io::Error,
    },
    /// Another process did not respond, or refused the request.
    #[snafu(display("{message}"))]
    Remote {
        /// The message of its response, or the error of the call.
        message: String,
    },
    /// A check that the command makes did not pass.
    #[snafu(display("{message}"))]
    Failed {
        /// Describes the check that failed.
        message: String,
    },
    /// The reader of standard output has closed it.
    #[snafu(display("output closed"))]
    Closed,
}

impl Error {
    /// Exit status of the process for this error.
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            _ => 1,
        }
    }
}

/// The parts of the binary that are specific to the deployment it runs on.
#[derive(Clone)]
pub struct Adapter {
    /// The protocol dialect of its callers and targets.
    pub dialect: Arc<dyn Dialect>,
    /// Creates a client for the store at an address.
    pub store: fn(SocketAddr) -> Arc<dyn Store>,
    /// Path of the deployment's settings file, if it has one.
    pub settings: Option<String>,
}

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

pub(crate) fn usage<T>(message: impl Into<String>) -> Result<T> {
    let message = message.into();
    Err(Error::Usage { message })
}

pub(crate) fn failed<T>(message: impl Into<String>) -> Result<T> {
    let message = message.into();
    Err(Error::Failed { message })
}

/// Creates the SIGHUP handler. `read` parses and validates the settings and returns the effective ones as text.
pub(crate) fn reload(read: impl Fn() -> Result<String> + Send + Sync + 'static) -> Reload {
    Arc::new(move || match read() {
        Ok(in_force) => Ok(in_force.replace('\n', " ")),
        Err(error) => Err(error.to_string()),
    })
}

/// Installs the signal handlers of a serving process; `reload` handles SIGHUP.
pub(crate) fn signals(reload: Reload) -> Result<Signals> {
    Signals::new(reload).map_err(signals_failed)
}

fn signals_failed(source: io::Error) -> Error {
    Error::Io {
        what: "installing signal handlers".to_owned(),
        source,
    }
}

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[expect(
    clippy::large_enum_variant,
    reason = "a process has one value, and gumdrop parses no boxed options"
)]
#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a router on an entry host")]
    Router(router::Args),
    #[options(help = "run a router for callers that use the deployment's dialect")]
    Gateway(gateway::Args),
    #[options(help = "plan and confirm changes and show the state, for operators")]
    Intent(intent::Args),
    #[options(help = "report the burn rate of service-level objectives")]
    Burn(burn::Args),
    #[options(help = "validate a router's settings and print the effective ones")]
    Check(router::Args),
    #[options(help = "generate callers' traffic and print rates, verdicts and latencies")]
    Load(load::Args),
    #[options(help = "run a stand-in: log, hosts, engine or service")]
    Standin(standin::Args),
    #[options(help = "run a complete fleet on loopback in one process")]
    Demo(demo::Args),
}

/// Parses the command line and runs its command.
///
/// # Errors
/// A usage error for an invalid command line or setting, or the error of the command.
pub fn run(args: &[String], adapter: &Adapter) -> Result<()> {
    let name = args.first().map_or("", String::as_str);
    if matches!(name, "router" | "gateway") {
        ignore_hangup().map_err(signals_failed)?;
    }
    let parsed = parse(args, adapter)?;
    if parsed.version {
        return print(&format!("lanedeck {}\n", env!("CARGO_PKG_VERSION")));
    }
    if parsed.help_requested() {
        return print(&help(&parsed, name));
    }
    match parsed.command {
        Some(Command::Router(options)) => router::run(&options, args, adapter),
        Some(Command::Gateway(options)) => gateway::run(&options, args, adapter),
        Some(Command::Check(args)) => check::run(&args),
        Some(Command::Intent(args)) => intent::run(&args),
        Some(Command::Burn(args)) => burn::run(&args),
        Some(Command::Load(args)) => load::run(&args),
        Some(Command::Standin(args)) => standin::run(&args),
        Some(Command::Demo(args)) => demo::run(&args),
        None => usage(format!("no command\n\n{ABOUT}\n{}", commands())),
    }
}

/// Parses a command line, completed by the environment and the settings file.
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

/// Prints to standard output. A closed pipe is reported as [`Error::Closed`], which does not fail the process.
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

/// Runs a command's future on a runtime with this many worker threads.
pub(crate) fn block_on<T>(threads: usize, work: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(work),
        Err(source) => Err(Error::Io {
            what: "starting the runtime".to_owned(),
            source,
        }),
    }
}

/// Most log lines that wait to be written; any more are dropped and counted.
const LOG_LINES_MAX: usize = 8_192;

/// Size of the write buffer for log lines, in bytes: the lines that wait when the writer runs go out in one system
/// call.
const LOG_BUFFER_BYTES: usize = 32 << 10;

static DROPPED_LINES: std::sync::OnceLock<tracing_appender::non_blocking::ErrorCounter> =
    std::sync::OnceLock::new();

/// Number of log lines dropped because the reader of standard output was too slow.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES
        .get()
        .map_or(0, |counter| counter.dropped_lines() as u64)
}

/// Logs to standard output, one line of key=value pairs per event, and never blocks on its reader. The returned guard
/// writes the remaining lines when dropped.
pub(crate) fn start_output_logs(level: &str) -> tracing_appender::non_blocking::WorkerGuard {
    use tracing_subscriber::EnvFilter;
    use tracing_subscriber::layer::SubscriberExt;
    use tracing_subscriber::util::SubscriberInitExt;
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_LINES_MAX)
        .finish(io::BufWriter::with_capacity(LOG_BUFFER_BYTES, io::stdout()));
    let _ = DROPPED_LINES.set(writer.error_counter());
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

/// Logs to standard error, one line of key=value pairs per event.
pub(crate) fn start_logs(level: &str) {
    use tracing_subscriber::EnvFilter;
    use tracing_subscriber::layer::SubscriberExt;
    use tracing_subscriber::util::SubscriberInitExt;
    let filter = EnvFilter::new(format!("warn,lanedeck={level}"));
    let layer = tracing_logfmt::builder().layer().with_writer(io::stderr);
    // Later calls in the same process have no effect.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}
