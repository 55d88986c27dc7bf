//! Bytes of frames for control, counted for metrics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::wire::Frame;

static SENT: AtomicU64 = AtomicU64::new(0);

/// Bytes of control frames that this process has sent.
pub fn control_bytes_sent() -> u64 {
    SENT.load(Ordering::Relaxed)
}

/// Counts a frame that was encoded to `bytes` for sending.
pub(crate) fn count_sent(frame: &Frame, bytes: usize) {
    if matches!(frame, Frame::Gossip(_) | Frame::Config { .. }) {
        SENT.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
