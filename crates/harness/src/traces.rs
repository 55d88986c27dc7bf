//! Traces for both deployments, made from a seed.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use replay::trace::Call;
use replay::trace::Chat;
use replay::trace::Fault;
use replay::trace::Line;
use replay::trace::Outcome;
use replay::trace::Text;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::deployment::ASSISTANT;
use crate::deployment::DAEMONS;
use crate::deployment::Deployment;

/// Names of the traces.
pub const NAMES: [&str; 7] = ["ordinary", "burst", "zone", "waves", "outage", "crash", "heavy"];
/// Length of a trace.
const LENGTH_MS: u64 = 22_000;
/// Arrivals a second on an ordinary day: drafts, questions and calls.
const DRAFTS_PER_S: f64 = 6.0;
const QUESTIONS_PER_S: f64 = 24.0;
const CALLS_PER_S: f64 = 3.0;
/// Tokens of a draft and of a question's answer.
const DRAFT_TOKENS: u32 = 200;
const QUESTION_TOKENS: u32 = 24;
/// Bytes that all prompts of a service begin with.
const SYSTEM_BYTES: usize = 192;
/// Text that crashes an engine.
const POISON: &str = "poison";

/// Sizes of prompts in a deployment.
struct Sizes {
    /// Long texts that drafts are on, and their length in bytes.
    histories: usize,
    history_bytes: usize,
    /// Share of questions that are on such a text too.
    questions_on_history: f64,
    /// Length of what other questions are on.
    handbook_bytes: usize,
}

/// Makes the trace with this name.
pub fn generate(name: &str, deployment: &Deployment, seed: u64) -> Vec<Line> {
    let mut maker = Maker {
        random: SmallRng::seed_from_u64(seed ^ xxh3_64(deployment.name.as_bytes())),
        deployment: *deployment,
        number: 0,
        lines: Vec::new(),
    };
    let (rate, burst) = match name {
        "burst" => (0.7, 3.0),
        "zone" | "waves" => (0.7, 0.7),
        "outage" | "crash" | "heavy" => (0.5, 0.5),
        _ => (1.0, 1.0),
    };
    maker.arrivals(0, LENGTH_MS, rate, burst);
    maker.special(name);
    maker.outcomes(name);
    maker.lines.sort_by_key(at_ms);
    let head = Line::Trace {
        name: format!("{}-{name}-{seed}", deployment.name),
        deployment: deployment.name.to_owned(),
        seed,
    };
    maker.lines.insert(0, head);
    maker.lines
}

struct Maker {
    random: SmallRng,
    deployment: Deployment,
    number: u64,
    lines: Vec<Line>,
}

impl Maker {
    /// Poisson arrivals; the middle third comes at the burst's rate.
    fn arrivals(&mut self, from_ms: u64, to_ms: u64, rate: f64, burst: f64) {
        let all = DRAFTS_PER_S + QUESTIONS_PER_S + CALLS_PER_S;
        let mut at = from_ms as f64;
        loop {
            let third = (to_ms - from_ms) as f64 / 3.0;
            let is_middle = at > from_ms as f64 + third && at < from_ms as f64 + 1.5 * third;
            let factor = if is_middle { burst } else { rate };
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            at += -uniform.ln() * 1000.0 / (all * factor);
            if at >= to_ms as f64 {
                return;
            }
            let kind = self.random.random_range(0.0..all);
            let at_ms = at as u64;
            if kind < DRAFTS_PER_S {
                self.draft(at_ms, None);
            } else if kind < DRAFTS_PER_S + QUESTIONS_PER_S {
                self.question(at_ms, None);
            } else {
                self.call(at_ms);
            }
        }
    }

    fn draft(&mut self, at_ms: u64, workspace: Option<&str>) {
        let sizes = sizes(&self.deployment);
        // Recent work is asked for more often.
        let skew: f64 = self.random.random_range(0.0..1.0);
        let history = (skew * skew * sizes.histories as f64) as usize;
        let key = Some(format!("draft-{}", self.number));
        let parts = vec![text(&format!("history-{history}"), sizes.history_bytes)];
        self.chat(at_ms, workspace, parts, DRAFT_TOKENS, key);
    }

    fn question(&mut self, at_ms: u64, workspace: Option<&str>) {
        let sizes = sizes(&self.deployment);
        let part = if self.random.random_bool(sizes.questions_on_history) {
            let history = self.random.random_range(0..sizes.histories);
            text(&format!("history-{history}"), sizes.history_bytes)
        } else {
            let handbook = self.random.random_range(0..5);
            text(&format!("handbook-{handbook}"), sizes.handbook_bytes)
        };
        self.chat(at_ms, workspace, vec![part], QUESTION_TOKENS, None);
    }

    fn chat(
        &mut self,
        at_ms: u64,
        workspace: Option<&str>,
        parts: Vec<Text>,
        max_tokens: u32,
        key: Option<String>,
    ) {
        self.number += 1;
        let mut prompt = vec![text("system", SYSTEM_BYTES)];
        prompt.extend(parts);
        prompt.push(text(&format!("ask-{}", self.number), 200));
        let workspace = workspace.map_or_else(|| self.workspace(), str::to_owned);
        let mut chat = Chat {
            at_ms,
            workspace,
            service: ASSISTANT.to_owned(),
            daemon: self.random.random_range(0..DAEMONS),
            prompt,
            max_tokens,
            key,
            wait_s: None,
            answer_hash: None,
            crashes: false,
        };
        let answer = standins::text::answer(&chat.prompt(), max_tokens);
        chat.answer_hash = Some(xxh3_64(answer.as_bytes()));
        self.lines.push(Line::Chat(chat));
    }

