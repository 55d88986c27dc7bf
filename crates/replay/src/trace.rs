//! Trace format: one JSON object per line.

use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::error::Error;
use crate::error::UnreadableSnafu;

/// A line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Line {
    /// Header that describes the trace.
    Trace {
        /// Name of the trace.
        name: String,
        /// Deployment that the trace was generated for.
        deployment: String,
        /// Seed of the generator.
        seed: u64,
    },
    /// Request for a completion.
    Chat(Chat),
    /// Call of a plain service.
    Call(Call),
    /// Fault to inject.
    Fault {
        /// Milliseconds from the start of the replay.
        at_ms: u64,
        /// Fault to inject at that time.
        fault: Fault,
    },
    /// Expected outcome of the replay.
    Outcome(Outcome),
}

/// Request for a completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chat {
    /// Milliseconds from the start of the replay.
    pub at_ms: u64,
    /// Workspace of the caller.
    pub workspace: String,
    /// Service that the request is sent to.
    pub service: String,
    /// Index of the daemon that receives the request, modulo the number of daemons.
    pub daemon: usize,
    /// Parts of the prompt, concatenated in this order.
    pub prompt: Vec<Text>,
    /// Requested number of tokens.
    pub max_tokens: u32,
    /// Value of the `Idempotency-Key` header.
    #[serde(default)]
    pub key: Option<String>,
    /// Seconds that the caller is willing to wait for the request to start, sent as `Prefer: wait`.
    #[serde(default)]
    pub wait_s: Option<u32>,
    /// XXH3 hash of the complete text, if it is known in advance.
    #[serde(default)]
    pub answer_hash: Option<u64>,
    /// Whether the request crashes endpoints, so that the caller expects a final rejection.
    #[serde(default)]
    pub crashes: bool,
}

/// Text that is generated from a name, which keeps traces small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Text {
    /// Name that seeds the text.
    pub name: String,
    /// Length of the text in bytes.
    pub bytes: usize,
}

/// Call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Milliseconds from the start of the replay.
    pub at_ms: u64,
    /// Workspace of the caller.
    pub workspace: String,
    /// Service that is called.
    pub service: String,
    /// Index of the daemon that receives the call, modulo the number of daemons.
    pub daemon: usize,
    /// HTTP method.
    pub method: String,
    /// Path relative to the service.
    pub path: String,
    /// Value of the `Idempotency-Key` header.
    #[serde(default)]
    pub key: Option<String>,
    /// Request body.
    #[serde(default)]
    pub body: String,
}

/// Fault that is injected into the running processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Issues reclaim notices and kills the VMs when the notice period ends.
    Reclaim {
        /// Identifiers of the VMs.
        vms: Vec<String>,
        /// Length of the notice period in milliseconds.
        notice_ms: u64,
    },
    /// Kills a VM without notice.
    Kill {
        /// Identifier of the VM.
        vm: String,
    },
    /// Sets the fault switches of a fake.
    Switch {
        /// Identifier of the VM, `platform` for the platform or `engines` for all engines.
        vm: String,
        /// Switches as a JSON object.
        switches: Value,
    },
}

/// Expected outcome of a replay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case", deny_unknown_fields)]
pub enum Outcome {
    /// Completions that were not refused are answered completely.
    Answered {
        /// Minimum share of the completions that were not refused.
        least_share: f64,
    },
    /// Only some completions are refused with `not_run`.
    Refused {
        /// Maximum share of all completions.
        most_share: f64,
    },
    /// Refusals arrive promptly and carry `Retry-After`.
    RefusedAtOnce {
        /// Maximum time to the refusal, in milliseconds.
        most_ms: u64,
    },
    /// Completions are answered completely, with the first token within the target.
    WithinTarget {
        /// Class: `draft`, `question` or `all`.
        class: String,
        /// Minimum share of the completions of the class that were not refused.
        least_share: f64,
    },
    /// Plain services execute no idempotency key more than once.
    AtMostOnce,
    /// Calls reported as `not_run` appear in no endpoint's record.
    NotRunIsTrue,
    /// Ratio of tokens generated by engines to tokens delivered to callers.
    OfferedToUseful {
        /// Maximum ratio.
        most: f64,
    },
    /// Number of endpoints crashed by requests.
    Crashed {
        /// Maximum number of endpoints.
        most: usize,
    },
    /// Completions of one workspace are answered completely.
    WorkspaceAnswered {
        /// Workspace.
        workspace: String,
        /// Minimum share of the workspace's completions.
        least_share: f64,
    },
}

/// Trace, with its lines grouped by kind.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Name of the trace.
    pub name: String,
    /// Deployment that the trace was generated for.
    pub deployment: String,
    /// Requests for completions.
    pub chats: Vec<Chat>,
    /// Calls of plain services.
    pub calls: Vec<Call>,
    /// Faults, each with its time in milliseconds from the start of the replay.
    pub faults: Vec<(u64, Fault)>,
    /// Expected outcomes.
    pub outcomes: Vec<Outcome>,
}

impl Trace {
    /// Reads a trace from a file.
    ///
    /// Fails if the file cannot be read or a line does not parse.
    pub fn read(path: &Path) -> Result<Trace, Error> {
        let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let mut trace = Trace::default();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let line = serde_json::from_str(line).map_err(|it| Error::Line {
                path: path.to_owned(),
                line: index + 1,
                detail: it.to_string(),
            })?;
            trace.add(line);
        }
        Ok(trace)
    }

    /// Adds a line to the trace.
    pub fn add(&mut self, line: Line) {
        match line {
            Line::Trace { name, deployment, .. } => {
                self.name = name;
                self.deployment = deployment;
            }
            Line::Chat(chat) => self.chats.push(chat),
            Line::Call(call) => self.calls.push(call),
            Line::Fault { at_ms, fault } => self.faults.push((at_ms, fault)),
            Line::Outcome(outcome) => self.outcomes.push(outcome),
        }
    }
}

impl Chat {
    /// Returns the expanded prompt.
    pub fn prompt(&self) -> String {
        self.prompt.iter().map(Text::expand).collect()
    }
}

impl Text {
    /// Returns the text, a sequence of hexadecimal words derived from the name.
    pub fn expand(&self) -> String {
        let mut text = String::with_capacity(self.bytes + 17);
        let mut seed = 0;
        while text.len() < self.bytes {
            let word = xxh3_64_with_seed(self.name.as_bytes(), seed);
            text.push_str(&format!("{word:015x} "));
            seed += 1;
        }
        text.truncate(self.bytes);
        text
    }
}
