//! The task that makes the leader tasks' calls to the cloud API.

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

/// Minimum remaining lease time for sending a call.
const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// A call to the cloud API.
#[derive(Debug)]
pub enum Job {
    /// Reports the usage of a window.
    Report {
        /// Lease grant under which the call is made.
        grant: Grant,
        /// Number of the window.
        window: u64,
        /// Requests per workspace.
        counts: Counts,
    },
    /// Orders endpoints.
    Order {
        /// Lease grant under which the call is made.
        grant: Grant,
        /// Service that gets the endpoints.
        service: String,
        /// The order.
        order: Order,
    },
}

/// Makes the calls sequentially.
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
                Event::UsageReported { window, result: call_under_lease(grant, call).await }
            }
            Job::Order { grant, service, order } => {
                let holder = Holder { daemon: &daemon, fence: grant.fence };
                let call = cloud::order(&mut client, holder, &service, &order);
                let result = call_under_lease(grant, call).await;
                Event::Ordered { service, order, result }
            }
        };
        let _ = events.send(event);
    }
}

/// Makes a call within the validity of the lease. The clock counts suspended
/// time, so a daemon that was paused before the call does not send it.
async fn call_under_lease<T>(
    grant: Grant,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let time_left = grant.valid_until.saturating_sub(clock::since_boot());
    if time_left < LEASE_MARGIN {
        return Err(Error::Refused {
            status: 0,
            detail: "the lease is about to expire".to_owned(),
        });
    }
    match timeout(time_left, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::NoResponse { detail: "the lease has expired".to_owned() }),
    }
}
