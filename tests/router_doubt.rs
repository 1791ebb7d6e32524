//! Requests whose holder dies before their target has them. Guards against tokens that stay in doubt for good.

mod common;
#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;

use common::area::{Answer, Area, PREPAID, Process, chat, key, send, target};
use http::Method;
use proxy::{LinkFault, Proxy};
use serde_json::json;
use tokio::runtime::Runtime;

const SERVICE: &str = "/v1/services/tickets";
const CHAT: &str = "/v1/chat/completions";
/// Number of the request under test, the last part of its id.
const NUMBER: &str = "00000007";

/// A fleet whose target is behind a proxy.
struct Fleet {
    area: Area,
    proxy: Proxy,
    /// Runs the proxy.
    _runtime: Runtime,
}

impl Fleet {
    fn new(kind: &str, name: &str, serves: &str, choose: fn(&Area) -> &Process) -> Self {
        let area = Area::with_options(1, 3, &["--close-after=1000"], &["--between=20"]);
        let runtime = Runtime::new().unwrap();
        let behind = choose(&area);
        let proxy = runtime.block_on(Proxy::start(behind.address));
        let mut object = target(behind, kind, serves);
        object["target"]["address"] = json!(proxy.address);
        area.put("target", name, &object);
        area.wait_same();
        Self {
            area,
            proxy,
            _runtime: runtime,
        }
    }

    /// Sends a request to the first router, and kills the router once it has dispatched the request into a dead link.
    /// Returns the request's id.
    fn kill_holder(&mut self, path: &str, body: &str) -> String {
        let area = &mut self.area;
        let (to, key) = (area.routers[0].address, key("kiosks"));
        // The first request brings a grant and the ledger's record of the witness.
        let first = area.send(Method::POST, to, path, &key, &[], body);
        assert!(has_run(&first), "{first:?}");
        area.wait("the first bill", |area| area.seen("kiosks")["billed"] != 0);
        let id = area.prefix_of(0) + NUMBER;
        self.proxy.set(LinkFault::Stall);
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             lanedeck-request-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let _caller = send(to, &request);
        let explain = format!("/v1/explain/{id}");
        let operator = format!("operator:{}", common::area::OPERATOR);
        area.wait("the dispatch", |area| {
            area.get(to, &explain, &operator)
                .body
                .contains("dispatch 1")
        });
        area.routers[0].kill();
        area.routers.remove(0);
        self.proxy.set(LinkFault::None);
        id
    }

    /// Waits until nothing is held by the dead router or in doubt, and returns what is billed.
    fn settle(&self, holder: &str) -> u64 {
        self.area.wait("nothing in doubt", |area| {
            let seen = area.seen("kiosks");
            let holders = seen["holders"].as_array().cloned().unwrap_or_default();
            seen["in_doubt"] == 0 && holders.iter().all(|known| known[0] != holder)
        });
        let seen = self.area.seen("kiosks");
        let parts = ["unallotted", "held", "billed"].map(|part| seen[part].as_u64().unwrap());
        assert_eq!(parts.iter().sum::<u64>(), PREPAID);
        seen["billed"].as_u64().unwrap()
    }
}

/// Whether the answer has the verdict "ran"; a stream has it in its last frame.
fn has_run(answer: &Answer) -> bool {
    answer.header("lanedeck-verdict") == "ran" || answer.body.contains(r#""verdict":"ran""#)
}

fn holder(id: &str) -> &str {
    id.split('.').next().unwrap()
}

#[test]
fn call_never_sent() {
    let mut fleet = Fleet::new("service", "tickets-0", "tickets", |area| &area.services[0]);
    let id = fleet.kill_holder(SERVICE, "{}");
    assert_eq!(fleet.settle(holder(&id)), 50);
    assert_eq!(fleet.area.ran().get(&id), None);
    // Its caller may still send it to another router, where it runs once.
    let headers = [("lanedeck-request-id", id.as_str())];
    let to = fleet.area.routers[0].address;
    fleet.area.wait("the retry ran", |area| {
        let answer = area.send(Method::POST, to, SERVICE, &key("kiosks"), &headers, "{}");
        has_run(&answer)
    });
    assert_eq!(fleet.area.ran()[&id], 1);
    fleet.area.settled("kiosks", 100);
}

#[test]
fn model_never_sent() {
    let mut fleet = Fleet::new("engine", "engine-0", "assistant", |area| &area.engines[0]);
    let body = chat("a question", 10);
    let id = fleet.kill_holder(CHAT, &body);
    let billed = fleet.settle(holder(&id));
    assert_eq!(fleet.area.ran().get(&id), None);
    let headers = [("lanedeck-request-id", id.as_str())];
    let to = fleet.area.routers[0].address;
    fleet.area.wait("the retry ran", |area| {
        let answer = area.send(Method::POST, to, CHAT, &key("kiosks"), &headers, &body);
        has_run(&answer)
    });
    assert_eq!(fleet.area.ran()[&id], 1);
    fleet.area.settled("kiosks", 2 * billed);
}

/// A target refuses a cancelled request of one holder, and runs the same request of another.
#[test]
fn cancelled_once() {
    let area = Area::new(1, 1);
    for (process, path) in [
        (&area.services[0], "/call"),
        (&area.engines[0], "/v1/chat/completions"),
    ] {
        let dispatch = |id: &str, holder: &str| {
            let headers = [("lanedeck-request-id", id), ("lanedeck-holder", holder)];
            let body = chat("x", 1);
            area.send(Method::POST, process.address, path, "", &headers, &body)
        };
        let cancel = |id: &str, holder: &str| {
            let path = format!("/v1/requests/{id}/holders/{holder}");
            let answer = area.send(Method::DELETE, process.address, &path, "", &[], "");
            answer.json()["cancelled"] == true
        };
        assert!(cancel("a", "h1"));
        let refused = dispatch("a", "h1");
        assert_eq!(refused.header("lanedeck-verdict"), "not_run", "{refused:?}");
        assert_eq!(dispatch("a", "h2").status, 200);
        assert!(!cancel("a", "h1"), "it has run");
        assert_eq!(dispatch("b", "h1").status, 200, "another request");
        assert!(!cancel("b", "h1"), "it has run");
    }
}
