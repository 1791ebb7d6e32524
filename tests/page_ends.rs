//! Lists of the store that are longer than one page, where a page ends with the entry of another writer.

mod deployment;
#[allow(dead_code, unused_imports)]
#[path = "../platform/mod.rs"]
mod platform;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use deployment::runner::Runner;
use deployment::server::{Body, serve};
use deployment::store::Store;
use deployment::{Ask, Deployment, config, list, try_ask};
use http::Response;
use http_body_util::Full;
use lanedeck::store::{CallError, Page, Partition, Snapshot, Topic};
use platform::LogStore;
use serde_json::{Value, json};

/// Entries of a page of the store.
const PAGE: usize = 500;
/// Time within which a gateway is ready, and serves all of [`REQUESTS`].
const SERVING_WITHIN: Duration = Duration::from_secs(5);
const REQUESTS: usize = 30;

/// Keys of another writer's entry. All sort between "a" and "z".
fn foreign_keys() -> Vec<Vec<u8>> {
    let texts = [
        "m-plain",
        "m&y",
        "m+y",
        "m#y",
        "m%41",
        "m%y",
        "m y",
        "m=y",
        "m?y/z",
        "mé",
        "m&topic=keyed.op",
        "m\"\\<>\u{7f}\u{1}",
    ];
    let mut keys: Vec<Vec<u8>> = texts.map(|text| text.as_bytes().to_vec()).into();
    keys.push(["m".repeat(250).as_bytes(), b"&"].concat());
    keys.push(b"m\xff\xfe".to_vec());
    keys
}

/// A store whose list has a full page that ends with an entry under this key, and then the runner's entry.
fn long_list(runner: &Runner, foreign: &[u8]) -> Store {
    let store = Store::default();
    store.put("keyed.op", "config", Some(&config(1, 1_000_000)));
    for number in 1..PAGE {
        let entry = json!({ "service": "other", "address": format!("127.0.0.1:{number}"),
            "zone": "hall", "version": "v1", "slots": 1, "state": "ready", "coldLeftMs": 0,
            "sequence": 1 });
        store.put("keyed.servers", &format!("a-{number:03}"), Some(&entry));
    }
    store.put_bytes("keyed.servers", foreign, b"no entry");
    list(&store, "app", runner, "ready");
    store
}

