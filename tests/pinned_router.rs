//! Pins what a router sends, stores, and answers to callers and operators, as literals. Running processes, stored
//! records and client programs depend on these forms, so a literal is never edited. If a type or module is renamed, only
//! the expressions beside the literals change.

mod pins;

use std::net::SocketAddr;

use lanedeck::router::budget::{Answer, Ledger, Price, Replica, Reservation, TakeoverAnswer};
use lanedeck::router::config::{Config, Intent, Proposal};
use lanedeck::router::control::{Status, StatusBudget, StatusPeer};
use lanedeck::router::host::Peer;
use lanedeck::router::http::entry::{Address, Entry as EntryAnswer};
use lanedeck::router::http::{chat, reply};
use lanedeck::router::intent::{
    Change, Class, Customer, Key, Kind, Object, Objective, Plan, Target, Terms,
};
use lanedeck::router::key::{BudgetKey, Incarnation, Stream};
use lanedeck::router::log::{Batch, Checkpoint, Closed, Entry, Fold, Open, Record, digest};
use lanedeck::router::message::{Notice, Reply, Request};
use lanedeck::router::report;
use lanedeck::router::request::{Id, Prefix, Reason, Verdict};
use lanedeck::units::{Millis, Offset, Tokens};
use lanedeck::util;
use pins::{options, pin};
use serde::Serialize;

/// Asserts the JSON encoding of a value.
#[track_caller]
fn pin_json<T: Serialize>(literal: &str, value: &T) {
    assert_eq!(serde_json::to_string(value).unwrap(), literal);
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], port))
}

const ME: Incarnation = Incarnation(0x0102_0304_0506_0708);
const OTHER: Incarnation = Incarnation(300);
const BUDGET: BudgetKey = BudgetKey { shard: 3, index: 1 };
const ID: Id = Id {
    incarnation: ME,
    nonce: 0x0000_0002_0000_0009,
};

fn peer() -> Peer {
    Peer {
        incarnation: ME,
        counter: 7,
        entry: address(7_000),
        address: address(7_001),
        hall: "nacka".to_owned(),
        region: "stockholm".to_owned(),
        epoch: 2,
        leaving: false,
        witness: Some(OTHER),
        applied: Offset(44),
    }
}

fn reservation(price: Price) -> Reservation {
    Reservation {
        reserved: Tokens(900),
        request: ID,
        target: address(9_000),
        price,
    }
}

fn target() -> Target {
    Target {
        address: address(9_000),
        kind: Kind::Engine,
        serves: "assistant".to_owned(),
        hall: "nacka".to_owned(),
        slots: 8,
        checks_fence: true,
        draining: false,
        call_price: Tokens(0),
    }
}

fn customer() -> Customer {
    Customer {
        key_hash: "ab".repeat(32),
        concurrency: 4,
        classes: vec!["batch".to_owned()],
    }
}

fn class() -> Class {
    Class {
        rank: 1,
        price_permille: 1_500,
        patience: Millis(2_000),
    }
}

fn terms() -> Terms {
    Terms {
        customer: "kiosks".to_owned(),
        prepaid: Tokens(5_000),
    }
}

fn config_plan() -> Plan {
    let put = |key, object| Change::Put {
        key,
        object,
        expect: Offset::ZERO,
    };
    Plan {
        id: 77,
        stream: Stream::Config,
        changes: vec![
            put(
                Key::Customer("kiosks".to_owned()),
                Object::Customer(customer()),
            ),
            put(Key::Class("batch".to_owned()), Object::Class(class())),
            put(Key::Target("e1".to_owned()), Object::Target(target())),
            put(
                Key::Objective("batch".to_owned()),
                Object::Objective(Objective::default()),
            ),
        ],
    }
}

fn budget_plan() -> Plan {
    Plan {
        id: 78,
        stream: Stream::Shard(3),
        changes: vec![Change::Budget {
            name: "kiosks".to_owned(),
            terms: terms(),
            expect: Offset::ZERO,
        }],
    }
}

