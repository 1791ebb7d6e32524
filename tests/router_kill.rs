//! Routers are killed or frozen under load, while callers retry with the same id.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::area::{Area, PREPAID, SECRET, chat, key, lanedeck, send, text};
use serde_json::Value;

/// Upper bound of the cost of a request in these tests: prompt and answer, with a margin.
const COST_MAX: u64 = 300;

/// Runs `lanedeck load` to its end and returns its record of each request.
fn load(entries: Vec<SocketAddr>, requests: u64) -> Vec<Value> {
    let file = std::env::temp_dir().join(format!("lanedeck-load-{}", rand::random::<u64>()));
    let mut args = vec![
        "load".to_owned(),
        format!("--key=kiosks:{SECRET}"),
        format!("--output={}", file.display()),
        format!("--requests={requests}"),
        "--rate=60".to_owned(),
        "--service=tickets".to_owned(),
        "--service-share=300".to_owned(),
        "--tokens=30".to_owned(),
    ];
    args.extend(entries.iter().map(|entry| format!("--entry={entry}")));
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let done = lanedeck(&args);
    assert_eq!(done.status.code(), Some(0), "{}", text(&done));
    println!("{}", text(&done));
    let lines = std::fs::read_to_string(&file).unwrap();
    let _ = std::fs::remove_file(&file);
    lines
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// Injects `faults` while load runs, and returns the load's records.
fn run(area: &mut Area, requests: u64, faults: impl FnOnce(&mut Area)) -> Vec<Value> {
    let entries = area.routers.iter().map(|router| router.address).collect();
    let traffic = std::thread::spawn(move || load(entries, requests));
    faults(area);
    traffic.join().unwrap()
}

/// Checks what must hold after every run: how often requests ran, and that the bills add up.
fn check(area: &Area, records: &[Value]) {
    let ran = area.ran();
    let runs = |record: &Value| {
        ran.get(record["id"].as_str().unwrap())
            .copied()
            .unwrap_or(0)
    };
    for record in records {
        let runs = runs(record);
        assert_eq!(record["wrong"], false, "{record}");
        assert!(
            record["service"] == false || runs <= 1,
            "ran {runs} times: {record}"
        );
        assert!(
            record["verdict"] != "ran" || runs >= 1,
            "verdict is ran, but it never ran: {record}"
        );
        assert!(
            record["verdict"] != "not_run" || runs == 0,
            "ran {runs} times: {record}"
        );
    }
    let reported: u64 = records
        .iter()
        .filter_map(|record| record["billed"].as_u64())
        .sum();
    let unreported = records
        .iter()
        .filter(|record| record["verdict"] != "ran" && runs(record) > 0);
    let billed_max = reported + unreported.count() as u64 * COST_MAX;
    area.wait("every bill is in the log and nothing in doubt", |area| {
        let seen = area.seen("kiosks");
        seen["in_doubt"] == 0 && seen["billed"].as_u64() >= Some(reported)
    });
    let seen = area.seen("kiosks");
    let sum = ["unallotted", "held", "billed", "in_doubt"].map(|part| seen[part].as_u64().unwrap());
    assert_eq!(sum.iter().sum::<u64>(), PREPAID);
    assert!(
        seen["billed"].as_u64() <= Some(billed_max),
        "{seen}; reported {reported}, at most {billed_max}"
    );
    assert!(
        area.statuses()
            .iter()
            .all(|status| status["violations"] == 0)
    );
    println!(
        "reported={reported} billed={} billed_max={billed_max}",
        seen["billed"]
    );
}

fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

fn fleet() -> Area {
    Area::with_options(2, 3, &["--close-after=1000"], &["--between=20"])
}

/// Whether the ledger of the customer holds no tokens for a killed router's incarnation, and none are in doubt.
fn is_closed(area: &Area, incarnation: &str) -> bool {
    let seen = area.seen("kiosks");
    let holders = seen["holders"].as_array().cloned().unwrap_or_default();
    seen["in_doubt"] == 0 && holders.iter().all(|holder| holder[0] != incarnation)
}

#[test]
fn killed() {
    let mut area = fleet();
    let records = run(&mut area, 300, |area| {
        pause(1_500);
        area.routers[1].kill();
        pause(1_500);
        area.restart_router(1);
    });
    check(&area, &records);
    let ran = records
        .iter()
        .filter(|record| record["verdict"] == "ran")
        .count();
    assert!(ran > 200, "{ran} of 300 ran");
}

#[test]
fn no_caller_retries() {
    let mut area = fleet();
    let to = area.routers[0].address;
    let body = chat("one try", 10);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n",
        key("kiosks"),
        body.len()
    );
    let _caller = send(to, &(head + &body));
    area.wait("the engine runs it", |area| !area.ran().is_empty());
    area.routers[0].kill();
    area.routers.remove(0);
    // Its witness closes it and bills what the engine reports: 4 prompt tokens and 10 answer tokens.
    let seen = area.settled("kiosks", 4 + 10);
    assert_eq!(seen["in_doubt"], 0);
    let sum = ["unallotted", "held", "billed"].map(|part| seen[part].as_u64().unwrap());
    assert_eq!(sum.iter().sum::<u64>(), PREPAID);
}

#[test]
fn frozen() {
    let mut area = fleet();
    let records = run(&mut area, 300, |area| {
        pause(1_200);
        area.routers[0].signal("STOP");
        pause(4_000);
        area.routers[0].signal("CONT");
    });
    check(&area, &records);
}

#[test]
fn one_by_one() {
    let mut area = fleet();
    let records = run(&mut area, 600, |area| {
        for place in 0..3 {
            pause(1_000);
            let status = area.status(place);
            let gone = status["incarnation"].as_str().unwrap().to_owned();
            area.routers[place].kill();
            area.restart_router(place);
            area.wait("the killed router is closed", |area| is_closed(area, &gone));
            area.wait_ready();
        }
    });
    check(&area, &records);
}
