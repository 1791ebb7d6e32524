//! Sets memory aside for long answers and events while they arrive.
//!
//! How many peers send bytes without end is up to them, so what arrives at the same time is limited in all, apart for each
//! class of sizes. One that grows takes a place in the next class before it gives up its own, so that those which wait for one
//! another are always in a lower class than those which they wait for. Places of a large class may be taken by answers that
//! stall; shorter ones do not wait for these.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of an answer or event that need no reservation: most are shorter.
pub const UNRESERVED_MAX: usize = 16 << 10;
/// How many times as long as those of the class before answers of a class may be.
const CLASS_FACTOR: usize = 8;
/// Number of classes, which share the memory evenly.
const CLASSES: usize = 3;

/// The memory set aside.
#[derive(Debug)]
pub struct Bulkhead {
    /// The classes, by size.
    classes: [Class; CLASSES],
}

#[derive(Debug)]
struct Class {
    /// Longest answer, in bytes.
    size: usize,
    places: Arc<Semaphore>,
}

/// Memory for an answer or event of at most a size, given back when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    size: usize,
    _place: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// Longest answer or event that it is for, in bytes.
    pub fn size(&self) -> usize {
        self.size
    }
}

impl Bulkhead {
    /// Sets `memory` bytes aside for answers of up to `longest` bytes, of which one can always arrive; `None` sets no limit.
    pub fn new(memory: Option<usize>, longest: usize) -> Self {
        let class = |size: usize| {
            let places = memory.map_or(Semaphore::MAX_PERMITS, |all| all / CLASSES / size);
            let places = places.clamp(1, Semaphore::MAX_PERMITS);
            Class {
                size,
                places: Arc::new(Semaphore::new(places)),
            }
        };
        let [short, middle] = [1, 2].map(|power| UNRESERVED_MAX * CLASS_FACTOR.pow(power));
        Self {
            classes: [class(short), class(middle), class(longest)],
        }
    }

    /// Reserves memory for at least so many bytes, or for the longest answer. Waits while others of the class take it, in the
    /// order of the calls.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let [short, middle, long] = &self.classes;
        let class = [short, middle].into_iter().find(|it| bytes <= it.size);
        let class = class.unwrap_or(long);
        // The semaphore is never closed, so there is always a place in the end.
        let place = Arc::clone(&class.places).acquire_owned().await.ok();
        Reservation {
            size: class.size,
            _place: place,
        }
    }
}
