//! `lanedeck intent`: operators plan and confirm changes and inspect the fleet.

use std::io::Read;
use std::net::SocketAddr;

use gumdrop::Options;
use serde_json::{Value, json};

use super::client::{Client, parse_addresses};
use super::{Error, Result, block_on, print, usage};

pub const ABOUT: &str =
    "Plans and confirms changes, and shows the state of the fleet. No change takes effect before its
plan is confirmed.

Examples:
  lanedeck intent --to 10.0.0.1:7000 --secret S plan budget kiosks ferries 5000000 > plan.json
  lanedeck intent --to 10.0.0.1:7000 --secret S confirm plan.json
  lanedeck intent --to 10.0.0.1:7000 --secret S plan drain engine-7
  lanedeck intent --to 10.0.0.1:7000 --to 10.0.0.2:7000 --secret S status

Arguments after the options:
  plan budget NAME CUSTOMER TOKENS     create a budget, or change an existing one
  plan drain TARGET                    send no new requests to a target
  plan undrain TARGET                  send requests to it again
  plan priority CLASS RANK PERMILLE    change a class's rank and price
  plan release BUDGET HOLDER BILLED    declare a holder permanently lost
  plan put FILE                        plan any intent given as JSON ('-' is standard input)
  plan delete KIND NAME                remove a customer, class, target or objective
  confirm FILE                         apply a plan; safe to repeat
  status                               show the state of each router
  config                               show all configured objects
  explain ID                           show the decisions on a request
";

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address of a router; may be repeated for status and explain"
    )]
    to: Vec<String>,
    #[options(no_short, meta = "SECRET", help = "operators' shared secret")]
    secret: String,
    #[options(no_short, help = "print the status as JSON")]
    json: bool,
    #[options(free)]
    words: Vec<String>,
}

pub fn run(args: &Args) -> Result<()> {
    let routers = parse_addresses("to", &args.to)?;
    let client = Client::new(&format!("operator:{}", args.secret));
    let words: Vec<&str> = args.words.iter().map(String::as_str).collect();
    block_on(1, async {
        match words[..] {
            ["plan", ..] => plan(&client, routers[0], &words[1..]).await,
            ["confirm", file] => confirm(&client, routers[0], file).await,
            ["status"] => status(&client, &routers, args.json).await,
            ["config"] => print_json(&client.get(routers[0], "/v1/config").await?),
            ["explain", id] => explain(&client, &routers, id).await,
            _ => usage(
                "wanted is plan, confirm, status, config or explain; see lanedeck intent --help",
            ),
        }
    })
}

fn parse_number(what: &str, text: &str) -> Result<u64> {
    text.parse().or_else(|_| {
        usage(format!(
            "{what}: {text:?} given, wanted is a non-negative integer"
        ))
    })
}

fn parse_intent(words: &[&str]) -> Result<Value> {
    Ok(match *words {
        ["budget", name, customer, tokens] => {
            let prepaid = parse_number("TOKENS", tokens)?;
            json!({"budget": {"name": name, "customer": customer, "prepaid": prepaid}})
        }
        ["drain", target] => json!({"drain": {"target": target, "draining": true}}),
        ["undrain", target] => json!({"drain": {"target": target, "draining": false}}),
        ["priority", class, rank, price] => {
            let (rank, price) = (
                parse_number("RANK", rank)?,
                parse_number("PERMILLE", price)?,
            );
            json!({"priority": {"class": class, "rank": rank, "price_permille": price}})
        }
        ["release", budget, holder, billed] => {
            let billed = parse_number("BILLED", billed)?;
            json!({"release": {"budget": budget, "holder": holder, "billed": billed}})
        }
        ["put", file] => read_json(file)?,
        ["delete", kind, name] => json!({"delete": {"key": {kind: name}}}),
        _ => return usage("plan: unknown intent; see lanedeck intent --help"),
    })
}

fn read_json(file: &str) -> Result<Value> {
    let mut text = String::new();
    let read = if file == "-" {
        std::io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        std::fs::read_to_string(file).map(|read| text = read)
    };
    read.map_err(|source| Error::Io {
        what: file.to_owned(),
        source,
    })?;
    serde_json::from_str(&text).or_else(|error| usage(format!("{file}: {error}")))
}

fn print_json(value: &Value) -> Result<()> {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    print(&format!("{text}\n"))
}

