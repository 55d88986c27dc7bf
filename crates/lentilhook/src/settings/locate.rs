//! Lines of fields in the text of settings.

/// Line, from 1, of the field with this dotted path, or of the innermost
/// section around it that is there.
pub fn line_of(text: &str, path: &str) -> usize {
    let bare = without_comments(text);
    let mut at = 0;
    for name in path.split('.') {
        match find_key(&bare, at, name) {
            Some(found) => at = found,
            None => break,
        }
    }
    bare[..at].matches('\n').count() + 1
}

/// Most brackets that are open at once, those in strings counted as well.
pub fn deepest(text: &str) -> usize {
    let mut open: usize = 0;
    let mut deepest = 0;
    for letter in text.chars() {
        match letter {
            '[' | '{' => open += 1,
            ']' | '}' => open = open.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(open);
    }
    deepest
}

fn find_key(text: &str, from: usize, name: &str) -> Option<usize> {
    let candidates = text[from..].match_indices(name).map(|(offset, _)| from + offset);
    candidates.into_iter().find(|at| {
        let before = text[..*at].chars().next_back();
        let after = text[at + name.len()..].trim_start_matches(['"', '\'']).trim_start();
        let starts = before.is_none_or(|it| !it.is_alphanumeric() && it != '_');
        starts && after.starts_with(':')
    })
}

/// The same text with spaces in place of comments.
fn without_comments(text: &str) -> String {
    let mut bare = String::with_capacity(text.len());
    let mut quote = None;
    let mut rest = text.chars().peekable();
    while let Some(letter) = rest.next() {
        match (quote, letter, rest.peek()) {
            (None, '/', Some('/')) => while rest.next_if(|it| *it != '\n').is_some() {},
            (None, '/', Some('*')) => skip_block(&mut rest, &mut bare),
            (Some(_), '\\', _) => {
                bare.push(letter);
                bare.extend(rest.next());
            }
            (None, '"' | '\'', _) => {
                quote = Some(letter);
                bare.push(letter);
            }
            _ => {
                if quote == Some(letter) {
                    quote = None;
                }
                bare.push(letter);
            }
        }
    }
    bare
}

fn skip_block(rest: &mut std::iter::Peekable<std::str::Chars<'_>>, bare: &mut String) {
    let mut last = ' ';
    rest.next();
    for letter in rest.by_ref() {
        if letter == '\n' {
            bare.push('\n');
        }
        if last == '*' && letter == '/' {
            return;
        }
        last = letter;
    }
}
