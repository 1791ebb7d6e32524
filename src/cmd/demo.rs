//! `lanedeck demo`: runs a complete fleet on loopback in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gumdrop::Options;
use http::Method;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use super::client::Client;
use super::router::{self, bind};
use super::{Error, Result, block_on, failed, print, start_logs};
use crate::router::client::Listed;
use crate::router::http::{BILLED, BUDGET, REASON, VERDICT};
use crate::standin::engine::{Engine, EngineConfig};
use crate::standin::hosts::Hosts;
use crate::standin::log::Log;
use crate::standin::serve;
use crate::standin::service::Service;
use crate::util::hash_secret;

pub const ABOUT: &str = "Runs a log, a host list, two engines, a service and three routers on
loopback, configures them by intents, and prints the addresses and curl commands that work as printed.
With --once it creates a budget, serves a streamed model request, a call that is not repeatable and
a refusal for an empty budget, checks that the ledgers balance, and exits.

Examples:
  lanedeck demo
  lanedeck demo --once
";

const OPERATOR: &str = "demo-operator";
const CUSTOMER: &str = "kiosks";
const SECRET: &str = "demo-secret";
const FLEET_KEY: &str = "demo-fleet-key";
const PREPAID: u64 = 100_000;
const CALL_PRICE: u64 = 50;
/// Timeout for all routers to become ready, to apply the confirmed configuration and to settle the requests.
const READY_WAIT: Duration = Duration::from_secs(10);

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "serve one request of each kind, check the ledgers, exit"
    )]
    once: bool,
    #[options(
        no_short,
        meta = "PORT",
        default = "7000",
        help = "port of the first router; the others use the ports after it. --once uses free ports"
    )]
    port: u16,
    #[options(
        no_short,
        meta = "LEVEL",
        default = "warn",
        help = "log level: error, warn, info, debug or trace"
    )]
    log_level: String,
}

struct Fleet {
    routers: Vec<SocketAddr>,
    log: SocketAddr,
    operator: Client,
    caller: Client,
}

pub fn run(args: &Args) -> Result<()> {
    start_logs(&args.log_level);
    block_on(4, async {
        let fleet = start_fleet(if args.once { 0 } else { args.port }).await?;
        configure(&fleet).await?;
        if args.once {
            return run_checks(&fleet).await;
        }
        print_instructions(&fleet)?;
        let interrupted = tokio::signal::ctrl_c().await;
        interrupted.map_err(|source| Error::Io {
            what: "waiting for SIGINT".to_owned(),
            source,
        })
    })
}

async fn bind_loopback(port: u16) -> Result<(TcpListener, SocketAddr)> {
    let listener = bind("port", SocketAddr::from(([127, 0, 0, 1], port))).await?;
    let address = listener.local_addr().map_err(|source| Error::Io {
        what: "bound address".to_owned(),
        source,
    })?;
    Ok((listener, address))
}

async fn start_fleet(port: u16) -> Result<Fleet> {
    let (log_listener, log) = bind_loopback(0).await?;
    tokio::spawn(serve(log_listener, Log::default().routes()));
    let hosts = Hosts::default();
    let (hosts_listener, hosts_address) = bind_loopback(0).await?;
    tokio::spawn(serve(hosts_listener, hosts.routes()));

    let mut routers = Vec::new();
    let mut listed = Vec::new();
    for (index, hall) in (0..).zip(["nacka", "solna", "kista"]) {
        let entry_port = if port == 0 { 0 } else { port + index };
        let options = router_options(entry_port, hall, log, hosts_address).await?;
        routers.push(options.settings.me.entry);
        listed.push(Listed {
            address: options.settings.me.address,
            leaving: false,
        });
        tokio::spawn(crate::router::run(options));
    }
    hosts.set(listed);
    Ok(Fleet {
        routers,
        log,
        operator: Client::new(&format!("operator:{OPERATOR}")),
        caller: Client::new(&format!("{CUSTOMER}:{SECRET}")),
    })
}

async fn router_options(
    port: u16,
    hall: &str,
    log: SocketAddr,
    hosts: SocketAddr,
) -> Result<crate::router::Options> {
    let args = [
        format!("--entry=127.0.0.1:{port}"),
        "--peer=127.0.0.1:0".to_owned(),
        format!("--hall={hall}"),
        "--region=stockholm".to_owned(),
        format!("--log={log}"),
        format!("--hosts={hosts}"),
        format!("--operator-hash={}", hash_secret(OPERATOR)),
        format!("--fleet-key={FLEET_KEY}"),
    ];
    let args = router::Args::parse_args_default(&args).map_err(|error| Error::Usage {
        message: error.to_string(),
    })?;
    let checked = router::check(&args)?;
    // The demo passes its settings in code, so a reload yields the same ones.
    let in_force = checked.in_force.clone();
    let signals = super::signals(Arc::new(move || Ok(in_force.clone())))?;
    router::bind_listeners(checked, signals).await
}

