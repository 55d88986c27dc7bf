//! Admission control: the order in which completions start when slots are
//! scarce, and rejection of those that would start too late.
//!
//! Drafts have priority over questions, but one of every `QUESTION_INTERVAL`
//! consecutive starts goes to a question if any is waiting. Within a class,
//! workspaces are scheduled by their shares (start-time fair queueing), so a
//! workspace with many requests does not delay the others. Once queued, a
//! completion is never rejected.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of consecutive starts of which one goes to a question, if any waits.
pub const QUESTION_INTERVAL: u32 = 4;
/// Token limit from which an answer is classified as a draft.
const DRAFT_TOKENS: u32 = 200;
/// Maximum wait of a draft whose caller sets no limit.
const DRAFT_WAIT: Duration = Duration::from_secs(60);
/// Maximum wait of a question whose caller sets no limit.
const QUESTION_WAIT: Duration = Duration::from_secs(5);
/// Lower and upper bound of the suggested retry delay, in seconds.
const RETRY_AFTER_S: (f64, f64) = (1.0, 30.0);

/// Priority class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Long answers that a user is waiting for: dossiers and itineraries.
    Draft,
    /// Short questions.
    Question,
}

/// A completion that requests admission.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Identifies the completion.
    pub ticket: u64,
    /// Priority class.
    pub class: Class,
    /// Workspace the completion belongs to.
    pub workspace: &'a str,
    /// Scheduling weight of the workspace.
    pub share: u32,
    /// Prompt tokens to compute plus tokens to generate.
    pub tokens: u32,
    /// Maximum wait set by the caller.
    pub wait_limit: Option<Duration>,
}

/// Capacity that the endpoints have available.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Slots that are currently free.
    pub free: f64,
    /// Starts per second made possible by sequences that finish.
    pub starts_per_second: f64,
}

/// Outcome of an admission request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The completion starts now.
    Start,
    /// The completion is queued.
    Wait,
    /// The completion would start too late and is rejected.
    Refuse {
        /// Suggested delay before a retry, in seconds.
        retry_after_s: u32,
    },
}

/// Completions waiting for a slot.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    drafts: Lane,
    questions: Lane,
    consecutive_drafts: u32,
}

/// Waiting completions of one class.
#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: BTreeSet<(Tag, u64)>,
    virtual_time: Tag,
    /// Virtual finish time of the latest entry of each workspace.
    finish_times: BTreeMap<String, Tag>,
}

/// Virtual time, in tokens at a share of one, scaled by `TAG_SCALE`. The tag of an
/// entry is its start time.
type Tag = u64;

/// Scale of virtual time; keeps precision when costs are divided by shares.
const TAG_SCALE: u64 = 1000;

impl Class {
    /// Returns the class of an answer limited to `max_tokens`.
    pub fn from_max_tokens(max_tokens: u32) -> Class {
        if max_tokens >= DRAFT_TOKENS { Class::Draft } else { Class::Question }
    }

    /// Returns the maximum wait when the caller sets no limit.
    pub fn wait_limit(self) -> Duration {
        match self {
            Class::Draft => DRAFT_WAIT,
            Class::Question => QUESTION_WAIT,
        }
    }
}

impl Queue {
    /// Decides on a new completion. With `Wait`, the completion has been queued.
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

    /// Removes and returns the ticket of the next completion to start.
    pub fn pop(&mut self) -> Option<u64> {
        let is_question_due = self.consecutive_drafts + 1 >= QUESTION_INTERVAL;
        let from_drafts = match (self.drafts.waiting.is_empty(), self.questions.waiting.is_empty())
        {
            (true, true) => return None,
            (no_drafts, no_questions) => no_questions || !no_drafts && !is_question_due,
        };
        if from_drafts {
            // Only drafts that start ahead of a waiting question count.
            let question_waits = u32::from(!self.questions.waiting.is_empty());
            self.consecutive_drafts = (self.consecutive_drafts + 1) * question_waits;
            return self.drafts.pop();
        }
        self.consecutive_drafts = 0;
        self.questions.pop()
    }

    /// Returns the number of waiting completions.
    pub fn len(&self) -> usize {
        self.drafts.waiting.len() + self.questions.waiting.len()
    }

    /// Whether no completion is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of starts ahead of an entry with this class and tag.
    fn starts_before(&self, class: Class, tag: Tag) -> usize {
        let interval = QUESTION_INTERVAL as usize;
        let (lane, other) = match class {
            Class::Draft => (&self.drafts, &self.questions),
            Class::Question => (&self.questions, &self.drafts),
        };
        let ahead = lane.waiting.range(..(tag, u64::MAX)).count();
        let from_other = match class {
            Class::Draft => ahead / (interval - 1),
            Class::Question => (ahead + 1) * (interval - 1),
        };
        ahead + from_other.min(other.waiting.len())
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
        let finish_time = self.finish_times.get(entry.workspace).copied().unwrap_or(0);
        finish_time.max(self.virtual_time)
    }

    fn push(&mut self, entry: &Entry<'_>, tag: Tag) {
        let cost = u64::from(entry.tokens.max(1)) * TAG_SCALE / u64::from(entry.share.max(1));
        self.finish_times.insert(entry.workspace.to_owned(), tag + cost);
        self.waiting.insert((tag, entry.ticket));
    }

    fn pop(&mut self) -> Option<u64> {
        let (tag, ticket) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(tag);
        if self.waiting.is_empty() {
            let now = self.virtual_time;
            self.finish_times.retain(|_, finish_time| *finish_time > now);
        }
        Some(ticket)
    }
}