/// Starts gateways on a store, and sends requests to them in turn. Returns how many were served.
async fn served(store: Store) -> usize {
    let mut deployment = Deployment {
        store,
        gateways: Vec::new(),
    };
    for number in 0..2 {
        deployment.add(&format!("g{number}"), &[]).await;
    }
    let end = Instant::now() + SERVING_WITHIN;
    for gateway in &deployment.gateways {
        while !gateway.is_ready().await {
            if Instant::now() > end {
                return 0;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let mut served = 0;
    for number in 0..REQUESTS {
        let gateway = &deployment.gateways[number % deployment.gateways.len()];
        let request = Ask::new(&format!("r{number}"), "/often/x");
        let answer = try_ask(gateway.front, &request).await;
        served += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }
    served
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_key_ends_page() {
    let runner = Runner::start("z").await;
    let mut failed = Vec::new();
    for (key, is_by_offset) in foreign_keys()
        .iter()
        .flat_map(|key| [(key, false), (key, true)])
    {
        let store = long_list(&runner, key);
        if is_by_offset {
            store.order_by_offset();
        }
        let served = served(store).await;
        if served < REQUESTS {
            let key = String::from_utf8_lossy(key);
            failed.push(format!("{key}, by offset {is_by_offset}: {served}"));
        }
    }
    assert!(failed.is_empty(), "of {REQUESTS} served: {failed:#?}");
}

fn snapshot(topic: Topic) -> Snapshot {
    Snapshot::new(Partition { topic, number: 0 })
}

fn keys(page: &Page) -> BTreeSet<&str> {
    page.records
        .iter()
        .map(|record| record.key.as_str())
        .collect()
}

/// Names of the keyed topics, with a key of each that the product reads.
const TOPICS: [(Topic, &str, &str); 4] = [
    (Topic::Config, "keyed.op", "config"),
    (Topic::Targets, "keyed.servers", "z"),
    (Topic::Routers, "keyed.routers", "z"),
    (Topic::Prepaid, "keyed.prepaid", "z/g0"),
];

#[tokio::test(flavor = "multi_thread")]
async fn foreign_key_ends_page_of_each_topic() {
    for (topic, name, last) in TOPICS {
        for foreign in foreign_keys() {
            let store = Store::default();
            store.order_by_offset();
            for number in 1..PAGE {
                store.put(name, &format!("a-{number:03}"), Some(&json!(1)));
            }
            store.put_bytes(name, &foreign, b"no entry");
            store.put(name, last, Some(&json!(1)));
            let client = LogStore::new(store.open().await);
            let page = snapshot(topic).read(&client, || {}).await;
            let page = page.unwrap_or_else(|error| panic!("{name}, {foreign:?}: {error}"));
            assert!(keys(&page).contains(last), "{name}, {foreign:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn deleted_keys_end_page() {
    for deleted in [1, 2, 7, PAGE - 1] {
        let store = Store::default();
        store.order_by_offset();
        let key = |number| format!("a-{number:04}");
        for number in 0..2 * PAGE {
            store.put("keyed.servers", &key(number), Some(&json!(1)));
        }
        let client = LogStore::new(store.open().await);
        let mut snapshot = snapshot(Topic::Targets);
        snapshot.read_part(&client, || {}).await.unwrap();
        for number in PAGE - deleted..PAGE {
            store.put("keyed.servers", &key(number), None);
        }
        let page = snapshot.read(&client, || {}).await.unwrap();
        assert_eq!(keys(&page).len(), 2 * PAGE, "{deleted} deleted");
    }
}

/// Serves each answer for the call of its number, and the last one for all later calls. Returns the number of calls too.
async fn canned(answers: Vec<Value>) -> (SocketAddr, Arc<AtomicUsize>) {
    let calls = Arc::new(AtomicUsize::new(0));
    let counter = calls.clone();
    let address = serve(move |_, _| {
        let number = counter.fetch_add(1, Ordering::SeqCst);
        let answer = &answers[number.min(answers.len() - 1)];
        let body = Full::new(answer.to_string().into());
        async move { Ok(Response::new(Body::Whole(body))) }
    })
    .await;
    (address, calls)
}

fn item(key: &str) -> Value {
    json!({ "key": key, "value": "MQ==", "offset": 0 })
}

/// Calls that a read may make before it reports that the list does not go on.
const CALLS_MAX: usize = 12;

#[tokio::test(flavor = "multi_thread")]
async fn list_that_does_not_go_on() {
    let full: Vec<Value> = (0..PAGE)
        .map(|number| item(&format!("{number:03}")))
        .collect();
    let repeated = json!({ "items": full, "more": true, "end": 1 });
    let empty = json!({ "items": [], "more": true, "end": 1 });
    let nameless = json!({ "items": [item("")], "more": true, "end": 1 });
    let endless = [
        vec![repeated.clone()],
        vec![repeated, empty],
        vec![nameless],
    ];
    for answers in endless {
        let (address, calls) = canned(answers).await;
        let client = LogStore::new(address);
        let error = snapshot(Topic::Targets).read(&client, || {}).await;
        assert_eq!(error.unwrap_err(), CallError::NoProgress);
        assert!(calls.load(Ordering::SeqCst) <= CALLS_MAX);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_item_among_others() {
    let malformed = [
        json!(null),
        json!({ "value": "MQ==" }),
        json!({ "key": 7, "value": "MQ==" }),
        json!({ "key": "b", "value": "no base64" }),
        json!({ "key": "c" }),
    ];
    let items: Vec<Value> = [item("a")]
        .into_iter()
        .chain(malformed)
        .chain([item("z")])
        .collect();
    let (address, _) = canned(vec![json!({ "items": items, "more": false, "end": 9 })]).await;
    let client = LogStore::new(address);
    let page = snapshot(Topic::Targets).read(&client, || {}).await.unwrap();
    let keys = keys(&page);
    assert!(keys.contains("a") && keys.contains("z"), "{keys:?}");
}