    fn call(&mut self, at_ms: u64) {
        self.number += 1;
        let writes = self.random.random_bool(0.5);
        let key = format!("call-{}", self.number);
        let call = Call {
            at_ms,
            workspace: self.workspace(),
            service: self.deployment.plain.to_owned(),
            daemon: self.random.random_range(0..DAEMONS),
            method: if writes { "POST" } else { "GET" }.to_owned(),
            path: if writes { self.deployment.plain_path } else { "/stock" }.to_owned(),
            key: writes.then(|| key.clone()),
            body: key,
        };
        self.lines.push(Line::Call(call));
    }

    fn workspace(&mut self) -> String {
        // The first two are the large ones.
        let at = match self.random.random_range(0..10) {
            0..=3 => 0,
            4..=6 => 1,
            other => other - 5,
        };
        self.deployment.workspaces[at].0.to_owned()
    }

    fn special(&mut self, name: &str) {
        let deployment = self.deployment;
        match name {
            "zone" => {
                let vms = deployment.engines_of(0);
                self.fault(8_000, Fault::Reclaim { vms, notice_ms: 3_000 });
            }
            "waves" => {
                // What is reclaimed does not come back: starts are refused.
                for (zone, at_ms) in [(0, 6_000), (1, 12_000)] {
                    let vms = deployment.engines_of(zone);
                    self.fault(at_ms, Fault::Reclaim { vms, notice_ms: 3_000 });
                }
            }
            "outage" => {
                for (at_ms, down) in [(6_000, true), (14_000, false)] {
                    let switches = json!({ "down": down });
                    self.fault(at_ms, Fault::Switch { vm: "platform".to_owned(), switches });
                }
            }
            "crash" => {
                let switches = json!({ "crash_on": text(POISON, 64).expand() });
                self.fault(0, Fault::Switch { vm: "engines".to_owned(), switches });
                for at_ms in [4_000, 7_000, 10_000, 13_000] {
                    self.poison(at_ms);
                }
            }
            "heavy" => {
                let heavy = deployment.workspaces[0].0;
                for number in 0..250 {
                    self.draft(5_000 + number * 8, Some(heavy));
                }
            }
            _ => {}
        }
    }

    fn poison(&mut self, at_ms: u64) {
        self.lines.push(Line::Chat(Chat {
            at_ms,
            workspace: self.deployment.workspaces[2].0.to_owned(),
            service: ASSISTANT.to_owned(),
            daemon: self.random.random_range(0..DAEMONS),
            prompt: vec![text(POISON, 64)],
            max_tokens: QUESTION_TOKENS,
            key: None,
            wait_s: None,
            answer_hash: None,
            crashes: true,
        }));
    }

    fn fault(&mut self, at_ms: u64, fault: Fault) {
        self.lines.push(Line::Fault { at_ms, fault });
    }

    fn outcomes(&mut self, name: &str) {
        let mut outcomes = vec![
            Outcome::Answered { least_share: 1.0 },
            Outcome::RefusedAtOnce { most_ms: 1_000 },
            Outcome::AtMostOnce,
            Outcome::NotRunIsTrue,
        ];
        match name {
            "ordinary" => outcomes.extend([
                Outcome::Refused { most_share: 0.0 },
                Outcome::WithinTarget { class: "all".to_owned(), least_share: 0.95 },
            ]),
            "zone" | "waves" => outcomes.push(Outcome::OfferedToUseful { most: 1.3 }),
            "outage" => outcomes.push(Outcome::Refused { most_share: 0.0 }),
            "crash" => outcomes.push(Outcome::Crashed { most: 3 }),
            "heavy" => {
                let small = self.deployment.workspaces[4].0.to_owned();
                outcomes.push(Outcome::WorkspaceAnswered { workspace: small, least_share: 1.0 });
            }
            _ => {}
        }
        self.lines.extend(outcomes.into_iter().map(Line::Outcome));
    }
}

fn sizes(deployment: &Deployment) -> Sizes {
    match deployment.name {
        "brazos" => Sizes {
            histories: 30,
            history_bytes: 24_000,
            questions_on_history: 0.5,
            handbook_bytes: 1_000,
        },
        _ => Sizes {
            histories: 40,
            history_bytes: 12_000,
            questions_on_history: 0.1,
            handbook_bytes: 2_000,
        },
    }
}

fn text(name: &str, bytes: usize) -> Text {
    Text { name: name.to_owned(), bytes }
}

fn at_ms(line: &Line) -> u64 {
    match line {
        Line::Trace { .. } => 0,
        Line::Chat(chat) => chat.at_ms,
        Line::Call(call) => call.at_ms,
        Line::Fault { at_ms, .. } => *at_ms,
        Line::Outcome(_) => u64::MAX,
    }
}
