//! Counts the bytes of control frames for metrics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::wire::Frame;

static SENT: AtomicU64 = AtomicU64::new(0);

/// Returns the number of bytes of control frames sent by this process.
pub fn control_bytes_sent() -> u64 {
    SENT.load(Ordering::Relaxed)
}

/// Counts a frame of `bytes` encoded bytes if it is a control frame.
pub(crate) fn count_sent(frame: &Frame, bytes: usize) {
    if matches!(frame, Frame::Gossip(_) | Frame::Config { .. }) {
        SENT.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