#[test]
fn peer_questions() {
    pin(
        "0001fd080706050403020107000a010203fb581b000a010203fb591b056e61636b610973746f636b686f6c6d020001fb2c012c",
        &Request::Heartbeat {
            peers: vec![peer()],
        },
    );
    let replica = Replica::new(
        &[(BUDGET, Tokens(40))],
        &[(BUDGET, 9, reservation(Price::Permille(1_500)))],
        &[(BUDGET, 8, Tokens(12))],
        2,
    );
    let notices = vec![
        Notice::Adopt(replica),
        Notice::Open {
            nonce: 9,
            budget: BUDGET,
            reservation: reservation(Price::Whole),
        },
        Notice::Settle {
            nonce: 9,
            billed: Some(Tokens(33)),
        },
        Notice::Heard { epoch: 2 },
    ];
    let request = Request::Replicate {
        to: OTHER,
        holder: ME,
        seq: 1 << 32 | 5,
        notices,
    };
    pin(
        "01fb2c01fd0807060504030201fd050000000100000004000103012802080301010c09030100fb8403fd0807060504030201fd0900000002000000000a010203fb282300fbdc050201090301fb8403fd0807060504030201fd0900000002000000000a010203fb282301020901210302",
        &request,
    );
    let takeover = Request::Takeover {
        to: OTHER,
        id: ID,
        shard: 3,
        by: ME,
        repeatable: true,
    };
    pin(
        "02fb2c01fd0807060504030201fd090000000200000003fd080706050403020101",
        &takeover,
    );
    pin(
        "030103",
        &Request::State {
            stream: Stream::Shard(3),
        },
    );
}

#[test]
fn peer_answers() {
    pin(
        "0001fd080706050403020107000a010203fb581b000a010203fb591b056e61636b610973746f636b686f6c6d020001fb2c012c",
        &Reply::Heartbeat {
            peers: vec![peer()],
        },
    );
    let answers = vec![
        Answer::Acknowledged,
        Answer::Closed { billed: true },
        Answer::Unknown,
    ];
    pin("010300010102", &Reply::Replicate(answers));
    let taken = [
        TakeoverAnswer::Fresh,
        TakeoverAnswer::Open,
        TakeoverAnswer::Settled(Tokens(12)),
        TakeoverAnswer::Yours,
        TakeoverAnswer::Other(OTHER),
        TakeoverAnswer::Alive,
        TakeoverAnswer::Expired,
        TakeoverAnswer::Unknown,
    ];
    pin(
        "080200020102020c02030204fb2c01020502060207",
        &taken.map(Reply::Takeover).to_vec(),
    );
    let checkpoint = Checkpoint {
        through: Offset(40),
        digest: 5,
        state: vec![1, 2],
    };
    pin("032805020102", &Reply::State(checkpoint));
    pin("04", &Reply::Unavailable);
}

#[test]
fn log_records() {
    let records = [
        Record::Grant {
            budget: BUDGET,
            ask: Tokens(1_000),
        },
        Record::Witness {
            witness: Some(OTHER),
        },
        Record::Settle {
            budget: BUDGET,
            settled: Tokens(251),
        },
        Record::Return {
            budget: BUDGET,
            returned: Tokens(100),
        },
        Record::Leave,
        Record::Close {
            holder: OTHER,
            budgets: vec![Closed {
                budget: BUDGET,
                settled: Tokens(40),
                open: vec![Open {
                    nonce: 9,
                    reserved: Tokens(900),
                }],
            }],
        },
        Record::Resolve {
            holder: OTHER,
            nonce: 9,
            billed: Tokens(33),
        },
        Record::Change(config_plan()),
        Record::Change(budget_plan()),
        Record::Change(Plan {
            id: 79,
            stream: Stream::Shard(3),
            changes: vec![
                Change::Delete {
                    key: Key::Target("e1".to_owned()),
                    expect: Offset(9),
                },
                Change::Release {
                    budget: BUDGET,
                    holder: OTHER,
                    billed: Tokens(6),
                },
            ],
        }),
        Record::Mark,
        Record::Checkpoint(Checkpoint {
            through: Offset(40),
            digest: 5,
            state: vec![1, 2],
        }),
    ];
    let entries = (4..)
        .zip(records)
        .map(|(seq, record)| Entry { seq, record });
    let batch = Batch {
        writer: ME,
        entries: entries.collect(),
    };
    pin(
        "fd08070605040302010c04000301fbe803050101fb2c0106020301fbfb00070303016408040905fb2c01010301280109fb84030a06fb2c0109210b074d00040000066b696f736b7300406162616261626162616261626162616261626162616261626162616261626162616261626162616261626162616261626162616261626162616261626162616204010562617463680000010562617463680101fbdc05fbd00700000202653102000a010203fb28230009617373697374616e74056e61636b610801000000000305626174636803fb4e0222fbb603000c074e01030102066b696f736b73066b696f736b73fb8813000d074f010302010202653109030301fb2c01060e080f092805020102",
        &batch,
    );
    assert_eq!(Batch::decode(&batch.encode()).as_ref(), Some(&batch));
    assert_eq!(Stream::Config.to_string(), "config");
    assert_eq!(Stream::of_customer("kiosks").to_string(), "shard-2");
}

