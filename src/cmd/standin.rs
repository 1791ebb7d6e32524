//! `lanedeck standin`: runs a stand-in for a service of the platform or for a target.

use std::time::Duration;

use gumdrop::Options;
use tokio::net::TcpListener;
use volo_http::server::route::Router;

use super::client::parse_address;
use super::router::bind;
use super::{Error, Result, block_on, print, start_logs, usage};
use crate::standin::engine::{Engine, EngineConfig};
use crate::standin::hosts::Hosts;
use crate::standin::log::Log;
use crate::standin::serve;
use crate::standin::service::Service;

pub const ABOUT: &str =
    "Runs a stand-in for a service that a fleet depends on. POST /v1/faults sets
the faults of a running stand-in: the body is a JSON object, and a field that it omits is reset. The
module of each kind documents the fields.

Examples:
  lanedeck standin log --listen 127.0.0.1:7100
  lanedeck standin engine --listen 127.0.0.1:7301 --slots 8 --between 30
  curl -d '{\"down\":true}' http://127.0.0.1:7100/v1/faults
";

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:0",
        help = "listening address; port 0 picks a free port"
    )]
    listen: String,
    #[options(
        no_short,
        meta = "N",
        default = "16",
        help = "engine: concurrent requests"
    )]
    slots: usize,
    #[options(
        no_short,
        meta = "MS",
        default = "20",
        help = "engine: time to the first token, in milliseconds"
    )]
    first: u64,
    #[options(
        no_short,
        meta = "MS",
        default = "10",
        help = "engine: time between tokens, in milliseconds"
    )]
    between: u64,
    #[options(no_short, help = "engine: accepts requests with a stale fencing token")]
    unfenced: bool,
    #[options(free)]
    kind: Vec<String>,
}

pub fn run(args: &Args) -> Result<()> {
    let listen = parse_address("listen", &args.listen)?;
    let kind = args.kind.first().map(String::as_str);
    let routes = match kind {
        Some("log") => Log::default().routes(),
        Some("hosts") => Hosts::default().routes(),
        Some("engine") => Engine::new(engine_config(args)).routes(),
        Some("service") => Service::default().routes(),
        _ => return usage("wanted is log, hosts, engine or service"),
    };
    start_logs("warn");
    block_on(2, async {
        let listener = bind("listen", listen).await?;
        print_address(&listener)?;
        run_routes(listener, routes).await;
        Ok(())
    })
}

async fn run_routes(listener: TcpListener, routes: Router) {
    serve(listener, routes).await;
}

fn print_address(listener: &TcpListener) -> Result<()> {
    let address = listener.local_addr().map_err(|source| Error::Io {
        what: "bound address".to_owned(),
        source,
    })?;
    print(&format!("listen={address}\n"))
}

fn engine_config(args: &Args) -> EngineConfig {
    EngineConfig {
        slots: args.slots.max(1),
        first_token: Duration::from_millis(args.first),
        between_tokens: Duration::from_millis(args.between),
        checks_fence: !args.unfenced,
    }
}
