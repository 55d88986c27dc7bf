//! A body that is kept in one piece, within the budget.

use bytes::Bytes;
use tokio::time::Instant;

use crate::budget::Reservation;
use crate::budget::Shortage;

/// Minimum size of a buffer that is not empty.
const MIN_BYTES: usize = 1_024;

/// A body that is being received.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Bytes that the body is expected to have, and that the buffer does not exceed before.
    expected: usize,
    reservation: Reservation,
}

impl Buffer {
    /// Creates an empty buffer. `expected` is the size of the body as far as it is known.
    pub fn new(reservation: Reservation, expected: Option<u64>) -> Buffer {
        let expected = expected.map_or(usize::MAX, |it| it as usize);
        Buffer { bytes: Vec::new(), expected, reservation }
    }

    /// Returns the number of bytes that were received.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes. Fails if the budget has too few, or the body was evicted.
    pub fn push(&mut self, bytes: &[u8], now: Instant) -> Result<(), Shortage> {
        let length = self.bytes.len() + bytes.len();
        if length > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(MIN_BYTES);
            let capacity = doubled.min(self.expected).max(length);
            self.reservation.grow(capacity, now)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        self.reservation.record_received(bytes.len(), now);
        Ok(())
    }

    /// Whether the body was evicted.
    pub fn is_evicted(&self) -> bool {
        self.reservation.is_evicted()
    }

    /// Waits until the body is evicted.
    pub async fn evicted(&self) {
        self.reservation.evicted().await;
    }

    /// Returns the complete body, whose bytes are reserved until its last copy is dropped.
    /// Fails if it was evicted.
    pub fn complete(mut self) -> Result<Bytes, Shortage> {
        self.reservation.complete()?;
        if self.bytes.is_empty() {
            return Ok(Bytes::new());
        }
        let Buffer { bytes, reservation, .. } = self;
        Ok(Bytes::from_owner(Kept { bytes, _reservation: reservation }))
    }
}

/// A complete body and its reservation.
#[derive(Debug)]
struct Kept {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
