//! Decoding of the headers by which targets announce their state, and of invalid values.

#[allow(dead_code, unused_imports)]
#[path = "../platform/mod.rs"]
mod platform;

use http::{HeaderMap, HeaderName, HeaderValue};
use lanedeck::gateway::dialect::Dialect;
use lanedeck::gateway::notice::{BadNotice, Notice, Rate, Rejections};
use lanedeck::units::Millis;
use platform::Platform;

fn read(status: u16, headers: &[(&'static str, &[u8])]) -> Notice {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let name = HeaderName::from_static(name);
        map.append(name, HeaderValue::from_bytes(value).unwrap());
    }
    Platform.read_reply(status, &map).notice
}

#[test]
fn rate_limits() {
    for (text, per_second) in [("1.8", 1.8), ("0", 0.0), (" 12 ", 12.0), ("1e3", 1_000.0)] {
        let notice = read(200, &[("server-limit", text.as_bytes())]);
        assert_eq!(notice.rate_limit, Ok(Rate::new(per_second)), "{text:?}");
    }
    assert_eq!(read(200, &[]).rate_limit, Ok(None));
}

#[test]
fn bad_rate_limits() {
    for text in ["", "many", "-1", "NaN", "inf", "1,5", "1 2"] {
        let notice = read(200, &[("server-limit", text.as_bytes())]);
        assert!(
            matches!(notice.rate_limit, Err(BadNotice::Value { .. })),
            "{text:?}"
        );
    }
    let notice = read(200, &[("server-limit", b"\xff")]);
    assert!(matches!(notice.rate_limit, Err(BadNotice::Value { .. })));
    let long = [b'1'; 400];
    let notice = read(200, &[("server-limit", &long)]);
    assert!(matches!(notice.rate_limit, Err(BadNotice::Long { .. })));
    let notice = read(200, &[("server-limit", b"1"), ("server-limit", b"1")]);
    assert!(matches!(notice.rate_limit, Err(BadNotice::Repeated { .. })));
}

#[test]
fn rejection_limits() {
    for (text, limit) in [("3", 3), ("0", 0), (" 12 ", 12), ("2.9", 2)] {
        for status in [200, 503] {
            let notice = read(status, &[("server-brittle", text.as_bytes())]);
            assert_eq!(
                notice.rejection_limit,
                Ok(Some(Rejections(limit))),
                "{text:?}"
            );
        }
    }
    assert_eq!(read(200, &[]).rejection_limit, Ok(None));
    for text in ["", "few", "-1", "NaN", "1,5"] {
        let notice = read(200, &[("server-brittle", text.as_bytes())]);
        assert!(
            matches!(notice.rejection_limit, Err(BadNotice::Value { .. })),
            "{text:?}"
        );
    }
    let twice: [(&str, &[u8]); 2] = [("server-brittle", b"1"), ("server-brittle", b"1")];
    let notice = read(200, &twice);
    assert!(matches!(
        notice.rejection_limit,
        Err(BadNotice::Repeated { .. })
    ));
}

#[test]
fn leaving() {
    for status in [200, 500, 503] {
        assert_eq!(
            read(status, &[("server-leaving", b"1")]).is_leaving,
            Ok(true)
        );
    }
    assert_eq!(read(200, &[]).is_leaving, Ok(false));
    for text in ["0", "yes", ""] {
        let notice = read(200, &[("server-leaving", text.as_bytes())]);
        assert!(
            matches!(notice.is_leaving, Err(BadNotice::Value { .. })),
            "{text:?}"
        );
    }
}

#[test]
fn rests() {
    for (text, millis) in [("3", 3_000), ("1.5", 1_500), ("0", 0), ("0.0001", 1)] {
        let notice = read(503, &[("retry-after", text.as_bytes())]);
        assert_eq!(notice.retry_after, Ok(Some(Millis(millis))), "{text:?}");
    }
    // In responses other than refusals, the header may be meant for callers.
    assert_eq!(read(200, &[("retry-after", b"3")]).retry_after, Ok(None));
    for text in ["-1", "soon", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        let notice = read(503, &[("retry-after", text.as_bytes())]);
        assert!(
            matches!(notice.retry_after, Err(BadNotice::Value { .. })),
            "{text:?}"
        );
    }
}

/// An unreadable value does not affect the other headers.
#[test]
fn each_by_itself() {
    let headers: [(&str, &[u8]); 3] = [
        ("server-limit", b"many"),
        ("server-leaving", b"1"),
        ("retry-after", b"2"),
    ];
    let notice = read(503, &headers);
    assert_eq!(notice.is_leaving, Ok(true));
    assert_eq!(notice.retry_after, Ok(Some(Millis(2_000))));
    assert_eq!(notice.errors().count(), 1);
}

/// Whatever the bytes of the header, a decoded rate is finite and not negative.
#[test]
fn any_bytes() {
    arbtest::arbtest(|input| {
        let value: Vec<u8> = input.arbitrary()?;
        if HeaderValue::from_bytes(&value).is_ok() {
            let notice = read(503, &[("server-limit", &value), ("retry-after", &value)]);
            if let Ok(Some(rate)) = notice.rate_limit {
                assert!(rate.per_second().is_finite() && rate.per_second() >= 0.0);
            }
        }
        Ok(())
    });
}
