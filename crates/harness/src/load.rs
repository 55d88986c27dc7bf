//! Streamed completions that are open side by side.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use standins::text;

use crate::caller::Draft;
use crate::caller::Streamed;
use crate::cluster::wait_for;

/// Open streams.
pub struct Load {
    streams: Vec<Open>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Keys {
    None,
    Own,
}

struct Open {
    prompt: String,
    tokens: u32,
    arrived: Arc<AtomicUsize>,
    thread: JoinHandle<io::Result<Streamed>>,
}

impl Load {
    /// Opens a stream of `tokens` for each prompt, in turn at each address.
    pub fn open(addresses: &[String], prompts: &[String], tokens: u32) -> Load {
        Load::start(addresses, prompts, tokens, Keys::None)
    }

    /// The same, each stream under a key of its own.
    pub fn open_keyed(addresses: &[String], prompts: &[String], tokens: u32) -> Load {
        Load::start(addresses, prompts, tokens, Keys::Own)
    }

    fn start(addresses: &[String], prompts: &[String], tokens: u32, keys: Keys) -> Load {
        let addresses = addresses.iter().cycle();
        let streams = prompts.iter().zip(addresses).map(|(prompt, address)| {
            let arrived = Arc::new(AtomicUsize::new(0));
            let count = arrived.clone();
            let (address, asked) = (address.clone(), prompt.clone());
            let thread = thread::spawn(move || {
                let key = asked.replace(' ', "-");
                let mut draft = Draft::new(&address, &asked, tokens);
                draft.key = (keys == Keys::Own).then_some(key.as_str());
                draft.stream(|_| {
                    count.fetch_add(1, Ordering::Relaxed);
                })
            });
            Open { prompt: prompt.clone(), tokens, arrived, thread }
        });
        Load { streams: streams.collect() }
    }

    /// Waits until every stream has this many tokens.
    pub fn wait_for_tokens(&self, count: usize) -> io::Result<()> {
        let there = |it: &Open| it.arrived.load(Ordering::Relaxed) >= count;
        wait_for("tokens on every stream", || self.streams.iter().all(there))
    }

    /// Waits for the ends; says what is wrong with each stream that is not
    /// whole, in order and its own.
    pub fn faults(self) -> Vec<String> {
        self.streams.into_iter().filter_map(Open::fault).collect()
    }
}

impl Open {
    fn fault(self) -> Option<String> {
        let prompt: String = self.prompt.chars().take(20).collect();
        let streamed = match self.thread.join() {
            Ok(Ok(streamed)) => streamed,
            Ok(Err(error)) => return Some(format!("{prompt}: {error}")),
            Err(_) => return Some(format!("{prompt}: the caller panicked")),
        };
        let ids = streamed.tokens.iter().map(|it| it.id.clone());
        let in_order = ids.eq((0..self.tokens).map(|it| it.to_string()));
        let whole = streamed.text() == text::answer(&self.prompt, self.tokens);
        if streamed.complete && in_order && whole {
            return None;
        }
        Some(format!(
            "{prompt}: complete {}, in order {in_order}, text {whole}, {} of {} tokens, {:?}",
            streamed.complete,
            streamed.tokens.len(),
            self.tokens,
            streamed.problem
        ))
    }
}
