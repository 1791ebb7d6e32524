//! Names of customers as operators choose them: the keys of their rows in the store have one reading only, so each budget is
//! counted for its own customer.

mod deployment;

use std::collections::BTreeMap;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use deployment::runner::{EVENTS, Runner};
use deployment::store::Store;
use deployment::{Ask, Deployment, Gateway, ask, config};
use lanedeck::gateway::escrow::{Key, Row};
use lanedeck::units::Tokens;
use serde_json::{Value, json};

const TOPIC: &str = "keyed.prepaid";
const PREPAID: u64 = 6_000;
const PROMPT: u64 = 100;
const MAX_TOKENS: u64 = 50;
const COST: u64 = PROMPT + EVENTS as u64;
const GATEWAYS: usize = 3;
/// With one partition all customers' rows are side by side.
const FLAGS: [&str; 2] = ["--partitions", "1"];
/// Answers without tokens after which a customer's budget counts as used up: twice around all gateways.
const REFUSALS_MAX: usize = 6;
/// Of what is prepaid, this part has to be served to each customer.
const SERVED_MIN: f64 = 0.75;
const NAMES: [&str; 12] = [
    "anna",
    "anna/g1",
    "a",
    "a/b",
    "a//b",
    "c/",
    "/",
    "capacity/g0",
    "a:b",
    "a~1b",
    "a~1b/c",
    "a b",
];

fn key_of(number: usize) -> String {
    format!("key-{number}")
}

fn named(names: &[&str]) -> Value {
    let mut config = config(1, PREPAID);
    let tenants = names.iter().enumerate().map(|(number, name)| {
        json!({ "name": name, "apiKeys": [key_of(number)], "priority": 1, "prepaid": PREPAID })
    });
    config["tenants"] = tenants.collect();
    config
}

async fn start(names: &[&str], engine: &Runner) -> Deployment {
    let runners = [("engine", engine)];
    let deployment = Deployment::start_with(GATEWAYS, &named(names), &runners, &FLAGS).await;
    deployment.wait_for_members().await;
    deployment
}

/// Sends requests of a customer to all gateways in turn until its budget is used up. Returns the tokens that it got.
async fn use_up(deployment: &Deployment, number: usize) -> u64 {
    let mut spent = 0;
    let mut refusals = 0;
    for turn in 0.. {
        if refusals == REFUSALS_MAX {
            break;
        }
        let id = format!("r{}", rand::random::<u64>());
        let request = Ask::talk(&id, "/talk/x", PROMPT, MAX_TOKENS)
            .with("authorization", &format!("Bearer {}", key_of(number)));
        let gateway: &Gateway = &deployment.gateways[turn % GATEWAYS];
        match ask(gateway.front, &request).await.status {
            200 => (spent, refusals) = (spent + COST, 0),
            402 => refusals += 1,
            _ => {}
        }
    }
    spent
}

async fn use_up_all(
    deployment: &Deployment,
    names: &[&'static str],
) -> BTreeMap<&'static str, u64> {
    let spends = (0..names.len()).map(|number| use_up(deployment, number));
    let spends = futures::future::join_all(spends).await;
    names.iter().copied().zip(spends).collect()
}

/// Guards against a row that is counted for another customer, so that neither budget holds.
#[tokio::test(flavor = "multi_thread")]
async fn each_budget_its_own() {
    let engine = Runner::start("i-e").await;
    let mut deployment = start(&NAMES, &engine).await;
    let before = use_up_all(&deployment, &NAMES).await;
    for (name, spent) in &before {
        assert!(*spent <= PREPAID, "{name:?}: {before:?}");
        let least = (PREPAID as f64 * SERVED_MIN) as u64;
        assert!(*spent >= least, "{name:?}: {before:?}");
    }
    deployment.gateways.iter_mut().for_each(Gateway::kill);
    deployment.gateways.iter_mut().for_each(Gateway::restart);
    deployment.wait_ready().await;
    let after = use_up_all(&deployment, &NAMES).await;
    for (name, spent) in &after {
        let spent = spent + before[name];
        assert!(spent <= PREPAID, "{name:?}: {before:?}, then {after:?}");
    }
    let keys = deployment.store.keys(TOPIC);
    for key in keys {
        let former = key.split_once('/');
        let of_configured = former.filter(|(customer, _)| NAMES.contains(customer));
        let read = Key::decode(&key).unwrap();
        assert!(
            former.is_none() || of_configured == Some((&*read.customer, &*read.router)),
            "a former version takes {key:?} for {former:?}"
        );
    }
}

