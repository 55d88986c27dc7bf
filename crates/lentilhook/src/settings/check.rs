//! Validation of a settings file. Reports all problems at once, each with its line and a remedy.

use std::fmt;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use serde_json::Value;

use crate::settings::locate::line_of;
use crate::settings::locate::max_nesting;
use crate::settings::schema::FIELDS;
use crate::settings::schema::Field;
use crate::settings::schema::address;
use crate::suggest::nearest;

/// Permission bits of group and others.
const GROUP_AND_OTHERS_MODE: u32 = 0o077;

/// Maximum nesting of brackets that is parsed, more than any valid settings have.
const MAX_NESTING: usize = 16;

/// A problem found in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Dotted path of the field, or empty for a problem of the whole file.
    pub field: String,
    /// What is wrong and how to fix it.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field.as_str() {
            "" => write!(f, "{}: {}", self.line, self.remedy),
            field => write!(f, "{}: {field}: {}", self.line, self.remedy),
        }
    }
}

/// Returns all problems of the text, in line order.
pub fn check(text: &str) -> Vec<Problem> {
    // The parser is recursive, so deep nesting would overflow the stack and abort the process.
    if max_nesting(text) > MAX_NESTING {
        let remedy =
            format!("brackets are nested more than {MAX_NESTING} levels deep; flatten the text");
        return vec![Problem { line: 1, field: String::new(), remedy }];
    }
    let value: Value = match json5::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            let line = error.position().map_or(1, |it| it.line + 1);
            let remedy = format!("not valid JSON5 ({error}); fix the syntax there");
            return vec![Problem { line, field: String::new(), remedy }];
        }
    };
    let mut checker = Checker { text, problems: Vec::new() };
    checker.check_names(&value, "");
    FIELDS.iter().for_each(|field| checker.check_field(&value, field));
    if checker.problems.is_empty() {
        checker.check_combinations(&value);
    }
    checker
        .problems
        .sort_by(|left, right| (left.line, &left.field).cmp(&(right.line, &right.field)));
    checker.problems
}

/// Collects the problems of a parsed settings file.
struct Checker<'a> {
    text: &'a str,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn add(&mut self, field: &str, remedy: impl Into<String>) {
        let line = line_of(self.text, field);
        self.problems.push(Problem { line, field: field.to_owned(), remedy: remedy.into() });
    }

    /// Checks that each section is an object and contains only known fields.
    fn check_names(&mut self, value: &Value, section: &str) {
        let Some(members) = value.as_object() else {
            if section.is_empty() {
                self.add("", "is not an object; use an object in braces");
            } else {
                self.add(section, "is not a section; use an object in braces");
            }
            return;
        };
        for (name, member) in members {
            let path = if section.is_empty() { name.clone() } else { format!("{section}.{name}") };
            let prefix = format!("{path}.");
            if FIELDS.iter().any(|it| it.path.starts_with(&prefix)) {
                self.check_names(member, &path);
            } else if !FIELDS.iter().any(|it| it.path == path) {
                let known = FIELDS.iter().map(|it| it.path);
                match nearest(&path, known) {
                    Some(near) => self.add(&path, format!("unknown field; did you mean {near}?")),
                    None => self.add(&path, "unknown field; remove it"),
                }
            }
        }
    }

    /// Checks that a required field is present and that the value meets its constraint.
    fn check_field(&mut self, value: &Value, field: &Field) {
        match (get(value, field.path), field.required) {
            (Some(member), _) => {
                if let Some(remedy) = field.constraint.remedy(member) {
                    self.add(field.path, remedy);
                }
            }
            (None, true) => self.add(field.path, "required field is missing; add it"),
            (None, false) => {}
        }
    }

    /// Checks rules that involve several fields or the peer secret file.
    fn check_combinations(&mut self, value: &Value) {
        self.check_addresses(value);
        let number = |path| get(value, path).and_then(Value::as_u64);
        if let (Some(connections), Some(requests)) =
            (number("limits.connections"), number("limits.open_requests"))
            && connections < requests
        {
            let remedy = "must be at least limits.open_requests; raise it";
            self.add("limits.connections", remedy);
        }
        let path = get(value, "access.peer_secret_file").and_then(Value::as_str);
        if let Some(remedy) = path.and_then(|it| secret_file_remedy(Path::new(it))) {
            self.add("access.peer_secret_file", remedy);
        }
    }

    /// Checks that no two addresses are the same.
    fn check_addresses(&mut self, value: &Value) {
        let paths = ["listen.callers", "listen.operators", "listen.peers", "platform.address"];
        let text = |path| get(value, path).and_then(Value::as_str);
        let addresses: Vec<_> = paths
            .iter()
            .filter_map(|path| Some((*path, address(text(path)?)?)))
            .filter(|(_, address)| address.port() != 0)
            .collect();
        for (index, (path, address)) in addresses.iter().enumerate() {
            let conflict = addresses[..index].iter().find(|(_, other)| {
                let any_interface = address.ip().is_unspecified() || other.ip().is_unspecified();
                address.port() == other.port() && (any_interface || address.ip() == other.ip())
            });
            if let Some((other, _)) = conflict {
                self.add(path, format!("same address as {other}; use a different port"));
            }
        }
    }
}

/// Returns how to fix the peer secret file, or `None` if it is valid.
fn secret_file_remedy(path: &Path) -> Option<String> {
    let file = path.display();
    let metadata = match fs::metadata(path) {
        Ok(metadata) => metadata,
        Err(error) => return Some(format!("{file}: {error}; create it with the peer secret")),
    };
    if metadata.permissions().mode() & GROUP_AND_OTHERS_MODE != 0 {
        return Some(format!("{file} is accessible to group or others; run chmod 600 {file}"));
    }
    match fs::read_to_string(path) {
        Ok(secret) if !secret.trim().is_empty() => None,
        Ok(_) => Some(format!("{file} is empty; write the secret shared by all daemons to it")),
        Err(error) => Some(format!("{file}: {error}; make it readable for this user")),
    }
}

/// Returns the member at a dotted path.
fn get<'a>(value: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(value, |value, name| value.get(name))
}
