//! `lanedeck burn`: reports the burn rate of service-level objectives.

use gumdrop::Options;

use super::client::{Client, parse_addresses};
use super::{Error, Result, block_on, print, start_logs, usage};
use crate::router::report::{Series, burn, page};

pub const ABOUT: &str =
    "Fetches the time series of routers, merges them, and reports for each customer,
class and model: requests, first token and between-token p50/p95/p99, refusals by reason, and burn
rate over 5 minutes and 1 hour against the class's objective.

Examples:
  lanedeck burn --to 10.0.0.1:7000 --to 10.0.0.2:7000 --secret S
  lanedeck burn --to 10.0.0.1:7000 --secret S --format html --output burn.html
";

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address of a router; may be repeated"
    )]
    to: Vec<String>,
    #[options(no_short, meta = "SECRET", help = "operators' shared secret")]
    secret: String,
    #[options(
        no_short,
        meta = "FORMAT",
        default = "table",
        help = "output format: table, json or html"
    )]
    format: String,
    #[options(
        no_short,
        meta = "FILE",
        help = "output file; standard output by default"
    )]
    output: Option<String>,
}

pub fn run(args: &Args) -> Result<()> {
    start_logs("warn");
    let routers = parse_addresses("to", &args.to)?;
    if !["table", "json", "html"].contains(&args.format.as_str()) {
        return usage(format!(
            "--format: {:?} given, wanted is table, json or html",
            args.format
        ));
    }
    let client = Client::new(&format!("operator:{}", args.secret));
    let series = block_on(1, async {
        let mut all: Vec<Series> = Vec::new();
        for address in &routers {
            let answer = client.get(*address, "/v1/burn").await?;
            let series: Vec<Series> =
                serde_json::from_value(answer).map_err(|error| Error::Remote {
                    message: format!("{address}/v1/burn: {error}"),
                })?;
            all.extend(series);
        }
        Ok(all)
    })?;
    let rows = burn::merge(series);
    let text = match args.format.as_str() {
        "json" => serde_json::to_string_pretty(&rows).expect("rows are plain data") + "\n",
        "html" => page(&rows),
        _ => burn::table(&rows),
    };
    match &args.output {
        None => print(&text),
        Some(file) => std::fs::write(file, text).map_err(|source| Error::Io {
            what: file.clone(),
            source,
        }),
    }
}
