//! Events cut out of streams.

use arbtest::arbtest;
use relay::event::Events;

#[test]
fn events_come_whole_however_the_bytes_are_cut() {
    arbtest(|u| {
        let count: usize = u.int_in_range(0..=8)?;
        let line = if u.arbitrary()? { "\r\n" } else { "\n" };
        let text = |number| format!("id: {number}{line}data: some text{line}{line}");
        let stream: String = (1..=count).map(text).collect();
        let mut events = Events::default();
        let mut taken = Vec::new();

        let mut rest = stream.as_bytes();
        while !rest.is_empty() {
            let (piece, left) = rest.split_at(u.int_in_range(1..=rest.len())?);
            assert!(events.push(piece));
            taken.extend(std::iter::from_fn(|| events.take()));
            rest = left;
        }

        let ids: Vec<String> = taken.iter().filter_map(|it| it.id.clone()).collect();
        let expected: Vec<String> = (1..=count).map(|it| it.to_string()).collect();
        assert_eq!(ids, expected);
        let joined: Vec<u8> = taken.iter().flat_map(|it| it.bytes.to_vec()).collect();
        assert_eq!(joined, stream.as_bytes());
        assert!(!events.has_part());
        Ok(())
    });
}

#[test]
fn part_of_an_event_is_kept_back() {
    let mut events = Events::default();

    events.push(b"id: 1\ndata: x\n\nid: 2\nda");

    assert_eq!(events.take().and_then(|it| it.id), Some("1".to_owned()));
    assert_eq!(events.take(), None);
    assert!(events.has_part());
}
