//! The known word that a wrong one was meant to be.

/// Largest share of a word that may be wrong, as one in so many letters.
const WRONG_SHARE: usize = 2;

/// The nearest of the known words, if one is near.
pub fn nearest<'a>(wrong: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let limit = wrong.chars().count() / WRONG_SHARE;
    let measured = known.map(|it| (distance(wrong, it), it));
    measured.filter(|(distance, _)| *distance <= limit).min().map(|(_, it)| it)
}

/// Levenshtein distance of two words.
fn distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (line, letter) in one.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for column in 0..other.len() {
            let replaced = diagonal + usize::from(letter != other[column]);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[other.len()]
}
