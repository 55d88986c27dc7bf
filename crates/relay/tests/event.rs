//! Tests of the parser of server-sent events.

use arbtest::arbtest;
use relay::event::Parser;

#[test]
fn events_are_parsed_whole_however_the_stream_is_split() {
    arbtest(|u| {
        let count: usize = u.int_in_range(0..=8)?;
        let newline = if u.arbitrary()? { "\r\n" } else { "\n" };
        let text = |number| format!("id: {number}{newline}data: some text{newline}{newline}");
        let stream: String = (1..=count).map(text).collect();
        let mut parser = Parser::default();
        let mut parsed = Vec::new();

        let mut rest = stream.as_bytes();
        while !rest.is_empty() {
            let (chunk, left) = rest.split_at(u.int_in_range(1..=rest.len())?);
            assert!(parser.push(chunk));
            parsed.extend(std::iter::from_fn(|| parser.next_event()));
            rest = left;
        }

        let ids: Vec<String> = parsed.iter().filter_map(|it| it.id.clone()).collect();
        let expected: Vec<String> = (1..=count).map(|it| it.to_string()).collect();
        assert_eq!(ids, expected);
        let joined: Vec<u8> = parsed.iter().flat_map(|it| it.bytes.to_vec()).collect();
        assert_eq!(joined, stream.as_bytes());
        assert!(!parser.has_partial_event());
        Ok(())
    });
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut parser = Parser::default();

    parser.push(b"id: 1\ndata: x\n\nid: 2\nda");

    assert_eq!(parser.next_event().and_then(|it| it.id), Some("1".to_owned()));
    assert_eq!(parser.next_event(), None);
    assert!(parser.has_partial_event());
}

#[test]
fn an_event_follows_another_if_its_id_is_higher_or_it_is_a_comment() {
    let check = |text: &str, last: &str, expected: bool| {
        let mut parser = Parser::default();
        parser.push(text.as_bytes());

        let event = parser.next_event().unwrap();

        assert_eq!(event.follows(last), expected, "{text:?} after {last}");
    };

    check("id: 10\ndata: x\n\n", "9", true);
    check("id: 9\ndata: x\n\n", "9", false);
    check("id: 1\ndata: x\n\n", "9", false);
    check("id: b\ndata: x\n\n", "a", true);
    check("id: a\ndata: x\n\n", "a", false);
    check(": alive\r\n\r\n", "9", true);
    check("data: {\"error\":\"overloaded\"}\n\n", "9", false);
}
