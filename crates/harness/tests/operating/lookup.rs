//! Asynchronous calls whose results are looked up later through any daemon.

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
fn a_result_is_available_through_any_daemon() {
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
            wait_for("the result", || get(address, &location).status == 200).unwrap();
        }

        let results: Vec<Value> = addresses.iter().map(|it| get(it, &location).body).collect();
        assert!(results.iter().all(|it| *it == results[0]), "{results:?}");
        if number % 2 == 0 {
            let direct = Draft::new(addresses[0], "Draft.", 40).stream(|_| {}).unwrap();
            assert_eq!(results[0]["choices"][0]["message"]["content"], direct.text());
        }
    }
    let record: Value =
        harness::cluster::get(&cluster.services[0].address, "/fake/record").unwrap();
    assert_eq!(record.as_array().map(Vec::len), Some(3), "each renewal must be executed once");
}

#[test]
fn async_calls_without_a_key_and_lookups_of_unknown_jobs_are_rejected() {
    let cluster = start(2);
    let address = &cluster.daemons[0].callers;
    let completions = format!("/services/{MODEL_SERVICE}/v1/chat/completions");

    let without_key = post(address, &completions, None, DRAFT);
    let unknown_job = get(address, &format!("/services/{MODEL_SERVICE}/jobs/none"));
    let unknown_service = get(address, "/services/none/jobs/none");

    assert_eq!((without_key.status, unknown_job.status, unknown_service.status), (400, 404, 404));
    assert_eq!(unknown_job.body["title"], json!("no such job"));
}

struct Response {
    status: u16,
    location: String,
    body: Value,
}

fn post(address: &str, path: &str, key: Option<&str>, body: &str) -> Response {
    let mut call = agent()
        .post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {WORKSPACE_TOKEN}"))
        .header("prefer", "respond-async");
    if let Some(key) = key {
        call = call.header("idempotency-key", key);
    }
    decode(call.send(body).unwrap())
}

fn get(address: &str, path: &str) -> Response {
    let call = agent().get(format!("http://{address}{path}"));
    decode(call.header("authorization", format!("Bearer {WORKSPACE_TOKEN}")).call().unwrap())
}

fn decode(mut response: ureq::http::Response<ureq::Body>) -> Response {
    let location = response.headers().get("location").and_then(|it| it.to_str().ok());
    Response {
        location: location.unwrap_or_default().to_owned(),
        status: response.status().as_u16(),
        body: response.body_mut().read_json().unwrap_or_default(),
    }
}

fn agent() -> ureq::Agent {
    let settings = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(20)));
    settings.http_status_as_error(false).build().into()
}
