//! Base64 with the standard alphabet and padding.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index)) & 63;
            let is_padding = index > group.len();
            text.push(if is_padding { '=' } else { ALPHABET[digit as usize] as char });
        }
    }
    text
}
