//! Tests reading an engine's stream, truncated after any byte or malformed.

use std::cell::RefCell;
use std::io::BufReader;

use endpoint::attempt::Cancel;
use endpoint::attempt::Event;
use endpoint::attempt::Failure;
use endpoint::chat::Request;
use endpoint::chat::read;
use endpoint::sse;
use endpoint::sse::Item;

#[test]
fn a_stream_is_complete_only_with_its_token_counts_and_last_event() {
    let complete = format!("{}{}{}data: [DONE]\n\n", token("0", "r"), token("1", "r"), usage(2));

    for length in 0..complete.len() {
        check(&complete[..length], None);
    }
    check(&complete, Some(2));
    check(&complete.replace('\n', "\r\n"), Some(2));
}

#[test]
fn malformed_streams_are_broken() {
    check(&format!("{}data: [DONE]\n\n", token("0", "r")), None);
    check(&format!("{}{}data: [DONE]\n\n", token("0", "other"), usage(1)), None);
    check(&format!("{}{}data: [DONE]\n\n", token("x", "r"), usage(1)), None);
    check(&format!("{}{}data: [DONE]\n\n", token("7", "r"), usage(1)), None);
    check(&format!("data: {{\"choices\":[]\n\n{}data: [DONE]\n\n", usage(0)), None);
    check(&format!("event: error\ndata: {{}}\n\n{}data: [DONE]\n\n", usage(0)), None);
    check(&format!("data: {}\n\n{}data: [DONE]\n\n", "x".repeat(2 << 20), usage(0)), None);
}

#[test]
fn a_comment_within_an_event_keeps_its_fields() {
    let bytes = b"id: 4\n: keep-alive\ndata: a\ndata: b\n\n: keep-alive\n\n";
    let mut reader = BufReader::with_capacity(3, bytes.as_slice());

    let first = sse::read(&mut reader).ok().flatten();
    let second = sse::read(&mut reader).ok().flatten();

    assert_eq!(first, Some(Item::Event { id: "4".to_owned(), data: "a\nb".to_owned() }));
    assert_eq!(second, Some(Item::Comment));
}

fn check(stream: &str, expected: Option<u32>) {
    let request = Request {
        request_id: "r".to_owned(),
        messages: "[]".to_owned(),
        max_tokens: 5,
        priority: 0,
        resume_tokens: 0,
        resume_text: String::new(),
        fresh_connection: false,
    };
    let events = RefCell::new(Vec::new());
    let emit = |event: Event| events.borrow_mut().push(event);

    let mut reader = BufReader::with_capacity(7, stream.as_bytes());
    let result = read(&mut reader, &request, &Cancel::default(), &emit);

    match (result, expected) {
        (Ok(usage), Some(count)) => {
            assert_eq!((usage.completion_tokens, events.borrow().len() as u32), (count, count));
        }
        (Err(Failure::Broken(_)), None) => {}
        (result, _) => panic!("{result:?} of {stream:.300}"),
    }
}

fn token(id: &str, request: &str) -> String {
    let data = format!(r#"{{"id":"{request}","choices":[{{"delta":{{"content":"t "}}}}]}}"#);
    format!("id: {id}\ndata: {data}\n\n")
}

fn usage(count: u32) -> String {
    let counts = format!(r#""prompt_tokens":1,"cached_tokens":0,"completion_tokens":{count}"#);
    format!("data: {{\"id\":\"r\",\"choices\":[{{\"delta\":{{}}}}],\"usage\":{{{counts}}}}}\n\n")
}
