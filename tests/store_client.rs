//! The client of the platform's store, against what it cannot write.

#[allow(dead_code)]
#[path = "../platform/mod.rs"]
mod platform;

use std::time::Duration;

use lanedeck::store::{Partition, Record, Store, Topic};
use platform::LogStore;
use tokio::net::TcpListener;

#[tokio::test]
async fn overlong_key() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = LogStore::new(listener.local_addr().unwrap());
    let partition = Partition {
        topic: Topic::Prepaid,
        number: 0,
    };
    let record = |length| Record {
        key: "k".repeat(length),
        value: Some("v".into()),
    };
    let records = [record(1), record(256)];
    let call = store.append(partition, &records, None, Duration::from_secs(5));
    let error = call
        .await
        .expect_err("the key's length does not fit its byte");
    assert!(!error.may_be_done(), "{error:?}");
    let none = tokio::time::timeout(Duration::ZERO, listener.accept()).await;
    assert!(none.is_err(), "nothing was sent");
}
