//! Concurrent streamed completions.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use standins::text;

use crate::caller::Completion;
use crate::caller::Draft;
use crate::cluster::wait_for;

/// A set of concurrent streams, each read by its own thread.
pub struct Load {
    streams: Vec<Stream>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Keys {
    None,
    PerStream,
}

struct Stream {
    prompt: String,
    tokens: u32,
    received: Arc<AtomicUsize>,
    thread: JoinHandle<io::Result<Completion>>,
}

impl Load {
    /// Opens a stream of `tokens` tokens for each prompt, round-robin over the
    /// addresses.
    pub fn open(addresses: &[String], prompts: &[String], tokens: u32) -> Load {
        Load::start(addresses, prompts, tokens, Keys::None)
    }

    /// Like [`Load::open`], with a separate idempotency key for each stream.
    pub fn open_keyed(addresses: &[String], prompts: &[String], tokens: u32) -> Load {
        Load::start(addresses, prompts, tokens, Keys::PerStream)
    }

    fn start(addresses: &[String], prompts: &[String], tokens: u32, keys: Keys) -> Load {
        let addresses = addresses.iter().cycle();
        let streams = prompts.iter().zip(addresses).map(|(prompt, address)| {
            let received = Arc::new(AtomicUsize::new(0));
            let count = received.clone();
            let (address, content) = (address.clone(), prompt.clone());
            let thread = thread::spawn(move || {
                let key = content.replace(' ', "-");
                let mut draft = Draft::new(&address, &content, tokens);
                draft.key = (keys == Keys::PerStream).then_some(key.as_str());
                draft.stream(|_| {
                    count.fetch_add(1, Ordering::Relaxed);
                })
            });
            Stream { prompt: prompt.clone(), tokens, received, thread }
        });
        Load { streams: streams.collect() }
    }

    /// Waits until every stream has received this many tokens.
    pub fn wait_for_tokens(&self, count: usize) -> io::Result<()> {
        let has_tokens = |it: &Stream| it.received.load(Ordering::Relaxed) >= count;
        wait_for("tokens on every stream", || self.streams.iter().all(has_tokens))
    }

    /// Waits until all streams end and describes each one that is incomplete, out
    /// of order or doesn't have the expected text.
    pub fn failures(self) -> Vec<String> {
        self.streams.into_iter().filter_map(Stream::failure).collect()
    }
}

impl Stream {
    fn failure(self) -> Option<String> {
        let prompt: String = self.prompt.chars().take(20).collect();
        let completion = match self.thread.join() {
            Ok(Ok(completion)) => completion,
            Ok(Err(error)) => return Some(format!("{prompt}: {error}")),
            Err(_) => return Some(format!("{prompt}: the caller panicked")),
        };
        let ids = completion.tokens.iter().map(|it| it.id.clone());
        let is_in_order = ids.eq((0..self.tokens).map(|it| it.to_string()));
        let is_expected_text = completion.text() == text::answer(&self.prompt, self.tokens);
        if completion.complete && is_in_order && is_expected_text {
            return None;
        }
        Some(format!(
            "{prompt}: complete {}, in order {is_in_order}, expected text {is_expected_text}, \
             {} of {} tokens, {:?}",
            completion.complete,
            completion.tokens.len(),
            self.tokens,
            completion.problem
        ))
    }
}
