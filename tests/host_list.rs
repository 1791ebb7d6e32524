//! The host list of `lanedeck router`: malformed entries leave the others in force.

mod deployment;

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
