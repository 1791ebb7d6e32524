//! `lanedeck load`: generates callers' traffic and verifies every byte of the responses.

mod caller;
mod tally;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gumdrop::Options;
use rand::RngExt;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use self::caller::{Caller, Job, Settings};
use self::tally::Tally;
use super::client::{Client, parse_addresses};
use super::{Error, Result, block_on, print, usage};

pub const ABOUT: &str = "Generates callers' traffic: fetches the entry addresses, sends requests that
each have an id of their own, retries with the same id where a response is lost, and compares every
byte of a response with what the stand-in engine must send. Prints rates, verdicts and latencies,
and exits with 1 if a response was wrong.

Examples:
  lanedeck load --entry 127.0.0.1:7000 --key kiosks:secret --model assistant --requests 500 --rate 50
";

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, meta = "IP:PORT", help = "entry address; may be repeated")]
    entry: Vec<String>,
    #[options(no_short, meta = "KEY", help = "CUSTOMER:SECRET")]
    key: String,
    #[options(no_short, meta = "NAME", default = "assistant", help = "model to call")]
    model: String,
    #[options(
        no_short,
        meta = "NAME",
        help = "service to call as well, with requests that are not repeatable"
    )]
    service: Option<String>,
    #[options(
        no_short,
        meta = "N",
        default = "100",
        help = "share of service calls, per thousand"
    )]
    service_share: u32,
    #[options(no_short, meta = "N", default = "100", help = "requests to send")]
    requests: u64,
    #[options(
        no_short,
        meta = "N",
        default = "50",
        help = "arrival rate in requests per second, independent of completions"
    )]
    rate: f64,
    #[options(
        no_short,
        meta = "N",
        default = "64",
        help = "most requests in progress"
    )]
    callers: usize,
    #[options(no_short, meta = "N", default = "20", help = "tokens in each response")]
    tokens: u64,
    #[options(
        no_short,
        meta = "N",
        default = "20",
        help = "most attempts per request"
    )]
    tries: u32,
    #[options(
        no_short,
        meta = "MS",
        default = "1000",
        help = "longest delay before a retry, in milliseconds"
    )]
    wait_max: u64,
    #[options(no_short, meta = "FILE", help = "file for one JSON line per request")]
    output: Option<String>,
}

pub fn run(args: &Args) -> Result<()> {
    let entries = parse_addresses("entry", &args.entry)?;
    if args.rate.is_nan() || args.rate <= 0.0 {
        return usage("--rate: wanted is a number greater than 0");
    }
    let tally = block_on(4, drive(args, entries))?;
    if let Some(file) = &args.output {
        std::fs::write(file, tally.json_lines()).map_err(|source| Error::Io {
            what: file.clone(),
            source,
        })?;
    }
    print(&tally.report())?;
    match tally.wrong() {
        0 => Ok(()),
        wrong => super::failed(format!("{wrong} responses were wrong")),
    }
}

async fn drive(args: &Args, entries: Vec<SocketAddr>) -> Result<Tally> {
    let settings = Settings {
        model: args.model.clone(),
        service: args.service.clone(),
        tokens: args.tokens,
        tries: args.tries,
        wait_max: Duration::from_millis(args.wait_max),
    };
    let caller = Caller::new(Client::new(&args.key), entries, settings).await?;
    let caller = Arc::new(caller);
    let in_progress = Arc::new(Semaphore::new(args.callers.max(1)));
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for number in 0..args.requests {
        let arrival = start + Duration::from_secs_f64(number as f64 / args.rate);
        tokio::time::sleep_until(arrival.into()).await;
        let permit = Arc::clone(&in_progress).acquire_owned().await;
        let job = job(args, number);
        let caller = Arc::clone(&caller);
        tasks.spawn(async move {
            let record = caller.serve(job).await;
            drop(permit);
            record
        });
    }
    let mut tally = Tally::default();
    while let Some(record) = tasks.join_next().await {
        if let Ok(record) = record {
            tally.add(record);
        }
    }
    tally.elapsed = start.elapsed();
    Ok(tally)
}

fn job(args: &Args, number: u64) -> Job {
    let mut rng = rand::rng();
    Job {
        // Random, so that another run against the same routers does not reuse the ids.
        number: rng.random_range(0..1 << 31),
        service: args.service.is_some() && rng.random_range(0..1_000) < args.service_share,
        text: format!("question {number}"),
    }
}
