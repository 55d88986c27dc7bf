//! Decoding of arbitrary bytes returns a frame or a typed error and never panics.

use arbtest::arbtest;
use bytes::BytesMut;
use job::problem::Problem;
use job::reply::Reply;
use job::reply::Token;
use membership::digest::Message;
use peer::wire;
use peer::wire::FRAME_LIMIT_BYTES;
use peer::wire::Frame;

/// Seed numbers. The lower half of an arbtest seed is the size of the input in bytes.
const SEEDS: std::ops::Range<u64> = 0..300;

#[test]
fn arbitrary_bytes_are_decoded_or_rejected() {
    for seed in SEEDS {
        arbtest(|u| {
            let mut buffer = BytesMut::from(&u.arbitrary::<Vec<u8>>()?[..]);
            while let Ok(Some(_)) = wire::decode(&mut buffer) {}
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}

#[test]
fn corrupted_frames_are_decoded_or_rejected() {
    for seed in SEEDS {
        arbtest(|u| {
            let frames = [
                Frame::Reply(Reply::Token(Token { index: u.arbitrary()?, text: u.arbitrary()? })),
                Frame::Reply(Reply::Problem(Problem::not_run(503, "busy", "later"))),
            ];
            let mut bytes = wire::encode(u.choose(&frames)?).unwrap().to_vec();
            let at = u.choose_index(bytes.len())?;
            match u.int_in_range(0..=2)? {
                0 => bytes[at] = u.arbitrary()?,
                1 => bytes.truncate(at),
                _ => bytes.extend_from_within(at..),
            }
            let mut buffer = BytesMut::from(&bytes[..]);
            while let Ok(Some(_)) = wire::decode(&mut buffer) {}
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}

#[test]
fn a_message_of_a_later_build_is_skipped_and_the_next_one_decoded() {
    let known = Frame::Front(Box::new(Message::Interruptions(Vec::new())));
    let encoded = wire::encode(&known).unwrap();
    let (front, unknown_variant) = (encoded[4], 200);
    let mut buffer = BytesMut::from(&[0, 0, 0, 3, front, unknown_variant, 1][..]);
    buffer.extend_from_slice(&[&encoded[..3], &[encoded[3] + 1], &encoded[4..], &[9]].concat());
    buffer.extend_from_slice(&encoded);

    let decoded = [(); 3].map(|()| wire::decode(&mut buffer));

    for skipped in &decoded[..2] {
        assert!(matches!(skipped, Err(wire::Error::UnknownMessage { .. })), "{skipped:?}");
    }
    assert_eq!(decoded[2], Ok(Some(known)));
}

#[test]
fn a_malformed_frame_of_a_call_is_an_error() {
    let mut buffer = BytesMut::from(&[0, 0, 0, 2, 0, 255][..]);

    let decoded = wire::decode(&mut buffer);

    assert!(matches!(decoded, Err(wire::Error::Malformed { .. })), "{decoded:?}");
}

#[test]
fn a_length_over_the_limit_is_rejected_before_reading_the_frame() {
    let length = FRAME_LIMIT_BYTES as u32 + 1;
    let mut buffer = BytesMut::from(&length.to_be_bytes()[..]);

    let decoded = wire::decode(&mut buffer);

    assert_eq!(decoded, Err(wire::Error::TooLong { length: length as usize }));
}
