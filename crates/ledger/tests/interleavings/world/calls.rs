//! Calls after the ledger's verdict.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use ledger::message::Input;
use ledger::message::Ticket;
use ledger::record::Step;

use super::Call;
use super::RECORD_TIMEOUT;
use super::Stage;
use super::World;
use super::answer;

impl World {
    /// Sends a granted call to the endpoint, or ends a call.
    pub(super) fn call_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let open: Vec<usize> = (0..self.calls.len())
            .filter(|it| matches!(self.calls[*it].stage, Stage::Granted | Stage::Sent))
            .collect();
        if open.is_empty() {
            return Ok(());
        }
        let number = *u.choose(&open)?;
        let rejected = u.ratio(1, 4u8)?;
        let no_answer = u.ratio(1, 4u8)?;
        match self.calls[number].stage {
            Stage::Granted if rejected => self.end(number, Step::NotRun),
            Stage::Granted => self.execute(number),
            _ if no_answer => self.end(number, Step::Unknown),
            _ => self.end(number, Step::Done(answer(self.calls[number].ticket))),
        }
        Ok(())
    }

    pub(super) fn execute(&mut self, number: usize) {
        let call = &mut self.calls[number];
        call.stage = Stage::Sent;
        self.executed.entry(call.identity.clone()).or_default().push(call.ticket);
    }

    pub(super) fn end(&mut self, number: usize, step: Step) {
        let call = &mut self.calls[number];
        if self.daemons[call.daemon].paused {
            return;
        }
        call.stage = Stage::Ended { not_run: step == Step::NotRun };
        call.may_have_run = step != Step::NotRun;
        let (daemon, identity) = (call.daemon, call.identity.clone());
        if self.daemons[daemon].holder.incarnation == call.incarnation {
            self.input(daemon, Input::End(identity, step));
        }
    }

    pub(super) fn end_all(&mut self) {
        for number in 0..self.calls.len() {
            if self.calls[number].stage == Stage::Granted {
                self.execute(number);
            }
            if self.calls[number].stage == Stage::Sent {
                self.end(number, Step::Done(answer(self.calls[number].ticket)));
            }
        }
        self.settle();
    }

    /// Rejects calls that waited longer than [`RECORD_TIMEOUT`], as the dispatcher
    /// does.
    pub(super) fn reject_late_calls(&mut self) {
        let now = self.now;
        let late =
            |it: &&mut Call| it.stage == Stage::Waiting && now - it.began_at >= RECORD_TIMEOUT;
        let running: Vec<bool> = self.daemons.iter().map(|it| !it.paused).collect();
        let late = self.calls.iter_mut().filter(late).filter(|it| running[it.daemon]);
        let late: Vec<(usize, Ticket)> = late
            .map(|call| {
                call.stage = Stage::Rejected;
                (call.daemon, call.ticket)
            })
            .collect();
        for (daemon, ticket) in late {
            self.input(daemon, Input::Withdraw(ticket));
        }
    }
}
