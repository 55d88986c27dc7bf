//! Requests through separate processes, from caller to endpoint.

use std::io;
use std::time::Duration;

use harness::caller::Draft;
use harness::caller::renew;
use harness::cluster;
use harness::cluster::Cluster;
use harness::cluster::MODEL_SERVICE;
use harness::cluster::PLAIN_SERVICE;
use harness::cluster::WORKSPACE_TOKEN;
use nix::sys::signal::Signal;
use serde_json::Value;
use standins::engine::protocol::Execution as EngineExecution;
use standins::service::Execution;
use standins::text;

const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn a_completion_is_streamed_token_by_token_and_complete() -> io::Result<()> {
    let cluster = deployment()?;
    let prompt = "Draft the dossier of batch 7.";
    let engine = cluster.engines[0].address.clone();
    let mut finished_at_first: Vec<EngineExecution> = Vec::new();
    let mut token_count = 0;

    let completion = Draft::new(&cluster.daemons[0].callers, prompt, 200).stream(|_| {
        if token_count == 0 {
            finished_at_first = cluster::get(&engine, "/fake/record").unwrap_or_default();
        }
        token_count += 1;
    })?;

    assert_eq!(completion.status, 200);
    assert!(completion.complete);
    assert_eq!(completion.tokens.len(), 200);
    assert!(
        finished_at_first.is_empty(),
        "the completion was finished before its first token arrived"
    );
    let ids: Vec<String> = completion.tokens.iter().map(|it| it.id.clone()).collect();
    assert_eq!(ids, (0..200).map(|it| it.to_string()).collect::<Vec<_>>());
    assert_eq!(completion.text(), text::answer(prompt, 200));
    let arrivals: Vec<_> = completion.tokens.iter().map(|it| it.arrived_at).collect();
    assert!(arrivals.windows(2).all(|pair| pair[0] < pair[1]), "tokens arrived together");
    Ok(())
}

#[test]
fn a_key_is_executed_once_whichever_daemon_receives_it() -> io::Result<()> {
    let cluster = deployment()?;
    let keys: Vec<String> = (0..8).map(|it| format!("renewal-{it}")).collect();

    for key in &keys {
        for daemon in &cluster.daemons {
            let response = renew(&daemon.callers, key, "licence")?;
            assert_eq!(response.status, 200, "{key} through {}: {response:?}", daemon.name);
        }
    }

    let record: Vec<Execution> = cluster::get(&cluster.services[0].address, "/fake/record")?;
    let executed: Vec<&String> = record.iter().map(|it| &it.key).collect();
    assert_eq!(executed, keys.iter().collect::<Vec<_>>());
    let logs = cluster.daemons.iter().map(|it| std::fs::read_to_string(&it.process.log));
    let logs = logs.collect::<io::Result<Vec<String>>>()?.concat();
    assert!(logs.contains("forwarded"), "no call was forwarded to the other daemon");
    Ok(())
}

#[test]
fn invalid_requests_are_rejected_with_a_remedy_and_the_daemon_keeps_serving() -> io::Result<()> {
    let cluster = deployment()?;
    let address = cluster.daemons[0].callers.clone();
    let chat = format!("/services/{MODEL_SERVICE}/v1/chat/completions");
    let renewals = format!("/services/{PLAIN_SERVICE}/renewals");
    let valid = r#"{"messages":[{"role":"user","content":"hello"}],"max_tokens":2}"#;
    let large = "x".repeat(5 << 20);
    let check = |path: &str, token: &str, body: &str, status: u16| -> io::Result<()> {
        let (actual, problem) = send("POST", &address, path, token, body)?;
        assert_eq!(actual, status, "{path}: {problem}");
        assert_eq!(problem["outcome"], "not_run", "{path}: {problem}");
        assert!(!problem["detail"].as_str().unwrap_or_default().is_empty());
        Ok(())
    };

    check(&chat, "wrong", valid, 401)?;
    check("/services/nowhere/v1/chat/completions", WORKSPACE_TOKEN, valid, 404)?;
    check("/elsewhere", WORKSPACE_TOKEN, valid, 404)?;
    check(&chat, WORKSPACE_TOKEN, "{\"messages\": [", 400)?;
    check(&chat, WORKSPACE_TOKEN, "{\"messages\": []}", 400)?;
    check(&chat, WORKSPACE_TOKEN, &large, 413)?;
    check(&renewals, WORKSPACE_TOKEN, "no key", 400)?;
    let (status, problem) = send("PUT", &address, &chat, WORKSPACE_TOKEN, valid)?;
    assert_eq!((status, &problem["outcome"]), (405, &Value::from("not_run")));

    let (status, body) = send("POST", &address, &chat, WORKSPACE_TOKEN, valid)?;
    assert_eq!(status, 200);
    let content = body["choices"][0]["message"]["content"].as_str();
    assert_eq!(content, Some(text::answer("hello", 2).as_str()));
    Ok(())
}

#[test]
fn a_terminated_daemon_finishes_its_streams_first() -> io::Result<()> {
    let mut cluster = deployment()?;
    let address = cluster.daemons[0].callers.clone();
    let mut terminated = false;
    let process = &cluster.daemons[0].process;

    let completion = Draft::new(&address, "a long draft", 150).stream(|_| {
        if !terminated {
            terminated = process.signal(Signal::SIGTERM).is_ok();
        }
    })?;

    assert!(terminated);
    assert!(completion.complete);
    assert_eq!(completion.text(), text::answer("a long draft", 150));
    let status = cluster.daemons[0].process.wait(EXIT_TIMEOUT)?;
    assert!(status.is_some_and(|it| it.success()), "exit status: {status:?}");
    Ok(())
}

fn deployment() -> io::Result<Cluster> {
    let mut cluster = Cluster::start()?;
    cluster.add_engine("engine-1", &["--token-us", "5000"])?;
    cluster.add_service("registry-1", &[])?;
    cluster.add_daemon("entry-1", "tema-a")?;
    cluster.add_daemon("entry-2", "kpone")?;
    cluster.configure()?;
    Ok(cluster)
}

fn send(
    method: &str,
    address: &str,
    path: &str,
    token: &str,
    body: &str,
) -> io::Result<(u16, Value)> {
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .body(body)
        .map_err(io::Error::other)?;
    let settings = ureq::Agent::config_builder().http_status_as_error(false).build();
    let agent: ureq::Agent = settings.into();
    let mut response = agent.run(request).map_err(io::Error::other)?;
    let status = response.status().as_u16();
    Ok((status, response.body_mut().read_json().unwrap_or_default()))
}
