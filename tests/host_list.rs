//! The host list of `lanedeck router`: malformed entries leave the others in force.

mod deployment;

use std::io::Write;
use std::sync::{Arc, Mutex};

use deployment::server::{Body, serve};
use http::Response;
use http_body_util::Full;
use lanedeck::router::client::{HostList, HttpHosts, Listed};
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn malformed_entry_hides_others() {
    let listed = json!([
        { "address": "127.0.0.1:1", "leaving": false },
        { "address": "nowhere", "leaving": false },
        { "leaving": true },
        null,
        { "address": "127.0.0.1:2", "leaving": true },
    ]);
    let address = serve(move |_, _| {
        let body = Full::new(listed.to_string().into());
        async move { Ok(Response::new(Body::Whole(body))) }
    })
    .await;
    let entry = |port, leaving| Listed {
        address: ([127, 0, 0, 1], port).into(),
        leaving,
    };
    let hosts = HttpHosts::new(address).list().await.unwrap();
    assert_eq!(hosts, [entry(1, false), entry(2, true)]);
}

/// Collects what is logged.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn malformed_entries_flood_log() {
    let listed = json!(vec![json!({ "address": "nowhere" }); 1_000]);
    let address = serve(move |_, _| {
        let body = Full::new(listed.to_string().into());
        async move { Ok(Response::new(Body::Whole(body))) }
    })
    .await;
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt().with_ansi(false);
    subscriber.with_writer(move || writer.clone()).init();
    let hosts = HttpHosts::new(address).list().await.unwrap();
    assert_eq!(hosts, []);
    let text = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
    // The other test's list adds a line at most.
    assert!(text.matches("listing_refused").count() <= 2, "{text}");
    assert_eq!(text.matches("entries=1000").count(), 1, "{text}");
}