async fn plan(client: &Client, to: SocketAddr, words: &[&str]) -> Result<()> {
    let intent = parse_intent(words)?;
    let proposal = client.post(to, "/v1/intents", &intent).await?;
    for note in proposal["notes"].as_array().into_iter().flatten() {
        eprintln!("{}", note.as_str().unwrap_or_default());
    }
    print_json(&proposal["plan"])
}

async fn confirm(client: &Client, to: SocketAddr, file: &str) -> Result<()> {
    let plan = read_json(file)?;
    let confirmed = client.post(to, "/v1/confirm", &plan).await?;
    let message = confirmed["message"].as_str().unwrap_or_default();
    print(&format!("{message}\n"))
}

/// Prints the state that each router reports, and how many routers have applied the newest configuration offset
/// among them. A change is in force everywhere once all have applied it.
async fn status(client: &Client, routers: &[SocketAddr], as_json: bool) -> Result<()> {
    let mut statuses = Vec::new();
    for address in routers {
        statuses.push((*address, client.get(*address, "/v1/status").await));
    }
    if as_json {
        let all: Vec<&Value> = statuses
            .iter()
            .filter_map(|(_, status)| status.as_ref().ok())
            .collect();
        return print_json(&json!(all));
    }
    let applied = |status: &Value| status["applied"][0][1].as_u64().unwrap_or_default();
    let newest = statuses
        .iter()
        .filter_map(|(_, status)| status.as_ref().ok())
        .map(applied)
        .max();
    let newest = newest.unwrap_or_default();
    let up_to_date = statuses
        .iter()
        .filter(|(_, status)| {
            status
                .as_ref()
                .is_ok_and(|status| applied(status) == newest)
        })
        .count();
    print(&format!(
        "configuration offset {newest}: in force on {up_to_date} of {}\n",
        routers.len()
    ))?;
    for (address, status) in &statuses {
        print(&status_line(*address, status))?;
    }
    match statuses.iter().find_map(|(_, status)| status.as_ref().ok()) {
        Some(status) => print(&budget_table(status)),
        None => super::failed("no router answered"),
    }
}

fn status_line(address: SocketAddr, status: &Result<Value>) -> String {
    match status {
        Ok(status) => format!(
            "{address} hall={} ready={} stopping={} log_up={} witness={} wards={} jobs={} \
             waiting={} violations={} config={}\n",
            status["hall"].as_str().unwrap_or_default(),
            status["ready"],
            status["stopping"],
            status["log_up"],
            status["witness"].as_str().unwrap_or("none"),
            status["wards"],
            status["jobs"],
            status["waiting"],
            status["violations"],
            status["applied"][0][1],
        ),
        Err(error) => format!("{address} no answer: {error}\n"),
    }
}

fn budget_table(status: &Value) -> String {
    let mut text = format!(
        "{:<20} {:<16} {:>12} {:>12} {:>12} {:>12} {:>10}\n",
        "budget", "customer", "prepaid", "unallotted", "held", "billed", "in doubt"
    );
    for budget in status["budgets"].as_array().into_iter().flatten() {
        text.push_str(&format!(
            "{:<20} {:<16} {:>12} {:>12} {:>12} {:>12} {:>10}\n",
            budget["name"].as_str().unwrap_or_default(),
            budget["customer"].as_str().unwrap_or_default(),
            budget["prepaid"].as_u64().unwrap_or_default(),
            budget["unallotted"].as_u64().unwrap_or_default(),
            budget["held"].as_u64().unwrap_or_default(),
            budget["billed"].as_u64().unwrap_or_default(),
            budget["in_doubt"].as_u64().unwrap_or_default(),
        ));
    }
    text
}

async fn explain(client: &Client, routers: &[SocketAddr], id: &str) -> Result<()> {
    let mut result = usage("no router");
    for address in routers {
        match client.get(*address, &format!("/v1/explain/{id}")).await {
            Ok(steps) => {
                for step in steps.as_array().into_iter().flatten() {
                    let what = step["what"].as_str().unwrap_or_default();
                    print(&format!("{address} +{} ms: {what}\n", step["after_ms"]))?;
                }
                result = Ok(());
            }
            Err(error) if result.is_err() => result = Err(error),
            Err(_) => {}
        }
    }
    result
}
