//! `lanedeck load`: callers' traffic, with every answer checked to the byte.

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
use super::client::{Client, addresses};
use super::{Error, Result, block_on, print, usage};

pub const ABOUT: &str = "Drives callers' traffic: asks for an entry answer, sends requests with ids
of their own, sends them again with the same id where an answer is lost, and checks every byte of
what comes back against what the stand-in engine must say. Prints rates, verdicts and latencies,
and exits with 1 if an answer was wrong.

Examples:
  lanedeck load --entry 127.0.0.1:7000 --key kiosks:secret --model assistant --requests 500 --rate 50
";

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this")]
    help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "an entry address; may be given several times"
    )]
    entry: Vec<String>,
    #[options(no_short, meta = "KEY", help = "CUSTOMER:SECRET")]
    key: String,
    #[options(
        no_short,
        meta = "NAME",
        default = "assistant",
        help = "the model that is called"
    )]
    model: String,
    #[options(
        no_short,
        meta = "NAME",
        help = "a service that is called as well, not repeatable"
    )]
    service: Option<String>,
    #[options(
        no_short,
        meta = "N",
        default = "100",
        help = "share of service calls, in thousandths"
    )]
    service_share: u32,
    #[options(no_short, meta = "N", default = "100", help = "requests to send")]
    requests: u64,
    #[options(
        no_short,
        meta = "N",
        default = "50",
        help = "requests a second that arrive, whether or not others are done"
    )]
    rate: f64,
    #[options(
        no_short,
        meta = "N",
        default = "64",
        help = "requests in progress, at most"
    )]
    callers: usize,
    #[options(no_short, meta = "N", default = "20", help = "tokens of an answer")]
    tokens: u64,
    #[options(
        no_short,
        meta = "N",
        default = "20",
        help = "times that one request is sent, at most"
    )]
    tries: u32,
    #[options(
        no_short,
        meta = "MS",
        default = "1000",
        help = "longest wait before a request is sent again, in milliseconds"
    )]
    wait_max: u64,
    #[options(no_short, meta = "FILE", help = "writes one JSON line a request")]
    output: Option<String>,
}

pub fn run(args: &Args) -> Result<()> {
    let entries = addresses("entry", &args.entry)?;
    if args.rate.is_nan() || args.rate <= 0.0 {
        return usage("--rate: wanted is a number above 0");
    }
    let tally = block_on(4, drive(args, entries))?;
    if let Some(file) = &args.output {
        std::fs::write(file, tally.lines()).map_err(|source| Error::Io {
            what: file.clone(),
            source,
        })?;
    }
    print(&tally.report())?;
    match tally.wrong() {
        0 => Ok(()),
        wrong => super::failed(format!("{wrong} answers were wrong")),
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
    let room = Arc::new(Semaphore::new(args.callers.max(1)));
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for number in 0..args.requests {
        let at = start + Duration::from_secs_f64(number as f64 / args.rate);
        tokio::time::sleep_until(at.into()).await;
        let permit = Arc::clone(&room).acquire_owned().await;
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
        // Never the same: another run against the same routers must not use these ids again.
        number: rng.random_range(0..1 << 31),
        service: args.service.is_some() && rng.random_range(0..1_000) < args.service_share,
        text: format!("question {number}"),
    }
}