#[test]
fn checkpoint_states() {
    let mut config = Config::default();
    config.admit(ME, 1);
    config
        .apply(Offset(3), ME, &Record::Change(config_plan()))
        .unwrap();
    pin(
        "0400066b696f736b7303004061626162616261626162616261626162616261626162616261626162616261626162616261626162616261626162616261626162616261626162616261626162040105626174636801056261746368030101fbdc05fbd007020265310302000a010203fb28230009617373697374616e74056e61636b6108010000030562617463680303fb4e0222fbb60301fd080706050403020101000000014d0003014d",
        &config,
    );
    let mut ledger = Ledger::default();
    let key = BudgetKey { shard: 3, index: 0 };
    let records = [
        Record::Change(budget_plan()),
        Record::Grant {
            budget: key,
            ask: Tokens(1_000),
        },
        Record::Witness {
            witness: Some(OTHER),
        },
        Record::Settle {
            budget: key,
            settled: Tokens(251),
        },
    ];
    for (number, record) in (1..).zip(records) {
        assert!(ledger.admit(ME, number));
        ledger.apply(Offset(number), ME, &record).unwrap();
    }
    pin(
        "01066b696f736b73066b696f736b73fb881301fb8813fba00f0001fd0807060504030201fbe803fbfb000000000001066b696f736b730001fd08070605040302010401fb2c010000014e0001014e",
        &ledger,
    );
    assert_eq!(
        format!("{:x}", digest(&util::encode(&ledger))),
        "60d40db12d41c206"
    );
}

#[test]
fn request_ids() {
    assert_eq!(ID.to_string(), "0102030405060708.0000000200000009");
    let prefix = Prefix {
        incarnation: ME,
        epoch: 2,
    };
    assert_eq!(prefix.to_string(), "0102030405060708.00000002");
    assert_eq!(prefix.with_number(9), ID);
}

#[test]
fn operator_json() {
    let intents = [
        Intent::Put {
            key: Key::Customer("kiosks".to_owned()),
            object: Object::Customer(customer()),
        },
        Intent::Put {
            key: Key::Class("batch".to_owned()),
            object: Object::Class(class()),
        },
        Intent::Put {
            key: Key::Target("e1".to_owned()),
            object: Object::Target(target()),
        },
        Intent::Put {
            key: Key::Objective("batch".to_owned()),
            object: Object::Objective(Objective::default()),
        },
        Intent::Delete {
            key: Key::Target("e1".to_owned()),
        },
        Intent::Budget {
            name: "kiosks".to_owned(),
            customer: "kiosks".to_owned(),
            prepaid: Tokens(5_000),
        },
        Intent::Drain {
            target: "e1".to_owned(),
            draining: true,
        },
        Intent::Priority {
            class: "batch".to_owned(),
            rank: 2,
            price_permille: 900,
        },
        Intent::Release {
            budget: "kiosks".to_owned(),
            holder: OTHER.to_string(),
            billed: Tokens(6),
        },
    ];
    pin_json(
        "[{\"put\":{\"key\":{\"customer\":\"kiosks\"},\"object\":{\"customer\":{\"key_hash\":\"abababababababababababababababababababababababababababababababab\",\"concurrency\":4,\"classes\":[\"batch\"]}}}},{\"put\":{\"key\":{\"class\":\"batch\"},\"object\":{\"class\":{\"rank\":1,\"price_permille\":1500,\"patience\":2000}}}},{\"put\":{\"key\":{\"target\":\"e1\"},\"object\":{\"target\":{\"address\":\"10.1.2.3:9000\",\"kind\":\"engine\",\"serves\":\"assistant\",\"hall\":\"nacka\",\"slots\":8,\"checks_fence\":true,\"draining\":false,\"call_price\":0}}}},{\"put\":{\"key\":{\"objective\":\"batch\"},\"object\":{\"objective\":{\"first_token\":590,\"between_tokens\":34,\"share_permille\":950}}}},{\"delete\":{\"key\":{\"target\":\"e1\"}}},{\"budget\":{\"name\":\"kiosks\",\"customer\":\"kiosks\",\"prepaid\":5000}},{\"drain\":{\"target\":\"e1\",\"draining\":true}},{\"priority\":{\"class\":\"batch\",\"rank\":2,\"price_permille\":900}},{\"release\":{\"budget\":\"kiosks\",\"holder\":\"000000000000012c\",\"billed\":6}}]",
        &intents,
    );
    let proposal = Proposal {
        plan: budget_plan(),
        notes: vec!["a note".to_owned()],
    };
    pin_json(
        "{\"plan\":{\"id\":78,\"stream\":{\"Shard\":3},\"changes\":[{\"budget\":{\"name\":\"kiosks\",\"terms\":{\"customer\":\"kiosks\",\"prepaid\":5000},\"expect\":0}}]},\"notes\":[\"a note\"]}",
        &proposal,
    );
}