fn put_row(store: &Store, key: &str, spent: u64) {
    let row = Row {
        incarnation: 1,
        granted: Tokens(spent),
        spent: Tokens(spent),
        ..Row::default()
    };
    store.put_bytes(TOPIC, key.as_bytes(), &row.encode());
}

/// Guards against a version that counts only rows of its own form: former ones wrote `CUSTOMER/ROUTER` for all names.
#[tokio::test(flavor = "multi_thread")]
async fn rows_of_former_versions() {
    const LEFT: u64 = 1_500;
    const NAMES: [&str; 2] = ["skargard/vaxholm", "skargard"];
    let engine = Runner::start("i-e").await;
    let runners = [("engine", &engine)];
    let mut deployment = Deployment::start(0, &named(&NAMES), &runners).await;
    put_row(&deployment.store, "skargard/vaxholm/g0", PREPAID / 2);
    put_row(&deployment.store, "skargard/vaxholm/g9", PREPAID / 2 - LEFT);
    for number in 0..GATEWAYS {
        deployment.add(&format!("g{number}"), &FLAGS).await;
    }
    deployment.wait_ready().await;
    deployment.wait_for_members().await;
    let spent = use_up_all(&deployment, &NAMES).await;
    assert!(spent["skargard/vaxholm"] <= LEFT, "{spent:?}");
    assert!(spent["skargard/vaxholm"] > 0, "{spent:?}");
    let least = (PREPAID as f64 * SERVED_MIN) as u64;
    assert!(spent["skargard"] >= least, "{spent:?}");
}

#[test]
fn forms_of_keys() {
    let encoded = |customer, router| Key::new(customer, router).encode();
    assert_eq!(encoded("anna", "g1"), "anna/g1");
    assert_eq!(encoded("a:b~", "g1"), "a:b~/g1");
    assert_eq!(encoded("a/b", "g1"), "a~1b:g1");
    assert_eq!(encoded("a/b:~1", "g1"), "a~1b~2~01:g1");
    let former = Key::decode("a/b/g1").unwrap();
    assert_eq!((&*former.customer, &*former.router), ("a/b", "a/b/g1"));
    for unknown in ["", "g1", "a:b", "a~1b:~3", "a~1b~:g1", "a~1b:g1:g2"] {
        assert_eq!(Key::decode(unknown), None, "{unknown:?}");
    }
}

/// Any name made of the characters that separate or escape parts of keys, and of others.
fn any_name(u: &mut Unstructured<'_>, characters: &[char]) -> arbtest::arbitrary::Result<String> {
    let mut name = String::new();
    for _ in 0..u.int_in_range(0..=6)? {
        name.push(*u.choose(characters)?);
    }
    Ok(name)
}

/// Guards against two readings of a key: its own, or that of a former version, which took all before the first slash for
/// the customer.
#[test]
fn one_reading_only() {
    arbtest(|u| {
        let customer = any_name(u, &['a', '/', ':', '~', '0', '1', '2', ' ', '%'])?;
        let router = any_name(u, &['a', '.', '-', '_', '0', '1', '2'])?;
        let key = Key::new(&customer, &router).encode();
        assert_eq!(
            Key::decode(&key),
            Some(Key::new(&customer, &router)),
            "{key:?}"
        );
        if let Some(former) = key.split_once('/') {
            assert_eq!(former, (customer.as_str(), router.as_str()));
        }
        Ok(())
    });
}
