//! The client of the platform's store: keys that are too long to encode, and answers of other eras.

#[allow(dead_code)]
#[path = "../platform/mod.rs"]
mod platform;

use std::time::Duration;

use lanedeck::store::{CallError, Era, Partition, Place, Record, Store, Topic};
use platform::LogStore;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
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
        .expect_err("the key's length does not fit into one byte");
    assert!(!error.may_be_done(), "{error:?}");
    let accepted = tokio::time::timeout(Duration::ZERO, listener.accept()).await;
    assert!(accepted.is_err(), "nothing may be sent");
}

/// The answer of a store to one call.
struct CannedAnswer {
    status: u16,
    era: Option<&'static str>,
    body: &'static [u8],
}

/// Serves these answers one after the other on one connection, and returns a client.
async fn serve(answers: Vec<CannedAnswer>) -> LogStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = LogStore::new(listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4_096];
        for answer in answers {
            // The calls of these tests fit into one packet, so one read gets a whole call.
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
            let era = answer
                .era
                .map_or(String::new(), |era| format!("Store-Era: {era}\r\n"));
            let head = format!(
                "HTTP/1.1 {} x\r\n{era}content-length: {}\r\n\r\n",
                answer.status,
                answer.body.len()
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(answer.body).await.unwrap();
        }
    });
    store
}

fn place(era: u64, offset: u64) -> Place {
    Place {
        era: Era(era),
        offset,
    }
}

/// The body of an empty page of a partition that ends at offset 7.
const EMPTY_PAGE_AT_7: &[u8] = b"\0\0\0\0\0\0\0\x07\0\0\0\0\0\0\0\0";
const LIMIT: Duration = Duration::from_secs(5);
const PARTITION: Partition = Partition {
    topic: Topic::Prepaid,
    number: 0,
};

async fn read(store: &LogStore, from: Place) -> Result<Place, CallError> {
    let page = store.read(PARTITION, from, Duration::ZERO, LIMIT).await?;
    Ok(page.next)
}

fn page(era: Option<&'static str>) -> CannedAnswer {
    CannedAnswer {
        status: 200,
        era,
        body: EMPTY_PAGE_AT_7,
    }
}

#[tokio::test]
async fn page_of_another_era() {
    let store = serve(vec![page(Some("1")), page(Some("2")), page(Some("2"))]).await;
    assert_eq!(read(&store, place(1, 7)).await, Ok(place(1, 7)));
    let restored = Err(CallError::Restored { era: Era(2) });
    assert_eq!(read(&store, place(1, 7)).await, restored);
    assert_eq!(store.era(), Era(2));
    assert_eq!(read(&store, place(2, 7)).await, Ok(place(2, 7)));
}

#[tokio::test]
async fn answers_with_invalid_era() {
    let answers = [Some("2"), Some("1"), None, Some("two"), Some("2")];
    let store = serve(answers.map(page).into()).await;
    assert_eq!(read(&store, place(2, 7)).await, Ok(place(2, 7)));
    for era in ["of the past", "missing", "unreadable"] {
        let answer = read(&store, place(2, 7)).await;
        assert_eq!(answer, Err(CallError::Unknown), "{era}");
    }
    assert_eq!(read(&store, place(2, 7)).await, Ok(place(2, 7)));
}

#[tokio::test]
async fn append_of_another_era() {
    let appended = |era| CannedAnswer {
        status: 200,
        era: Some(era),
        body: br#"{"offset":7,"end":8}"#,
    };
    let store = serve(vec![appended("1"), appended("2")]).await;
    let append = || store.append(PARTITION, &[], Some(place(1, 7)), LIMIT);
    assert_eq!(append().await, Ok(place(1, 8)));
    let error = append().await.unwrap_err();
    assert_eq!(error, CallError::Restored { era: Era(2) });
    assert!(
        error.may_be_done(),
        "the append may have matched its offset in the later era"
    );
}

#[tokio::test]
async fn refused_call_names_era() {
    let refused = |era| CannedAnswer {
        status: 503,
        era: Some(era),
        body: b"",
    };
    let store = serve(vec![page(Some("1")), refused("2")]).await;
    assert_eq!(read(&store, place(1, 7)).await, Ok(place(1, 7)));
    assert_eq!(read(&store, place(1, 7)).await, Err(CallError::Unavailable));
    assert_eq!(store.era(), Era(2));
}
