//! Answers that are looked up later, through any daemon.

use std::time::Duration;

use harness::caller::Draft;
use harness::cluster::MODEL_SERVICE;
use harness::cluster::PLAIN_SERVICE;
use harness::cluster::WORKSPACE_TOKEN;
use harness::cluster::wait_for;
use serde_json::Value;
use serde_json::json;

use crate::start;

const DRAFT: &str = r#"{"messages":[{"role":"user","content":"Draft."}],"max_tokens":40}"#;

#[test]
fn an_answer_is_looked_up_through_any_daemon() {
    let cluster = start(3);
    let addresses: Vec<&str> = cluster.daemons.iter().map(|it| it.callers.as_str()).collect();
    let completions = format!("/services/{MODEL_SERVICE}/v1/chat/completions");
    let renewals = format!("/services/{PLAIN_SERVICE}/renewals");

    for number in 0..6 {
        let key = format!("later {number}/ü");
        let (path, body) = match number % 2 {
            0 => (&completions, DRAFT),
            _ => (&renewals, "licence 9"),
        };
        let accepted = post(addresses[number % 3], path, Some(&key), body);
        assert_eq!(accepted.status, 202, "{}", accepted.body);
        let location = accepted.location;

        for address in &addresses {
            wait_for("the answer", || get(address, &location).status == 200).unwrap();
        }

        let answers: Vec<Value> = addresses.iter().map(|it| get(it, &location).body).collect();
        assert!(answers.iter().all(|it| *it == answers[0]), "{answers:?}");
        if number % 2 == 0 {
            let direct = Draft::new(addresses[0], "Draft.", 40).stream(|_| {}).unwrap();
            assert_eq!(answers[0]["choices"][0]["message"]["content"], direct.text());
        }
    }
    let record: Value =
        harness::cluster::get(&cluster.services[0].address, "/fake/record").unwrap();
    assert_eq!(record.as_array().map(Vec::len), Some(3), "each renewal runs once");
}

#[test]
fn what_can_t_be_looked_up_is_said_so() {
    let cluster = start(2);
    let address = &cluster.daemons[0].callers;
    let completions = format!("/services/{MODEL_SERVICE}/v1/chat/completions");

    let without_key = post(address, &completions, None, DRAFT);
    let unknown = get(address, &format!("/services/{MODEL_SERVICE}/jobs/none"));
    let no_service = get(address, "/services/none/jobs/none");

    assert_eq!((without_key.status, unknown.status, no_service.status), (400, 404, 404));
    assert_eq!(unknown.body["title"], json!("no such job"));
}

struct Answer {
    status: u16,
    location: String,
    body: Value,
}

fn post(address: &str, path: &str, key: Option<&str>, body: &str) -> Answer {
    let mut call = agent()
        .post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {WORKSPACE_TOKEN}"))
        .header("prefer", "respond-async");
    if let Some(key) = key {
        call = call.header("idempotency-key", key);
    }
    answer(call.send(body).unwrap())
}

fn get(address: &str, path: &str) -> Answer {
    let call = agent().get(format!("http://{address}{path}"));
    answer(call.header("authorization", format!("Bearer {WORKSPACE_TOKEN}")).call().unwrap())
}

fn answer(mut response: ureq::http::Response<ureq::Body>) -> Answer {
    let location = response.headers().get("location").and_then(|it| it.to_str().ok());
    Answer {
        location: location.unwrap_or_default().to_owned(),
        status: response.status().as_u16(),
        body: response.body_mut().read_json().unwrap_or_default(),
    }
}

fn agent() -> ureq::Agent {
    let settings = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(20)));
    settings.http_status_as_error(false).build().into()
}
