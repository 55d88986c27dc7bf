//! Checks of settings: every problem at once, each with line and remedy.

use std::fmt;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use serde_json::Value;

use crate::settings::locate::deepest;
use crate::settings::locate::line_of;
use crate::settings::schema::FIELDS;
use crate::settings::schema::Field;
use crate::settings::schema::address;
use crate::suggest::nearest;

/// Permission bits of group and others.
const NOT_OWNER_MODE: u32 = 0o077;

/// Deepest nesting that is read, more than any settings have.
const DEPTH_LIMIT: usize = 16;

/// A problem of settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line in the file, from 1.
    pub line: usize,
    /// Dotted path of the field, empty when the text can't be read at all.
    pub field: String,
    /// What is wrong and what to do.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field.as_str() {
            "" => write!(out, "{}: {}", self.line, self.remedy),
            field => write!(out, "{}: {field}: {}", self.line, self.remedy),
        }
    }
}

/// All problems of a text, in the order of its lines.
pub fn check(text: &str) -> Vec<Problem> {
    // The parser recurses, so that deep nesting would end the process.
    if deepest(text) > DEPTH_LIMIT {
        let remedy = format!("nested deeper than {DEPTH_LIMIT} brackets; mend the text");
        return vec![Problem { line: 1, field: String::new(), remedy }];
    }
    let value: Value = match json5::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            let line = error.position().map_or(1, |it| it.line + 1);
            let remedy = format!("not JSON with comments ({error}); mend the text there");
            return vec![Problem { line, field: String::new(), remedy }];
        }
    };
    let mut found = Found { text, problems: Vec::new() };
    found.unknown_fields(&value, "");
    FIELDS.iter().for_each(|field| found.field(&value, field));
    if found.problems.is_empty() {
        found.combinations(&value);
    }
    found.problems.sort_by(|one, other| (one.line, &one.field).cmp(&(other.line, &other.field)));
    found.problems
}

struct Found<'a> {
    text: &'a str,
    problems: Vec<Problem>,
}

impl Found<'_> {
    fn add(&mut self, field: &str, remedy: impl Into<String>) {
        let line = line_of(self.text, field);
        self.problems.push(Problem { line, field: field.to_owned(), remedy: remedy.into() });
    }

    fn unknown_fields(&mut self, value: &Value, section: &str) {
        let Some(members) = value.as_object() else {
            if section.is_empty() {
                self.add("", "give an object in braces");
            } else {
                self.add(section, "give a section in braces");
            }
            return;
        };
        for (name, member) in members {
            let path = if section.is_empty() { name.clone() } else { format!("{section}.{name}") };
            let below = format!("{path}.");
            if FIELDS.iter().any(|it| it.path.starts_with(&below)) {
                self.unknown_fields(member, &path);
            } else if !FIELDS.iter().any(|it| it.path == path) {
                let known = FIELDS.iter().map(|it| it.path);
                match nearest(&path, known) {
                    Some(near) => self.add(&path, format!("unknown field; did you mean {near}?")),
                    None => self.add(&path, "unknown field; remove it"),
                }
            }
        }
    }

    fn field(&mut self, value: &Value, field: &Field) {
        match (get(value, field.path), field.required) {
            (Some(given), _) => {
                if let Some(remedy) = field.form.remedy(given) {
                    self.add(field.path, remedy);
                }
            }
            (None, true) => self.add(field.path, "is missing; give it"),
            (None, false) => {}
        }
    }

    fn combinations(&mut self, value: &Value) {
        self.addresses(value);
        let number = |path| get(value, path).and_then(Value::as_u64);
        if let (Some(connections), Some(requests)) =
            (number("limits.connections"), number("limits.open_requests"))
            && connections < requests
        {
            let remedy = "give at least as many connections as limits.open_requests";
            self.add("limits.connections", remedy);
        }
        let path = get(value, "access.peer_secret_file").and_then(Value::as_str);
        if let Some(remedy) = path.and_then(|it| secret_remedy(Path::new(it))) {
            self.add("access.peer_secret_file", remedy);
        }
    }

    fn addresses(&mut self, value: &Value) {
        let paths = ["listen.callers", "listen.operators", "listen.peers", "platform.address"];
        let text = |path| get(value, path).and_then(Value::as_str);
        let given: Vec<_> = paths
            .iter()
            .filter_map(|path| Some((*path, address(text(path)?)?)))
            .filter(|(_, address)| address.port() != 0)
            .collect();
        for (nth, (path, this)) in given.iter().enumerate() {
            let clash = given[..nth].iter().find(|(_, other)| {
                let any = this.ip().is_unspecified() || other.ip().is_unspecified();
                this.port() == other.port() && (any || this.ip() == other.ip())
            });
            if let Some((other, _)) = clash {
                self.add(path, format!("has the address of {other}; give each its own port"));
            }
        }
    }
}

fn secret_remedy(path: &Path) -> Option<String> {
    let shown = path.display();
    let metadata = match fs::metadata(path) {
        Ok(metadata) => metadata,
        Err(error) => return Some(format!("{shown}: {error}; write the peers' secret there")),
    };
    if metadata.permissions().mode() & NOT_OWNER_MODE != 0 {
        return Some(format!("others can read {shown}; run chmod 600 {shown}"));
    }
    match fs::read_to_string(path) {
        Ok(secret) if !secret.trim().is_empty() => None,
        Ok(_) => Some(format!("{shown} is empty; write the secret that all daemons share")),
        Err(error) => Some(format!("{shown}: {error}; make it readable for this user")),
    }
}

fn get<'a>(value: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(value, |value, name| value.get(name))
}
