//! The lookup of routes and customers, and which kinds of routes allow retries.

use lanedeck::gateway::route::{
    Backend, Config, Customer, Kind, Limits, Route, Service, ServiceKey,
};
use lanedeck::units::Millis;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        backends: vec![Backend {
            service: ServiceKey(0),
            weight: 1.0,
        }],
        kind: Kind::Once,
        timeout: Millis(1_000),
        latency_objective: Millis(100),
        attempts: 1,
        rank: 0,
        public: false,
    }
}

fn config() -> Config {
    let routes = vec![
        route("root", "a.example", "/"),
        route("shop", "a.example", "/shop/"),
        route("cart", "a.example", "/shop/cart/"),
        route("other", "b.example", "/shop/"),
    ];
    let service = Service {
        name: "s".into(),
        connections: 10,
        engine: None,
        cold_start: None,
    };
    let customer = |name: &str, keys: &[&str]| Customer {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rank: None,
        prepaid: None,
    };
    let customers = vec![customer("anna", &["k1", "k2"]), customer("bo", &["k3"])];
    Config::new(3, routes, vec![service], customers, Limits::default())
}

#[test]
fn longest_prefix() {
    let config = config();
    let name = |host: &str, path: &str| config.route(host, path).map(|route| route.name.as_str());
    assert_eq!(name("a.example", "/shop/cart/1"), Some("cart"));
    assert_eq!(name("a.example", "/shop/x"), Some("shop"));
    assert_eq!(
        name("a.example", "/shop"),
        Some("root"),
        "a prefix ends with a slash"
    );
    assert_eq!(name("a.example", "/shopping/"), Some("root"));
    assert_eq!(name("b.example", "/shop/cart/1"), Some("other"));
    assert_eq!(name("b.example", "/"), None);
    assert_eq!(name("c.example", "/shop/"), None);
    assert_eq!(name("A.Example:8080", "/shop/x"), Some("shop"));
}

#[test]
fn keys() {
    let config = config();
    let name = |key: &str| {
        config
            .customer_of(key)
            .map(|customer| customer.name.as_str())
    };
    assert_eq!(name("k1"), Some("anna"));
    assert_eq!(name("k2"), Some("anna"));
    assert_eq!(name("k3"), Some("bo"));
    assert_eq!(name(""), None);
    assert_eq!(name("K1"), None);
}

#[test]
fn repetition() {
    assert!(Kind::Repeatable.may_repeat());
    assert!(!Kind::Once.may_repeat());
    assert!(!Kind::Stream { resumable: false }.may_repeat());
    assert!(Kind::Stream { resumable: true }.may_repeat());
}
