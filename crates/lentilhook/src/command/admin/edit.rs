//! Edits of object fields given on the command line.

use std::fs;

use config::catalog::token_sha256;
use serde_json::Value;
use serde_json::json;

use crate::command::Failure;
use crate::command::admin::kind::Kind;
use crate::suggest::nearest;

/// Workspace field with the SHA-256 hashes of its tokens.
const TOKEN_HASHES_FIELD: &str = "token_sha256";
/// Pseudo-field that adds the hash of the token in a file.
const TOKEN_FILE_FIELD: &str = "token-file";

/// Returns the object with the assignments of the form `FIELD=VALUE` applied.
///
/// Fails on an unknown field, on a value that can't be parsed and on an unreadable token file.
pub fn apply(kind: Kind, mut object: Value, assignments: &[String]) -> Result<Value, Failure> {
    for assignment in assignments {
        let Some((name, text)) = assignment.split_once('=') else {
            return Err(Failure::usage(format!(
                "{assignment:?} is not an assignment; use FIELD=VALUE"
            )));
        };
        if name == TOKEN_FILE_FIELD && kind == Kind::Workspace {
            add_token(&mut object, text)?;
            continue;
        }
        let members = object.as_object().into_iter().flatten();
        let known: Vec<String> = members.map(|(name, _)| name.clone()).collect();
        let Some(current) = object.get(name) else {
            return Err(unknown_field(kind, name, &known));
        };
        let value = parse_like(current, text).ok_or_else(|| {
            Failure::usage(format!(
                "{name}={text} is not a valid value; the current value is {current}"
            ))
        })?;
        object[name] = value;
    }
    Ok(object)
}

fn add_token(object: &mut Value, path: &str) -> Result<(), Failure> {
    let token = fs::read_to_string(path).map_err(|it| Failure::usage(format!("{path}: {it}")))?;
    if let Some(hashes) = object[TOKEN_HASHES_FIELD].as_array_mut() {
        hashes.push(json!(token_sha256(token.trim())));
    }
    Ok(())
}

fn unknown_field(kind: Kind, name: &str, known: &[String]) -> Failure {
    let kind = kind.as_str();
    match nearest(name, known.iter().map(String::as_str)) {
        Some(near) => Failure::usage(format!("a {kind} has no field {name}; did you mean {near}?")),
        None => Failure::usage(format!(
            "a {kind} has no field {name}; its fields are {}",
            known.join(", ")
        )),
    }
}

/// Parses the text as a JSON value of the same type as the current value.
fn parse_like(current: &Value, text: &str) -> Option<Value> {
    match current {
        Value::Bool(_) => text.parse::<bool>().ok().map(Value::from),
        Value::Number(number) if number.is_f64() => text.parse::<f64>().ok().map(Value::from),
        Value::Number(_) => text.parse::<u64>().ok().map(Value::from),
        Value::Array(_) => {
            let items = text.split(',').filter(|it| !it.is_empty());
            Some(items.map(Value::from).collect())
        }
        _ => Some(Value::from(text)),
    }
}
