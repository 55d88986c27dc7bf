//! Spelling suggestions for unknown words.

/// Divisor of a word's length that gives the maximum edit distance of a suggestion.
const MAX_DISTANCE_DIVISOR: usize = 2;

/// Returns the known word with the smallest edit distance to `unknown`.
///
/// Words that differ in more than half of the letters of `unknown` are not considered.
pub fn nearest<'a>(unknown: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let limit = unknown.chars().count() / MAX_DISTANCE_DIVISOR;
    let candidates = known.map(|it| (distance(unknown, it), it));
    candidates.filter(|(distance, _)| *distance <= limit).min().map(|(_, it)| it)
}

/// Returns the Levenshtein distance of two words.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (line, letter) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for column in 0..right.len() {
            let substitution = diagonal + usize::from(letter != right[column]);
            diagonal = row[column + 1];
            row[column + 1] = substitution.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