#[test]
fn status_json() {
    let status = Status {
        incarnation: ME.to_string(),
        entry: address(7_000),
        hall: "nacka".to_owned(),
        ready: true,
        stopping: false,
        log_up: true,
        witness: None,
        wards: 1,
        applied: vec![("config".to_owned(), Offset(3))],
        waiting: 2,
        jobs: 5,
        violations: 0,
        peers: vec![StatusPeer {
            entry: address(7_002),
            incarnation: OTHER.to_string(),
            hall: "solna".to_owned(),
            standing: "Well".to_owned(),
            applied: Offset(3),
        }],
        budgets: vec![StatusBudget {
            name: "kiosks".to_owned(),
            customer: "kiosks".to_owned(),
            key: BUDGET,
            prepaid: Tokens(5_000),
            unallotted: Tokens(4_000),
            held: Tokens(749),
            billed: Tokens(251),
            in_doubt: Tokens(0),
            holders: vec![(ME.to_string(), Tokens(749))],
        }],
    };
    pin_json(
        "{\"incarnation\":\"0102030405060708\",\"entry\":\"10.1.2.3:7000\",\"hall\":\"nacka\",\"ready\":true,\"stopping\":false,\"log_up\":true,\"witness\":null,\"wards\":1,\"applied\":[[\"config\",3]],\"waiting\":2,\"jobs\":5,\"violations\":0,\"peers\":[{\"entry\":\"10.1.2.3:7002\",\"incarnation\":\"000000000000012c\",\"hall\":\"solna\",\"standing\":\"Well\",\"applied\":3}],\"budgets\":[{\"name\":\"kiosks\",\"customer\":\"kiosks\",\"key\":{\"shard\":3,\"index\":1},\"prepaid\":5000,\"unallotted\":4000,\"held\":749,\"billed\":251,\"in_doubt\":0,\"holders\":[[\"0102030405060708\",749]]}]}",
        &status,
    );
    let step = report::Step {
        after_ms: 3,
        what: "arrived".to_owned(),
    };
    pin_json("{\"after_ms\":3,\"what\":\"arrived\"}", &step);
}

#[test]
fn burn_json() {
    let series = report::Series {
        key: report::Key {
            customer: "kiosks".to_owned(),
            class: "batch".to_owned(),
            serves: "assistant".to_owned(),
        },
        objective: Objective::default(),
        requests: 3,
        ran: 2,
        billed: 500,
        refused: [("no_target".to_owned(), 1)].into(),
        first: "histogram".to_owned(),
        between: "histogram".to_owned(),
        minutes: vec![report::Minute {
            ago: 0,
            good: 2,
            bad: 1,
        }],
    };
    pin_json(
        "{\"key\":{\"customer\":\"kiosks\",\"class\":\"batch\",\"serves\":\"assistant\"},\"objective\":{\"first_token\":590,\"between_tokens\":34,\"share_permille\":950},\"requests\":3,\"ran\":2,\"billed\":500,\"refused\":{\"no_target\":1},\"first\":\"histogram\",\"between\":\"histogram\",\"minutes\":[{\"ago\":0,\"good\":2,\"bad\":1}]}",
        &series,
    );
    pin_json(
        "[{\"customer\":\"kiosks\",\"class\":\"batch\",\"serves\":\"assistant\",\"objective\":{\"first_token\":590,\"between_tokens\":34,\"share_permille\":950},\"requests\":3,\"ran\":2,\"billed\":500,\"refused\":{\"no_target\":1},\"first_ms\":[0,0,0],\"between_ms\":[0,0,0],\"burn_short\":6.666666666666666,\"burn_long\":6.666666666666666,\"minutes\":[{\"ago\":0,\"good\":2,\"bad\":1}]}]",
        &report::burn::merge([series]),
    );
}

