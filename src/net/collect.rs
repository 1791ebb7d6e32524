//! Reads the body of a response to its end. A peer in trouble may send bytes without end, in parts of any size, so what is
//! kept is the bytes alone, up to a maximum.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::{ResultExt, Snafu, ensure};

use super::bulkhead::{Bulkhead, Reservation, UNRESERVED_MAX};

/// Parts of a body or event that may be of any size.
const SMALL_PARTS_MAX: usize = 4_096;
/// Average size that further parts must have, in bytes: each costs as much processor time as hundreds of bytes.
const PART_MIN: usize = 64;

/// Whether so many bytes come in more parts than any sound peer makes of them.
pub fn is_fragmented(parts: usize, bytes: usize) -> bool {
    parts > SMALL_PARTS_MAX + bytes / PART_MIN
}

/// Why a body was not read to its end.
#[derive(Debug, Snafu)]
pub enum CollectError {
    /// It has more bytes than allowed.
    #[snafu(display("the body exceeds {max} bytes"))]
    TooLong {
        /// The maximum.
        max: usize,
    },
    /// It comes in very many small parts.
    #[snafu(display("the body has {parts} parts in {bytes} bytes"))]
    Fragmented {
        /// Number of parts so far.
        parts: usize,
        /// Number of bytes so far.
        bytes: usize,
    },
    /// The connection failed.
    #[snafu(display("{source}"))]
    Broken {
        /// Its error.
        source: hyper::Error,
    },
}

/// Reads a body of at most `max` bytes. Beyond a few kilobytes it waits for memory that is set aside.
///
/// # Errors
/// The body is too long or fragmented, or its connection has failed.
pub async fn collect(
    mut body: Incoming,
    max: usize,
    memory: &Bulkhead,
) -> Result<Bytes, CollectError> {
    let declared = body.size_hint().upper();
    let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    ensure!(
        declared.is_none_or(|length| length <= max),
        TooLongSnafu { max }
    );
    let mut bytes = BytesMut::new();
    let mut parts = 0;
    let mut reservation: Option<Reservation> = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.context(BrokenSnafu)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        ensure!(length <= max, TooLongSnafu { max });
        parts += 1;
        let is_fragmented = is_fragmented(parts, length);
        ensure!(
            !is_fragmented,
            FragmentedSnafu {
                parts,
                bytes: length
            }
        );
        let room = reservation
            .as_ref()
            .map_or(UNRESERVED_MAX, Reservation::size);
        if length > room {
            let larger = memory.reserve(declared.unwrap_or(length)).await;
            bytes.reserve(declared.unwrap_or(larger.size()) - bytes.len());
            reservation = Some(larger);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
