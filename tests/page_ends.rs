//! Lists of the store that are longer than one page, where a page ends with the entry of another writer.

mod deployment;

use std::time::{Duration, Instant};

use deployment::runner::Runner;
use deployment::store::Store;
use deployment::{Ask, Deployment, config, list, try_ask};
use serde_json::json;

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
