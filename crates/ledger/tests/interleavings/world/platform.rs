//! Platform requests and their answers, with injected faults.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use ledger::message::Action;
use ledger::message::Input;
use store::objects::Objects;
use store::table::Table;

use super::Request;
use super::World;

impl World {
    /// The platform executes a random request, fails it, or loses its answer.
    pub(super) fn platform_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let unanswered: Vec<usize> = self.request_indices(|it| it.answer.is_none());
        if unanswered.is_empty() {
            return Ok(());
        }
        let number = *u.choose(&unanswered)?;
        let action = self.requests[number].action.clone();
        let lost = store::Error::NoResponse { detail: "lost".to_owned() };
        let refused = store::Error::Refused { status: 503, detail: "down".to_owned() };
        let answer = match u.int_in_range(0..=9u8)? {
            0 => failed(&action, refused),
            1 => {
                self.execute_action(&action);
                failed(&action, lost)
            }
            2 => {
                // The caller gets no answer, and the request is executed later.
                let late =
                    Request { daemon: 0, incarnation: 0, action: action.clone(), answer: None };
                self.requests.push(late);
                failed(&action, lost)
            }
            _ => self.execute_action(&action),
        };
        self.requests[number].answer = Some(answer);
        Ok(())
    }

    pub(super) fn answer_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let ready: Vec<usize> = self.request_indices(|it| it.answer.is_some());
        if !ready.is_empty() {
            let number = *u.choose(&ready)?;
            self.deliver(number);
        }
        Ok(())
    }

    pub(super) fn execute_action(&self, action: &Action) -> Input {
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
            _ => unreachable!("not a platform request"),
        }
    }

    /// Executes and answers all requests without faults.
    pub(super) fn settle(&mut self) {
        for _ in 0..1_000 {
            if self.requests.is_empty() {
                break;
            }
            if self.requests[0].answer.is_none() {
                self.requests[0].answer = Some(self.execute_action(&self.requests[0].action));
            }
            self.deliver(0);
        }
        assert!(self.requests.is_empty(), "requests never run out, seed {:#x}", self.seed);
        for daemon in 0..self.daemons.len() {
            self.input(daemon, Input::Tick);
        }
    }

    pub(super) fn deliver(&mut self, number: usize) {
        let request = self.requests.swap_remove(number);
        let is_current = self.daemons[request.daemon].holder.incarnation == request.incarnation;
        if let Some(answer) = request.answer
            && is_current
        {
            self.input(request.daemon, answer);
        }
    }

    pub(super) fn request_indices(&self, wanted: impl Fn(&Request) -> bool) -> Vec<usize> {
        (0..self.requests.len()).filter(|it| wanted(&self.requests[*it])).collect()
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
