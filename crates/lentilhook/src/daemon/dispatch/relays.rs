//! Calls that another daemon serves for a caller of this one.

use std::net::SocketAddr;

use ::job::call::Body;
use ::job::call::Call;
use ::job::reply::Reply;
use config::object::Service;
use ledger::record::Holder;
use membership::update::Role;
use membership::update::State;
use membership::update::Vm;
use peer::transport::Command;
use peer::transport::StreamId;
use peer::wire::Forward;
use peer::wire::Frame;
use stakker::CX;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::HOPS_LIMIT;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Way;
use crate::daemon::dispatch::problems;

/// A call sent on to another daemon.
pub struct Relay {
    /// The call.
    pub call: Call,
    /// Its service.
    pub service: Service,
    /// Way to the caller.
    pub way: Way,
    /// Index of the next token to send.
    pub next_index: u32,
}

impl Dispatch {
    /// Sends a call to the daemon that serves its key.
    pub(super) fn relay(
        &mut self,
        _cx: CX![],
        owner: Vm,
        call: Call,
        service: Service,
        way: Way,
        hops: u8,
    ) {
        let Ok(peer) = owner.address.parse::<SocketAddr>() else {
            way.send(&self.transport, Reply::Problem(problems::owner_unreachable()));
            return;
        };
        spdlog::info!("forwarded", kv: {
            workspace = call.workspace.as_str(),
            service = call.service.as_str(),
            daemon = owner.id.as_str(),
            reason = "serves_the_key",
        });
        let stream = StreamId(self.take_number());
        let frame = Frame::Forward(Box::new(Forward { call: call.clone(), hops: hops + 1 }));
        self.transport.command(Command::Open { stream, peer, frame });
        let next_index = match &call.body {
            Body::Chat(chat) => chat.from_index,
            Body::Plain(_) => 0,
        };
        self.relays.insert(stream, Relay { call, service, way, next_index });
    }

    /// The ledger says that another daemon holds the record of a job.
    pub(super) fn send_on(&mut self, cx: CX![], id: JobId, holder: &Holder) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        if let Some(identity) = job.call.identity() {
            self.by_identity.remove(&identity);
        }
        let owner = Vm {
            id: holder.daemon.clone(),
            incarnation: holder.incarnation,
            role: Role::Daemon,
            service: String::new(),
            zone: String::new(),
            address: holder.address.clone(),
            price_per_hour: 0.0,
            state: State::Live,
        };
        for waiter in job.waiters.drain(..) {
            let hops = match waiter.way.end() {
                Way::Peer(_) => 1,
                _ => 0,
            };
            if hops >= HOPS_LIMIT {
                let problem = problems::owner_unreachable();
                waiter.way.send(&self.transport, Reply::Problem(problem));
                continue;
            }
            let (call, service) = (job.call.clone(), job.service.clone());
            self.relay(cx, owner.clone(), call, service, waiter.way, hops);
        }
    }

    /// A piece of the answer came from the daemon that serves the call.
    pub(super) fn relayed(&mut self, cx: CX![], stream: StreamId, reply: Reply) {
        let Some(relay) = self.relays.get_mut(&stream) else { return };
        let last = reply.is_last();
        match &reply {
            // Invariant: every token goes to the caller once and in order.
            Reply::Token(token) if token.index < relay.next_index => return,
            Reply::Token(token) if token.index > relay.next_index => {
                self.relay_ended(cx, stream, true);
                return;
            }
            Reply::Finished(usage) if usage.completion_tokens > relay.next_index => {
                self.relay_ended(cx, stream, true);
                return;
            }
            Reply::Token(_) => relay.next_index += 1,
            _ => {}
        }
        relay.way.send(&self.transport, reply);
        if last {
            self.relays.remove(&stream);
            self.transport.command(Command::Finish { stream });
        }
    }

    /// The stream to the daemon that serves the call ended without a last
    /// piece. `sent` says whether the call may have reached it.
    pub(super) fn relay_ended(&mut self, cx: CX![], stream: StreamId, sent: bool) {
        self.transport.command(Command::Finish { stream });
        let Some(relay) = self.relays.remove(&stream) else { return };
        let Relay { mut call, service, way, next_index } = relay;
        if let Body::Chat(chat) = &mut call.body {
            // A completion may be computed again; go on after what was sent.
            chat.from_index = next_index;
            self.serve(cx, call, service, way);
            return;
        }
        if !call.is_non_idempotent() {
            self.serve(cx, call, service, way);
        } else if sent {
            self.owner_lost(cx, call, service, way);
        } else {
            way.send(&self.transport, Reply::Problem(problems::owner_unreachable()));
        }
    }

    /// Drops relays whose caller went away.
    pub(super) fn drop_relays(&mut self, leaves: impl Fn(&Way) -> bool) {
        let gone: Vec<StreamId> =
            self.relays.iter().filter(|(_, it)| leaves(&it.way)).map(|(id, _)| *id).collect();
        for stream in gone {
            self.relays.remove(&stream);
            self.transport.command(Command::Finish { stream });
        }
    }
}
