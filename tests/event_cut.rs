//! Streams are split after complete events, however their bytes are divided into chunks.

use lanedeck::gateway::sse::{EVENT_MAX_BYTES, Events};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

#[test]
fn any_split() {
    let whole: String = (1..=20)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect();
    let mut random = StdRng::seed_from_u64(7);
    for _ in 0..200 {
        let mut events = Events::default();
        let mut passed = Vec::new();
        let mut rest = whole.as_bytes();
        while !rest.is_empty() {
            let len = random.random_range(1..=rest.len().min(40));
            let out = events.push(&rest[..len]);
            assert!(
                out.is_empty() || out.ends_with(b"\n\n"),
                "complete events only"
            );
            passed.extend_from_slice(&out);
            rest = &rest[len..];
        }
        assert_eq!(passed, whole.as_bytes());
        assert_eq!(events.count(), 20);
        assert_eq!(events.last_id(), Some("20"));
        assert!(!events.has_partial());
    }
}

#[test]
fn incomplete_event() {
    let mut events = Events::default();
    let out = events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&out[..], b"id: 1\ndata: a\n\n");
    assert!(events.has_partial());
    events.discard_partial();
    let out = events.push(b"id: 2\ndata: b\n\n");
    assert_eq!(&out[..], b"id: 2\ndata: b\n\n");
    assert_eq!(events.last_id(), Some("2"));
}

/// Guards against a stream that is resumed one event too early since a comment was read with its last event.
#[test]
fn comments_between_events() {
    let mut events = Events::default();
    let all = b": a\n\nid: 1\ndata: a\n\n: b\n:c\n\n";
    assert_eq!(&events.push(all)[..], all);
    assert_eq!((events.count(), events.last_id()), (1, Some("1")));
    assert_eq!(&events.push(b": d\n\n")[..], b": d\n\n");
    assert_eq!((events.count(), events.last_id()), (1, Some("1")));
}

/// Guards against a stream that sends comments, or parts of an event, for ever.
#[test]
fn without_an_event() {
    for part in [&b": more\n\n"[..], b"\n\n", b"x"] {
        let mut events = Events::default();
        let pushes = (0..2 * EVENT_MAX_BYTES).take_while(|_| {
            events.push(part);
            !events.is_endless()
        });
        assert!(pushes.count() < EVENT_MAX_BYTES, "{part:?}");
        assert_eq!(events.count(), 0);
        let mut events = Events::default();
        events.push(&part.repeat(EVENT_MAX_BYTES / part.len() + 1));
        assert!(events.is_endless(), "{part:?}");
        events.discard_partial();
        events.push(b"id: 1\ndata: a\n\n");
        assert!(!events.is_endless(), "{part:?}");
    }
}
