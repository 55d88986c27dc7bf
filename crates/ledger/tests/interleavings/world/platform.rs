//! Calls to the platform on their way there and back, with faults.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use ledger::message::Action;
use ledger::message::Input;
use store::objects::Objects;
use store::table::Table;

use super::Flight;
use super::World;

impl World {
    /// The platform takes a call, refuses it, or loses the answer.
    pub(super) fn platform_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let waiting: Vec<usize> = self.flight_numbers(|it| it.answer.is_none());
        if waiting.is_empty() {
            return Ok(());
        }
        let number = *u.choose(&waiting)?;
        let action = self.flights[number].action.clone();
        let lost = store::Error::NoAnswer { detail: "lost".to_owned() };
        let refused = store::Error::Refused { status: 503, detail: "down".to_owned() };
        let answer = match u.int_in_range(0..=9u8)? {
            0 => failed(&action, refused),
            1 => {
                self.carry_out(&action);
                failed(&action, lost)
            }
            2 => {
                // The caller hears nothing; the call itself arrives later.
                let late =
                    Flight { daemon: 0, incarnation: 0, action: action.clone(), answer: None };
                self.flights.push(late);
                failed(&action, lost)
            }
            _ => self.carry_out(&action),
        };
        self.flights[number].answer = Some(answer);
        Ok(())
    }

    pub(super) fn answer_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let ready: Vec<usize> = self.flight_numbers(|it| it.answer.is_some());
        if !ready.is_empty() {
            let number = *u.choose(&ready)?;
            self.deliver(number);
        }
        Ok(())
    }

    pub(super) fn carry_out(&self, action: &Action) -> Input {
        match action {
            Action::ReadHead(key) => Input::HeadRead(self.memory.read(key)),
            Action::ReadBatches(prefix) => Input::BatchesRead(self.memory.scan(prefix, "", 10_000)),
            Action::Commit(transaction) => Input::Committed(self.memory.commit(transaction)),
            Action::ReadSnapshot(name) => Input::SnapshotRead(self.memory.get(name)),
            Action::WriteSnapshot { name, content } => {
                Input::SnapshotWritten(name.clone(), self.memory.put(name, content))
            }
            Action::DeleteSnapshot(name) => {
                let _ = self.memory.delete(name);
                Input::Tick
            }
            _ => unreachable!("not for the platform"),
        }
    }

    /// Everything under way arrives, in order, without faults.
    pub(super) fn settle(&mut self) {
        for _ in 0..1_000 {
            if self.flights.is_empty() {
                break;
            }
            if self.flights[0].answer.is_none() {
                self.flights[0].answer = Some(self.carry_out(&self.flights[0].action));
            }
            self.deliver(0);
        }
        assert!(self.flights.is_empty(), "it never settles, seed {:#x}", self.seed);
        for daemon in 0..self.daemons.len() {
            self.input(daemon, Input::Tick);
        }
    }

    pub(super) fn deliver(&mut self, number: usize) {
        let flight = self.flights.swap_remove(number);
        let is_there = self.daemons[flight.daemon].holder.incarnation == flight.incarnation;
        if let Some(answer) = flight.answer
            && is_there
        {
            self.input(flight.daemon, answer);
        }
    }

    pub(super) fn flight_numbers(&self, wanted: impl Fn(&Flight) -> bool) -> Vec<usize> {
        (0..self.flights.len()).filter(|it| wanted(&self.flights[*it])).collect()
    }
}

fn failed(action: &Action, error: store::Error) -> Input {
    match action {
        Action::ReadHead(_) => Input::HeadRead(Err(error)),
        Action::ReadBatches(_) => Input::BatchesRead(Err(error)),
        Action::ReadSnapshot(_) => Input::SnapshotRead(Err(error)),
        Action::WriteSnapshot { name, .. } => Input::SnapshotWritten(name.clone(), Err(error)),
        Action::DeleteSnapshot(_) => Input::Tick,
        _ => Input::Committed(Err(error)),
    }
}
