//! Calls that another daemon serves for a caller of this daemon.

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
use crate::daemon::dispatch::MAX_HOPS;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Sink;
use crate::daemon::dispatch::problems;

/// A call forwarded to another daemon.
pub struct Relay {
    /// The call.
    pub call: Call,
    /// Configuration of the service.
    pub service: Service,
    /// Reply channel to the caller.
    pub sink: Sink,
    /// Index of the next token to send.
    pub next_index: u32,
}

impl Dispatch {
    /// Forwards a call to the daemon that owns its key.
    pub(super) fn relay(
        &mut self,
        _cx: CX![],
        owner: Vm,
        call: Call,
        service: Service,
        sink: Sink,
        hops: u8,
    ) {
        let Ok(peer) = owner.address.parse::<SocketAddr>() else {
            sink.send(&self.transport, Reply::Problem(problems::owner_unreachable()));
            return;
        };
        spdlog::info!("forwarded", kv: {
            workspace = call.workspace.as_str(),
            service = call.service.as_str(),
            daemon = owner.id.as_str(),
            reason = "serves_the_key",
        });
        let stream = StreamId(self.next_number());
        let frame = Frame::Forward(Box::new(Forward { call: call.clone(), hops: hops + 1 }));
        self.transport.command(Command::Open { stream, peer, frame });
        let next_index = match &call.body {
            Body::Chat(chat) => chat.from_index,
            Body::Plain(_) => 0,
        };
        self.relays.insert(stream, Relay { call, service, sink, next_index });
    }

    /// Forwards a job to the daemon that holds its ledger record.
    pub(super) fn redirect(&mut self, cx: CX![], id: JobId, holder: &Holder) {
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
            let hops = match waiter.sink.underlying() {
                Sink::Peer(_) => 1,
                _ => 0,
            };
            if hops >= MAX_HOPS {
                let problem = problems::owner_unreachable();
                waiter.sink.send(&self.transport, Reply::Problem(problem));
                continue;
            }
            let (call, service) = (job.call.clone(), job.service.clone());
            self.relay(cx, owner.clone(), call, service, waiter.sink, hops);
        }
    }

    /// Handles a part of the reply from the daemon that serves the call.
    pub(super) fn relay_reply(&mut self, cx: CX![], stream: StreamId, reply: Reply) {
        let Some(relay) = self.relays.get_mut(&stream) else { return };
        let reply = problems::checked(&relay.call, reply);
        let last = reply.is_last();
        match &reply {
            // Invariant: every token is sent to the caller once and in order.
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
        relay.sink.send(&self.transport, reply);
        if last {
            self.relays.remove(&stream);
            self.transport.command(Command::Finish { stream });
        }
    }

    /// Handles a stream that ended without a final reply or has missed a token. `sent`
    /// states whether the call may have reached the daemon.
    pub(super) fn relay_ended(&mut self, cx: CX![], stream: StreamId, sent: bool) {
        self.transport.command(Command::Finish { stream });
        let Some(relay) = self.relays.remove(&stream) else { return };
        let Relay { mut call, service, sink, next_index } = relay;
        let is_repeatable = !call.is_non_idempotent();
        let sink = if sent && is_repeatable { Sink::Begun(Box::new(sink)) } else { sink };
        if let Body::Chat(chat) = &mut call.body {
            // A completion may be recomputed; it continues after the last token sent.
            chat.from_index = next_index;
            self.serve(cx, call, service, sink);
            return;
        }
        if is_repeatable {
            self.serve(cx, call, service, sink);
        } else if sent {
            self.owner_lost(cx, call, service, sink);
        } else {
            sink.send(&self.transport, Reply::Problem(problems::owner_unreachable()));
        }
    }

    /// Drops relays whose caller has disconnected.
    pub(super) fn drop_relays(&mut self, is_disconnected: impl Fn(&Sink) -> bool) {
        let disconnected: Vec<StreamId> = self
            .relays
            .iter()
            .filter(|(_, it)| is_disconnected(&it.sink))
            .map(|(id, _)| *id)
            .collect();
        for stream in disconnected {
            self.relays.remove(&stream);
            self.transport.command(Command::Finish { stream });
        }
    }
}
