//! Generates traces for both deployments from a seed.

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

/// Names of the traces that can be generated.
pub const NAMES: [&str; 7] = ["ordinary", "burst", "zone", "waves", "outage", "crash", "heavy"];
/// Duration of a trace.
const DURATION_MS: u64 = 22_000;
/// Arrivals per second on an ordinary day: drafts, questions and plain calls.
const DRAFTS_PER_S: f64 = 6.0;
const QUESTIONS_PER_S: f64 = 24.0;
const CALLS_PER_S: f64 = 3.0;
/// Generated tokens of a draft and of the answer to a question.
const DRAFT_TOKENS: u32 = 200;
const QUESTION_TOKENS: u32 = 24;
/// Size of the system prompt, which all prompts of a service share.
const SYSTEM_BYTES: usize = 192;
/// Name of the text that crashes an engine.
const POISON: &str = "poison";

/// Prompt sizes of a deployment.
struct Sizes {
    /// Number of long texts that drafts are based on, and their size.
    histories: usize,
    history_bytes: usize,
    /// Share of questions that are about such a text too.
    questions_on_history: f64,
    /// Size of the texts that the other questions are about.
    handbook_bytes: usize,
}

/// Generates the trace with this name.
pub fn generate(name: &str, deployment: &Deployment, seed: u64) -> Vec<Line> {
    let mut generator = Generator {
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
    generator.add_arrivals(0, DURATION_MS, rate, burst);
    generator.add_scenario(name);
    generator.add_outcomes(name);
    generator.lines.sort_by_key(at_ms);
    let header = Line::Trace {
        name: format!("{}-{name}-{seed}", deployment.name),
        deployment: deployment.name.to_owned(),
        seed,
    };
    generator.lines.insert(0, header);
    generator.lines
}

struct Generator {
    random: SmallRng,
    deployment: Deployment,
    number: u64,
    lines: Vec<Line>,
}

impl Generator {
    /// Adds Poisson arrivals at the ordinary rate times `rate`, or times `burst`
    /// from one third to one half of the duration.
    fn add_arrivals(&mut self, from_ms: u64, to_ms: u64, rate: f64, burst: f64) {
        let total_per_s = DRAFTS_PER_S + QUESTIONS_PER_S + CALLS_PER_S;
        let mut at = from_ms as f64;
        loop {
            let third = (to_ms - from_ms) as f64 / 3.0;
            let is_burst = at > from_ms as f64 + third && at < from_ms as f64 + 1.5 * third;
            let factor = if is_burst { burst } else { rate };
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            at += -uniform.ln() * 1000.0 / (total_per_s * factor);
            if at >= to_ms as f64 {
                return;
            }
            let kind = self.random.random_range(0.0..total_per_s);
            let at_ms = at as u64;
            if kind < DRAFTS_PER_S {
                self.add_draft(at_ms, None);
            } else if kind < DRAFTS_PER_S + QUESTIONS_PER_S {
                self.add_question(at_ms, None);
            } else {
                self.add_call(at_ms);
            }
        }
    }

    fn add_draft(&mut self, at_ms: u64, workspace: Option<&str>) {
        let sizes = sizes(&self.deployment);
        // Recent texts are requested more often.
        let skew: f64 = self.random.random_range(0.0..1.0);
        let history = (skew * skew * sizes.histories as f64) as usize;
        let key = Some(format!("draft-{}", self.number));
        let parts = vec![text(&format!("history-{history}"), sizes.history_bytes)];
        self.add_chat(at_ms, workspace, parts, DRAFT_TOKENS, key);
    }

    fn add_question(&mut self, at_ms: u64, workspace: Option<&str>) {
        let sizes = sizes(&self.deployment);
        let part = if self.random.random_bool(sizes.questions_on_history) {
            let history = self.random.random_range(0..sizes.histories);
            text(&format!("history-{history}"), sizes.history_bytes)
        } else {
            let handbook = self.random.random_range(0..5);
            text(&format!("handbook-{handbook}"), sizes.handbook_bytes)
        };
        self.add_chat(at_ms, workspace, vec![part], QUESTION_TOKENS, None);
    }

    fn add_chat(
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
        let workspace = workspace.map_or_else(|| self.random_workspace(), str::to_owned);
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

    fn add_call(&mut self, at_ms: u64) {
        self.number += 1;
        let is_write = self.random.random_bool(0.5);
        let key = format!("call-{}", self.number);
        let call = Call {
            at_ms,
            workspace: self.random_workspace(),
            service: self.deployment.plain_service.to_owned(),
            daemon: self.random.random_range(0..DAEMONS),
            method: if is_write { "POST" } else { "GET" }.to_owned(),
            path: if is_write { self.deployment.plain_path } else { "/stock" }.to_owned(),
            key: is_write.then(|| key.clone()),
            body: key,
        };
        self.lines.push(Line::Call(call));
    }

    fn random_workspace(&mut self) -> String {
        // The first two workspaces send most of the requests.
        let index = match self.random.random_range(0..10) {
            0..=3 => 0,
            4..=6 => 1,
            other => other - 5,
        };
        self.deployment.workspaces[index].0.to_owned()
    }

    fn add_scenario(&mut self, name: &str) {
        let deployment = self.deployment;
        match name {
            "zone" => {
                let vms = deployment.engine_names(0);
                self.add_fault(8_000, Fault::Reclaim { vms, notice_ms: 3_000 });
            }
            "waves" => {
                // Reclaimed engines are not replaced: the platform refuses starts.
                for (zone, at_ms) in [(0, 6_000), (1, 12_000)] {
                    let vms = deployment.engine_names(zone);
                    self.add_fault(at_ms, Fault::Reclaim { vms, notice_ms: 3_000 });
                }
            }
            "outage" => {
                for (at_ms, down) in [(6_000, true), (14_000, false)] {
                    let switches = json!({ "down": down });
                    self.add_fault(at_ms, Fault::Switch { vm: "platform".to_owned(), switches });
                }
            }
            "crash" => {
                let switches = json!({ "crash_on": text(POISON, 64).expand() });
                self.add_fault(0, Fault::Switch { vm: "engines".to_owned(), switches });
                for at_ms in [4_000, 7_000, 10_000, 13_000] {
                    self.add_poison(at_ms);
                }
            }
            "heavy" => {
                let heavy = deployment.workspaces[0].0;
                for number in 0..250 {
                    self.add_draft(5_000 + number * 8, Some(heavy));
                }
            }
            _ => {}
        }
    }

    fn add_poison(&mut self, at_ms: u64) {
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

    fn add_fault(&mut self, at_ms: u64, fault: Fault) {
        self.lines.push(Line::Fault { at_ms, fault });
    }

    fn add_outcomes(&mut self, name: &str) {
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