#[test]
fn caller_json() {
    let entry = EntryAnswer {
        addresses: vec![Address {
            address: address(7_000),
            prefix: "p".to_owned(),
        }],
        keep_ms: 5_000,
    };
    pin_json(
        "{\"use\":[{\"address\":\"10.1.2.3:7000\",\"prefix\":\"p\"}],\"keep_ms\":5000}",
        &entry,
    );
    pin_json(
        "{\"id\":\"r1\",\"attempt\":1,\"index\":0,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"hej\"}}]}",
        &chat::Frame::word("r1", 1, 0, "hej".to_owned()),
    );
    pin_json(
        "{\"id\":\"r1\",\"attempt\":1,\"index\":4,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}],\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":4,\"total_tokens\":14}}",
        &chat::Frame::last("r1", 1, 4, 10),
    );
    let call = br#"{"model":"assistant","stream":true,"max_tokens":9,
        "messages":[{"role":"user","content":"Hello"}]}"#;
    pin_json(
        "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}],\"max_tokens\":9,\"stream\":true}",
        &chat::parse(call).unwrap(),
    );
    let verdicts = [
        Verdict::Ran { billed: Tokens(9) },
        Verdict::NotRun {
            reason: Reason::NoTarget,
            retry_after: Millis(250),
        },
        Verdict::MayHaveRun {
            reason: Reason::TargetFailed,
        },
    ];
    let told: Vec<_> = verdicts
        .iter()
        .map(|verdict| reply::verdict_json(ID, verdict))
        .collect();
    pin_json(
        "[{\"billed\":9,\"request_id\":\"0102030405060708.0000000200000009\",\"verdict\":\"ran\"},{\"reason\":\"no_target\",\"request_id\":\"0102030405060708.0000000200000009\",\"retry_after_ms\":250,\"verdict\":\"not_run\"},{\"reason\":\"target_failed\",\"request_id\":\"0102030405060708.0000000200000009\",\"verdict\":\"may_have_run\"}]",
        &told,
    );
    let heads: Vec<String> = verdicts
        .iter()
        .map(|verdict| {
            let mut headers = http::HeaderMap::new();
            reply::set_verdict_headers(&mut headers, ID, verdict);
            let mut lines: Vec<String> = headers
                .iter()
                .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap()))
                .collect();
            lines.sort();
            lines.join(", ")
        })
        .collect();
    assert_eq!(
        heads.join("; "),
        "lanedeck-billed: 9, lanedeck-request-id: 0102030405060708.0000000200000009, lanedeck-verdict: ran; lanedeck-reason: no_target, lanedeck-request-id: 0102030405060708.0000000200000009, lanedeck-verdict: not_run, retry-after: 1; lanedeck-reason: target_failed, lanedeck-request-id: 0102030405060708.0000000200000009, lanedeck-verdict: may_have_run, retry-after: 1"
    );
}

#[test]
fn reason_words() {
    let reasons = [
        Reason::BudgetExhausted,
        Reason::BudgetElsewhere,
        Reason::LogUnavailable,
        Reason::WitnessUnavailable,
        Reason::Overloaded,
        Reason::TooLate,
        Reason::TooMany,
        Reason::NoTarget,
        Reason::Starting,
        Reason::Stopping,
        Reason::Suspended,
        Reason::TargetRefused,
        Reason::TargetFailed,
        Reason::Elsewhere,
        Reason::Expired,
        Reason::Lost,
        Reason::IdReused,
        Reason::Unknown,
        Reason::UnknownModel,
    ];
    let words: Vec<&str> = reasons.iter().map(|reason| reason.as_str()).collect();
    assert_eq!(
        words.join(" "),
        "budget_exhausted budget_elsewhere log_unavailable witness_unavailable overloaded too_late too_many no_target starting stopping suspended target_refused target_failed elsewhere expired lost id_reused unknown unknown_model"
    );
    assert_eq!(
        serde_json::to_value(reasons).unwrap(),
        serde_json::json!(words)
    );
}

