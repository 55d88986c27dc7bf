//! The task that makes the duties' calls to the cloud API.

use std::net::SocketAddr;
use std::time::Duration;

use duty::lease::Grant;
use duty::order::Order;
use duty::usage::Counts;
use platform::cloud;
use platform::cloud::Holder;
use platform::exchange::Client;
use store::Error;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

use crate::clock;
use crate::event::Event;

/// Part of the lease that must be left when a call is sent.
const AHEAD: Duration = Duration::from_millis(250);

/// A call to make.
#[derive(Debug)]
pub enum Job {
    /// Reports a window.
    Report {
        /// Right to do so.
        grant: Grant,
        /// Window.
        window: u64,
        /// Counts.
        counts: Counts,
    },
    /// Orders endpoints.
    Order {
        /// Right to do so.
        grant: Grant,
        /// Service.
        service: String,
        /// Order.
        order: Order,
    },
}

/// Makes the calls one after the other.
pub async fn run(
    address: SocketAddr,
    daemon: String,
    mut jobs: UnboundedReceiver<Job>,
    events: UnboundedSender<Event>,
) {
    let mut client = Client::new(address);
    while let Some(job) = jobs.recv().await {
        let event = match job {
            Job::Report { grant, window, counts } => {
                let holder = Holder { daemon: &daemon, fence: grant.fence };
                let call = cloud::report_usage(&mut client, holder, window, &counts);
                Event::Reported { window, result: within(grant, call).await }
            }
            Job::Order { grant, service, order } => {
                let holder = Holder { daemon: &daemon, fence: grant.fence };
                let call = cloud::order(&mut client, holder, &service, &order);
                let result = within(grant, call).await;
                Event::Ordered { service, order, result }
            }
        };
        let _ = events.send(event);
    }
}

/// Makes a call while the lease lasts. The clock counts suspended time, so a
/// daemon that was paused with the call in hand does not send it.
async fn within<T>(grant: Grant, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let left = grant.valid_until.saturating_sub(clock::since_boot());
    if left < AHEAD {
        return Err(Error::Refused { status: 0, detail: "the lease is about to end".to_owned() });
    }
    match timeout(left, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::NoAnswer { detail: "the lease has ended".to_owned() }),
    }
}