fn target(address: SocketAddr, kind: &str, serves: &str, price: u64) -> Value {
    json!({"target": {
        "address": address, "kind": kind, "serves": serves, "hall": "nacka", "slots": 32,
        "checks_fence": true, "draining": false, "call_price": price,
    }})
}

async fn configure(fleet: &Fleet) -> Result<()> {
    let mut targets = Vec::new();
    for name in ["engine-1", "engine-2"] {
        let (listener, address) = bind_loopback(0).await?;
        tokio::spawn(serve(
            listener,
            Engine::new(EngineConfig::default()).routes(),
        ));
        targets.push((name, target(address, "engine", "assistant", 0)));
    }
    let (service_listener, address) = bind_loopback(0).await?;
    tokio::spawn(serve(service_listener, Service::default().routes()));
    targets.push((
        "tickets-1",
        target(address, "service", "tickets", CALL_PRICE),
    ));

    wait_ready(fleet).await?;
    let class = json!({"class": {"rank": 0, "price_permille": 1000, "patience": 5000}});
    put_object(fleet, "class", "counter", &class).await?;
    let customer = json!({"customer": {
        "key_hash": hash_secret(SECRET), "concurrency": 64, "classes": ["counter"],
    }});
    put_object(fleet, "customer", CUSTOMER, &customer).await?;
    for (name, target) in &targets {
        put_object(fleet, "target", name, target).await?;
    }
    for (name, prepaid) in [(CUSTOMER, PREPAID), ("empty", 0)] {
        let intent = json!({"budget": {"name": name, "customer": CUSTOMER, "prepaid": prepaid}});
        fleet.operator.apply(fleet.routers[0], &intent).await?;
    }
    wait_applied(fleet).await
}

async fn put_object(fleet: &Fleet, kind: &str, name: &str, object: &Value) -> Result<()> {
    let intent = json!({"put": {"key": {kind: name}, "object": object}});
    fleet
        .operator
        .apply(fleet.routers[0], &intent)
        .await
        .map(|_| ())
}

async fn statuses(fleet: &Fleet) -> Vec<Value> {
    let mut statuses = Vec::new();
    for router in &fleet.routers {
        statuses.extend(fleet.operator.get(*router, "/v1/status").await.ok());
    }
    statuses
}

