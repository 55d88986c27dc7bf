//! What becomes of calls after the word on them.

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
    /// A granted call reaches the endpoint, or ends.
    pub(super) fn call_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let open: Vec<usize> = (0..self.calls.len())
            .filter(|it| matches!(self.calls[*it].stage, Stage::Granted | Stage::Sent))
            .collect();
        if open.is_empty() {
            return Ok(());
        }
        let number = *u.choose(&open)?;
        let refused = u.ratio(1, 4u8)?;
        let silent = u.ratio(1, 4u8)?;
        match self.calls[number].stage {
            Stage::Granted if refused => self.end(number, Step::NotRun),
            Stage::Granted => self.execute(number),
            _ if silent => self.end(number, Step::Unknown),
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
        call.left = step != Step::NotRun;
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

    /// The dispatcher turns away who waited too long.
    pub(super) fn turn_away(&mut self) {
        let now = self.now;
        let late = |it: &&mut Call| it.stage == Stage::Waiting && now - it.asked >= RECORD_TIMEOUT;
        let awake: Vec<bool> = self.daemons.iter().map(|it| !it.paused).collect();
        let late = self.calls.iter_mut().filter(late).filter(|it| awake[it.daemon]);
        let late: Vec<(usize, Ticket)> = late
            .map(|call| {
                call.stage = Stage::TurnedAway;
                (call.daemon, call.ticket)
            })
            .collect();
        for (daemon, ticket) in late {
            self.input(daemon, Input::Withdraw(ticket));
        }
    }
}