#[test]
fn header_names() {
    let names = [
        lanedeck::router::http::REQUEST_ID,
        lanedeck::router::http::VERDICT,
        lanedeck::router::http::BILLED,
        lanedeck::router::http::REASON,
        lanedeck::router::http::CLASS,
        lanedeck::router::http::BUDGET,
        lanedeck::router::http::REPEATABLE,
        lanedeck::router::http::ATTEMPT,
        lanedeck::router::http::FENCE,
    ];
    assert_eq!(
        names.join(" "),
        "lanedeck-request-id lanedeck-verdict lanedeck-billed lanedeck-reason lanedeck-class lanedeck-budget lanedeck-repeatable lanedeck-attempt lanedeck-fence"
    );
}

#[test]
fn cancellation() {
    let cancelled = lanedeck::router::http::relay::Cancellation { cancelled: true };
    assert_eq!(
        serde_json::to_string(&cancelled).unwrap(),
        r#"{"cancelled":true}"#
    );
    assert_eq!(lanedeck::router::http::HOLDER, "lanedeck-holder");
}

#[test]
fn settings() {
    assert_eq!(
        options("router"),
        "--help  \n--entry IP:PORT 127.0.0.1:7000\n--peer IP:PORT 127.0.0.1:7001\n--hall NAME hall\n--region NAME region\n--log IP:PORT 127.0.0.1:7100\n--hosts IP:PORT 127.0.0.1:7200\n--operator-hash HEX \n--fleet-key KEY \n--policy POLICY two\n--horizon S 3600\n--append-gap MS 100\n--close-after MS 4000\n--checkpoint-every N 5000\n--queue N 512\n--step MS 2000\n--body-max BYTES 1048576\n--silence MS 120000\n--threads N 2\n--log-level LEVEL info"
    );
    assert_eq!(
        options("check"),
        "--help  \n--entry IP:PORT 127.0.0.1:7000\n--peer IP:PORT 127.0.0.1:7001\n--hall NAME hall\n--region NAME region\n--log IP:PORT 127.0.0.1:7100\n--hosts IP:PORT 127.0.0.1:7200\n--operator-hash HEX \n--fleet-key KEY \n--policy POLICY two\n--horizon S 3600\n--append-gap MS 100\n--close-after MS 4000\n--checkpoint-every N 5000\n--queue N 512\n--step MS 2000\n--body-max BYTES 1048576\n--silence MS 120000\n--threads N 2\n--log-level LEVEL info"
    );
    assert_eq!(
        options("intent"),
        "--help  \n--to IP:PORT \n--secret SECRET \n--json  "
    );
    assert_eq!(
        options("burn"),
        "--help  \n--to IP:PORT \n--secret SECRET \n--format FORMAT table\n--output FILE "
    );
    assert_eq!(
        options("demo"),
        "--help  \n--once  \n--port PORT 7000\n--log-level LEVEL warn"
    );
}

#[test]
fn refusal_body() {
    let wrong = reply::RequestError::bad_request("max_tokens", "max_tokens: 1 to 9");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let (head, body) = runtime.block_on(async {
        use volo_http::body::BodyConversion;
        let (parts, body) = wrong.reply().into_parts();
        (parts, body.into_bytes().await.unwrap())
    });
    assert_eq!(
        std::str::from_utf8(&body).unwrap(),
        "{\"error\":{\"message\":\"max_tokens: 1 to 9\",\"type\":\"max_tokens\"},\"lanedeck\":{\"reason\":\"max_tokens\",\"verdict\":\"not_run\"}}"
    );
    assert_eq!(head.headers[lanedeck::router::http::VERDICT], "not_run");
    assert_eq!(head.headers[lanedeck::router::http::REASON], "max_tokens");
}
