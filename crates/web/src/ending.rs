//! Responses whose end only the end of their connection marks.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// How the connection of the current response may end.
#[derive(Debug, Default)]
pub(crate) struct Ending {
    must_reset: AtomicBool,
    is_finished: AtomicBool,
}

impl Ending {
    /// Records that only the end of the connection will mark the end of the response.
    pub(crate) fn begin_undelimited(&self) {
        self.must_reset.store(true, Ordering::Release);
    }

    /// Records that the body was taken to its end.
    pub(crate) fn finish(&self) {
        self.is_finished.store(true, Ordering::Release);
    }

    /// Records that the socket has taken all bytes so far.
    pub(crate) fn record_flush(&self) {
        if self.is_finished.load(Ordering::Acquire) {
            self.must_reset.store(false, Ordering::Release);
        }
    }

    /// Whether the caller would take an orderly end of the connection for the end of a response
    /// that is unfinished.
    pub(crate) fn must_reset(&self) -> bool {
        self.must_reset.load(Ordering::Acquire)
    }
}
