//! Order in which completions start when places are short, and which are
//! turned away because they would start too late.
//!
//! Drafts go before questions, but of `TURNS` starts in a row one goes to a
//! question when one waits. Within a class, workspaces start by their shares
//! (start-time fair queueing), so that one with many requests does not hold
//! the others up. What was let in is never turned away later.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Starts in a row of which one is a question's, when one waits.
pub const TURNS: u32 = 4;
/// Fewest tokens of an answer that counts as a draft.
const DRAFT_TOKENS: u32 = 200;
/// Longest time that a draft may wait when its caller names none.
const DRAFT_WAIT: Duration = Duration::from_secs(60);
/// Longest time that a question may wait when its caller names none.
const QUESTION_WAIT: Duration = Duration::from_secs(5);
/// Shortest and longest time after which to come back, in seconds.
const RETRY_AFTER_S: (f64, f64) = (1.0, 30.0);

/// Priority class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Long answers for which someone waits: dossiers and itineraries.
    Draft,
    /// Short questions.
    Question,
}

/// A completion that wants to start.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Names it.
    pub ticket: u64,
    /// Class.
    pub class: Class,
    /// Workspace.
    pub workspace: &'a str,
    /// Weight of the workspace.
    pub share: u32,
    /// Tokens to compute and generate.
    pub tokens: u32,
    /// Longest wait that its caller named.
    pub wait_limit: Option<Duration>,
}

/// What the endpoints can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Places that are free now.
    pub free: f64,
    /// Starts a second that ending sequences make room for.
    pub starts_per_second: f64,
}

/// What becomes of a completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It starts now.
    Start,
    /// It waits for its turn.
    Wait,
    /// It would start too late; it may come back after these seconds.
    Refuse {
        /// Seconds.
        retry_after_s: u32,
    },
}

/// Completions that wait for a place.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    drafts: Lane,
    questions: Lane,
    drafts_in_a_row: u32,
}

/// Those of one class.
#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: BTreeSet<(Tag, u64)>,
    virtual_time: u64,
    finish: BTreeMap<String, u64>,
}

/// Virtual time at which an entry starts, in tokens at a share of one.
type Tag = u64;

/// Scale of virtual time, so that division by shares keeps precision.
const TAG_SCALE: u64 = 1000;

impl Class {
    /// Class of an answer of at most this many tokens.
    pub fn of(max_tokens: u32) -> Class {
        if max_tokens >= DRAFT_TOKENS { Class::Draft } else { Class::Question }
    }

    /// Longest wait when the caller names none.
    pub fn wait_limit(self) -> Duration {
        match self {
            Class::Draft => DRAFT_WAIT,
            Class::Question => QUESTION_WAIT,
        }
    }
}

impl Queue {
    /// Decides on a completion that just came. `Wait` puts it into the queue.
    pub fn offer(&mut self, entry: &Entry<'_>, supply: &Supply) -> Verdict {
        if supply.free >= 1.0 && self.is_empty() {
            return Verdict::Start;
        }
        let tag = self.lane(entry.class).tag(entry);
        let starts_before = self.starts_before(entry.class, tag);
        let wait_s = (starts_before + 1) as f64 / supply.starts_per_second.max(f64::MIN_POSITIVE);
        let limit = entry.wait_limit.unwrap_or(entry.class.wait_limit()).as_secs_f64();
        if wait_s > limit {
            let (shortest, longest) = RETRY_AFTER_S;
            let retry_after_s = (wait_s - limit).clamp(shortest, longest).ceil() as u32;
            return Verdict::Refuse { retry_after_s };
        }
        self.lane(entry.class).push(entry, tag);
        Verdict::Wait
    }

    /// Takes the completion whose turn it is.
    pub fn take(&mut self) -> Option<u64> {
        let is_questions_turn = self.drafts_in_a_row + 1 >= TURNS;
        let from_drafts = match (self.drafts.waiting.is_empty(), self.questions.waiting.is_empty())
        {
            (true, true) => return None,
            (drafts, questions) => questions || !drafts && !is_questions_turn,
        };
        if from_drafts {
            // Only drafts that went before a waiting question count.
            let counts = u32::from(!self.questions.waiting.is_empty());
            self.drafts_in_a_row = (self.drafts_in_a_row + 1) * counts;
            return self.drafts.pop();
        }
        self.drafts_in_a_row = 0;
        self.questions.pop()
    }

    /// Number that wait.
    pub fn len(&self) -> usize {
        self.drafts.waiting.len() + self.questions.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Starts before one of a class with this tag would have its turn.
    fn starts_before(&self, class: Class, tag: Tag) -> usize {
        let turns = TURNS as usize;
        let (lane, other) = match class {
            Class::Draft => (&self.drafts, &self.questions),
            Class::Question => (&self.questions, &self.drafts),
        };
        let ahead = lane.waiting.range(..(tag, u64::MAX)).count();
        let between = match class {
            Class::Draft => ahead / (turns - 1),
            Class::Question => (ahead + 1) * (turns - 1),
        };
        ahead + between.min(other.waiting.len())
    }

    fn lane(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Draft => &mut self.drafts,
            Class::Question => &mut self.questions,
        }
    }
}

impl Lane {
    fn tag(&self, entry: &Entry<'_>) -> Tag {
        let finish = self.finish.get(entry.workspace).copied().unwrap_or(0);
        finish.max(self.virtual_time)
    }

    fn push(&mut self, entry: &Entry<'_>, tag: Tag) {
        let cost = u64::from(entry.tokens.max(1)) * TAG_SCALE / u64::from(entry.share.max(1));
        self.finish.insert(entry.workspace.to_owned(), tag + cost);
        self.waiting.insert((tag, entry.ticket));
    }

    fn pop(&mut self) -> Option<u64> {
        let (tag, ticket) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(tag);
        if self.waiting.is_empty() {
            let now = self.virtual_time;
            self.finish.retain(|_, finish| *finish > now);
        }
        Some(ticket)
    }
}
