//! Messages to and from the daemons that account for endpoints.

use std::time::Instant;

use balance::account;
use balance::account::MAX_PARTS;
use balance::account::MIN_TOKENS;
use balance::account::Message;
use balance::account::Question;
use balance::account::Report;
use membership::digest;
use membership::digest::FANOUT;
use route::request::Part;

use super::Broker;
use crate::metrics;

impl Broker {
    pub(super) fn handle_account_message(&mut self, message: Message, now: Instant) {
        match message {
            Message::Question(question) => self.answer(&question, now),
            Message::Answer(answer) => self.handle_answer(&answer, now),
            Message::Report(report) => {
                if report.daemon != self.context.instance_id {
                    account::merge_report(&mut self.pool, &report, now);
                }
            }
        }
    }

    /// Whether a gossip round doesn't reach all daemons, so that what this one knows of others is
    /// seconds old.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.peers.count() > FANOUT
    }

    /// Tells the accounting daemon of an endpoint what this daemon has outstanding there.
    /// `tokens` are the prompt tokens by which that has changed.
    pub(super) fn report_load(&mut self, id: &str, tokens: u32, parts: &[Part], now: Instant) {
        if tokens < MIN_TOKENS || !self.is_large_fleet() {
            return;
        }
        let Some(member) = self.pool.member(id) else { return };
        let Some(to) = self.peers.accounting(id, &self.context.instance_id, now) else { return };
        let report = Report {
            daemon: self.context.instance_id.clone(),
            endpoint: id.to_owned(),
            instance: member.instance,
            load: member.own_load,
            parts: parts.iter().take(MAX_PARTS).map(|it| it.id).collect(),
        };
        metrics::count("account", "reported");
        let message = digest::Message::Accounts(Message::Report(report));
        self.context.streams.send(to, &message, now);
    }

    fn answer(&mut self, question: &Question, now: Instant) {
        metrics::count("account", "answered");
        let mut answer = account::answer(&self.pool, question, self.context.settings.peers, now);
        // A daemon that has just started knows less than those that ask.
        if now < self.started_at + self.peers.liveness_timeout() && !self.is_first_start {
            answer.states.clear();
        }
        let message = digest::Message::Accounts(Message::Answer(answer));
        self.context.streams.send(question.to, &message, now);
    }
}
