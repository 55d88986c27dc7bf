//! Fields of objects set on the command line.

use std::fs;

use config::catalog::token_sha256;
use serde_json::Value;
use serde_json::json;

use crate::command::Failure;
use crate::command::admin::kind::Kind;
use crate::suggest::nearest;

/// Field of a workspace that holds the sums of its tokens.
const TOKEN_SUMS: &str = "token_sha256";
/// Word for a file with a token.
const TOKEN_FILE: &str = "token-file";

/// The object with the fields set that are given as `FIELD=VALUE`.
pub fn apply(kind: Kind, mut object: Value, fields: &[String]) -> Result<Value, Failure> {
    for field in fields {
        let Some((name, text)) = field.split_once('=') else {
            return Err(Failure::usage(format!("{field:?} sets nothing; write FIELD=VALUE")));
        };
        if name == TOKEN_FILE && kind == Kind::Workspace {
            add_token(&mut object, text)?;
            continue;
        }
        let members = object.as_object().into_iter().flatten();
        let known: Vec<String> = members.map(|(name, _)| name.clone()).collect();
        let Some(current) = object.get(name) else {
            return Err(unknown(kind, name, &known));
        };
        let value = parse(current, text).ok_or_else(|| {
            Failure::usage(format!("{name}={text} doesn't fit; it is now {current}"))
        })?;
        object[name] = value;
    }
    Ok(object)
}

fn add_token(object: &mut Value, path: &str) -> Result<(), Failure> {
    let token = fs::read_to_string(path).map_err(|it| Failure::usage(format!("{path}: {it}")))?;
    if let Some(sums) = object[TOKEN_SUMS].as_array_mut() {
        sums.push(json!(token_sha256(token.trim())));
    }
    Ok(())
}

fn unknown(kind: Kind, name: &str, known: &[String]) -> Failure {
    let kind = kind.word();
    match nearest(name, known.iter().map(String::as_str)) {
        Some(near) => Failure::usage(format!("a {kind} has no {name}; did you mean {near}?")),
        None => Failure::usage(format!("a {kind} has no {name}; it has {}", known.join(", "))),
    }
}

/// A text in the form of the value that it replaces.
fn parse(current: &Value, text: &str) -> Option<Value> {
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