/// Polls until every router answers and the condition holds for their statuses.
async fn wait_for(fleet: &Fleet, what: &str, holds: impl Fn(&[Value]) -> bool) -> Result<()> {
    let deadline = tokio::time::Instant::now() + READY_WAIT;
    while tokio::time::Instant::now() < deadline {
        let statuses = statuses(fleet).await;
        if statuses.len() == fleet.routers.len() && holds(&statuses) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    failed(format!("{what}: condition not met within {READY_WAIT:?}"))
}

async fn wait_ready(fleet: &Fleet) -> Result<()> {
    let ready = |status: &Value| status["ready"] == true && status["witness"].is_string();
    wait_for(fleet, "routers ready", |all| all.iter().all(ready)).await
}

async fn wait_applied(fleet: &Fleet) -> Result<()> {
    wait_for(fleet, "the same log offsets on all routers", |all| {
        all.iter()
            .all(|status| status["applied"] == all[0]["applied"])
    })
    .await
}

fn print_instructions(fleet: &Fleet) -> Result<()> {
    let entry = fleet.routers[0];
    let mut text = String::new();
    for router in &fleet.routers {
        text.push_str(&format!("router={router}\n"));
    }
    text.push_str(&format!(
        "log={}\n\n\
         A model call, streamed:\n\
         curl -N http://{entry}/v1/chat/completions -H 'authorization: Bearer {CUSTOMER}:{SECRET}' \
         -d '{{\"model\":\"assistant\",\"max_tokens\":8,\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Is the 10:40 to Sandhamn running?\"}}]}}'\n\n\
         The addresses that a caller should use:\n\
         curl http://{entry}/v1/entry -H 'authorization: Bearer {CUSTOMER}:{SECRET}'\n\n\
         The status of the fleet:\n\
         lanedeck intent --to {entry} --secret {OPERATOR} status\n\n\
         Press Ctrl-C to stop.\n",
        fleet.log
    ));
    print(&text)
}

/// Reads a budget's tokens from the ledger of the second router: unallotted, held, billed, in doubt, prepaid.
async fn balance(fleet: &Fleet, name: &str) -> Result<[u64; 5]> {
    let status = fleet.operator.get(fleet.routers[1], "/v1/status").await?;
    let budgets = status["budgets"].as_array().cloned().unwrap_or_default();
    let budget = budgets.iter().find(|budget| budget["name"] == name);
    let Some(budget) = budget else {
        return failed(format!("budget {name} not found"));
    };
    let fields = ["unallotted", "held", "billed", "in_doubt", "prepaid"];
    Ok(fields.map(|field| budget[field].as_u64().unwrap_or_default()))
}

async fn run_checks(fleet: &Fleet) -> Result<()> {
    let streamed = check_streamed(fleet).await?;
    let not_repeatable = check_not_repeatable(fleet).await?;
    check_refused(fleet).await?;
    let billed = streamed + not_repeatable;
    let deadline = tokio::time::Instant::now() + READY_WAIT;
    loop {
        let [unallotted, held, settled, doubt, prepaid] = balance(fleet, CUSTOMER).await?;
        let is_balanced = unallotted + held + settled + doubt == prepaid && prepaid == PREPAID;
        if is_balanced && settled == billed && doubt == 0 {
            return print(&format!(
                "check=ok prepaid={prepaid} unallotted={unallotted} held={held} billed={settled} \
                 in_doubt={doubt}\n"
            ));
        }
        if tokio::time::Instant::now() > deadline {
            return failed(format!(
                "the ledger does not balance: prepaid={prepaid} unallotted={unallotted} held={held} \
                 billed={settled} expected_billed={billed} in_doubt={doubt}"
            ));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn print_request(
    fleet: &Fleet,
    what: &str,
    verdict: &str,
    billed: u64,
    budget: &str,
) -> Result<()> {
    let [unallotted, held, settled, doubt, _] = balance(fleet, budget).await?;
    print(&format!(
        "request={what} verdict={verdict} billed={billed} budget={budget} unallotted={unallotted} \
         held={held} settled={settled} in_doubt={doubt}\n"
    ))
}

fn chat_body() -> Bytes {
    json!({
        "model": "assistant",
        "messages": [{"role": "user", "content": "Is the 10:40 to Sandhamn running?"}],
        "max_tokens": 8,
        "stream": true,
    })
    .to_string()
    .into()
}

async fn check_streamed(fleet: &Fleet) -> Result<u64> {
    let path = "/v1/chat/completions";
    let sent = fleet
        .caller
        .fetch(Method::POST, fleet.routers[0], path, &[], chat_body())
        .await?;
    let text = String::from_utf8_lossy(&sent.2).into_owned();
    let events: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    let usage_event = events.iter().rev().nth(1).copied().unwrap_or_default();
    let usage_event: Value = serde_json::from_str(usage_event).unwrap_or_default();
    let billed = usage_event["lanedeck"]["billed"].as_u64();
    match billed {
        Some(billed) if events.last() == Some(&"[DONE]") && events.len() == 10 => {
            print_request(fleet, "streamed", "ran", billed, CUSTOMER).await?;
            Ok(billed)
        }
        _ => failed(format!("the streamed response is incomplete: {text}")),
    }
}

async fn check_not_repeatable(fleet: &Fleet) -> Result<u64> {
    let path = "/v1/services/tickets";
    let body = Bytes::from_static(b"one ticket to Sandhamn");
    let (_, headers, _) = fleet
        .caller
        .fetch(Method::POST, fleet.routers[1], path, &[], body)
        .await?;
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let billed = text(BILLED).and_then(|text| text.parse().ok());
    match (text(VERDICT), billed) {
        (Some("ran"), Some(CALL_PRICE)) => {
            print_request(fleet, "not_repeatable", "ran", CALL_PRICE, CUSTOMER).await?;
            Ok(CALL_PRICE)
        }
        (verdict, _) => failed(format!(
            "the call did not run: {verdict:?} {:?}",
            text(REASON)
        )),
    }
}

async fn check_refused(fleet: &Fleet) -> Result<()> {
    let path = "/v1/chat/completions";
    let headers = [(BUDGET, "empty")];
    let sent = fleet
        .caller
        .fetch(Method::POST, fleet.routers[2], path, &headers, chat_body())
        .await?;
    let text = |name: &str| sent.1.get(name).and_then(|value| value.to_str().ok());
    match (text(VERDICT), text(REASON)) {
        (Some("not_run"), Some("budget_exhausted")) => {
            print_request(fleet, "empty_budget", "not_run", 0, "empty").await
        }
        other => failed(format!(
            "the request on an empty budget was not refused as expected: {other:?}"
        )),
    }
}
