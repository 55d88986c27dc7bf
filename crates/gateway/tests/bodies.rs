//! Checks that requests with arbitrary content are parsed or rejected without a panic.

use arbtest::arbtest;
use gateway::parse::parse;
use job::problem::Outcome;
use web::request::Field;
use web::request::Request;

/// Seeds. They are shifted into the upper half, since the lower half is the size of the input in
/// bytes.
const SEEDS: std::ops::Range<u64> = 0..300;
const VALID: &str = r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":3}"#;

#[test]
fn any_request_is_parsed_or_rejected() {
    for seed in SEEDS {
        arbtest(|u| {
            let mut body = VALID.as_bytes().to_vec();
            let position = u.choose_index(body.len())?;
            match u.int_in_range(0..=3)? {
                0 => body[position] = u.arbitrary()?,
                1 => body.truncate(position),
                2 => body.extend_from_within(position..),
                _ => body = u.arbitrary()?,
            }
            let path = match u.int_in_range(0..=2)? {
                0 => "/v1/chat/completions".to_owned(),
                1 => "/services/m/v1/chat/completions".to_owned(),
                _ => u.arbitrary()?,
            };
            let fields = ["idempotency-key", "last-event-id"].map(|name| {
                let value: String = u.arbitrary().unwrap_or_default();
                Field { name: name.to_owned(), value }
            });
            let method = (*u.choose(&["POST", "GET", ""])?).to_owned();
            check(&Request { method, path, query: u.arbitrary()?, fields: fields.to_vec(), body });
            Ok(())
        })
        .seed(seed << 32 | 512);
    }
}

#[test]
fn deep_nesting_is_parsed_or_rejected() {
    for open in ["[", "{\"a\":", "{\"messages\":["] {
        let body = open.repeat(100_000).into_bytes();
        let path = "/v1/chat/completions".to_owned();

        check(&Request {
            method: "POST".to_owned(),
            path,
            query: String::new(),
            fields: Vec::new(),
            body,
        });
    }
}

fn check(request: &Request) {
    if let Err(problem) = parse(request) {
        assert_eq!(problem.outcome, Outcome::NotRun);
        assert!((400..500).contains(&problem.status) && !problem.detail.is_empty());
    }
}
