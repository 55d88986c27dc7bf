//! Probes of endpoints: whether a connection can be opened.

use std::net::SocketAddr;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;

use crate::event::Event;

/// An endpoint to be probed.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its service.
    pub service: String,
    /// Its identity.
    pub endpoint: String,
    /// Its address.
    pub address: SocketAddr,
}

/// Runs the probes.
pub async fn run(mut jobs: UnboundedReceiver<Job>, events: UnboundedSender<Event>) {
    while let Some(Job { service, endpoint, address }) = jobs.recv().await {
        let events = events.clone();
        spawn_local(async move {
            let is_success = relay::connection::connect(address).await.is_ok();
            let _ = events.send(Event::Probed { service, endpoint, is_success });
        });
    }
}
