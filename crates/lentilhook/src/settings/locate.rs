//! Location of fields in the text of a settings file.

use std::iter::Peekable;
use std::str::Chars;

/// Returns the line, counted from 1, of the field with this dotted path. If the field is absent,
/// returns the line of its innermost enclosing section that is present.
pub fn line_of(text: &str, path: &str) -> usize {
    let stripped = strip_comments(text);
    let mut position = 0;
    for name in path.split('.') {
        match find_key(&stripped, position, name) {
            Some(found) => position = found,
            None => break,
        }
    }
    stripped[..position].matches('\n').count() + 1
}

/// Returns the maximum nesting of brackets. Brackets in strings and comments count as well.
pub fn max_nesting(text: &str) -> usize {
    let mut open: usize = 0;
    let mut max = 0;
    for character in text.chars() {
        match character {
            '[' | '{' => open += 1,
            ']' | '}' => open = open.saturating_sub(1),
            _ => {}
        }
        max = max.max(open);
    }
    max
}

/// Returns the offset of the first key with this name at or after `start`.
fn find_key(text: &str, start: usize, name: &str) -> Option<usize> {
    let candidates = text[start..].match_indices(name).map(|(offset, _)| start + offset);
    candidates.into_iter().find(|position| {
        let before = text[..*position].chars().next_back();
        let after = text[position + name.len()..].trim_start_matches(['"', '\'']).trim_start();
        let is_word_start = before.is_none_or(|it| !it.is_alphanumeric() && it != '_');
        is_word_start && after.starts_with(':')
    })
}

/// Returns the text without comments. Line breaks are kept, so that line numbers stay valid.
fn strip_comments(text: &str) -> String {
    let mut stripped = String::with_capacity(text.len());
    let mut quote = None;
    let mut rest = text.chars().peekable();
    while let Some(character) = rest.next() {
        match (quote, character, rest.peek()) {
            (None, '/', Some('/')) => while rest.next_if(|it| *it != '\n').is_some() {},
            (None, '/', Some('*')) => skip_block_comment(&mut rest, &mut stripped),
            (Some(_), '\\', _) => {
                stripped.push(character);
                stripped.extend(rest.next());
            }
            (None, '"' | '\'', _) => {
                quote = Some(character);
                stripped.push(character);
            }
            _ => {
                if quote == Some(character) {
                    quote = None;
                }
                stripped.push(character);
            }
        }
    }
    stripped
}

/// Skips the rest of a block comment and copies its line breaks to `stripped`.
fn skip_block_comment(rest: &mut Peekable<Chars<'_>>, stripped: &mut String) {
    let mut previous = ' ';
    rest.next();
    for character in rest.by_ref() {
        if character == '\n' {
            stripped.push('\n');
        }
        if previous == '*' && character == '/' {
            return;
        }
        previous = character;
    }
}
