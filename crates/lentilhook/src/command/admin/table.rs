//! Objects as a table of text.

use serde_json::Value;

/// Spaces between two columns.
const GAP: &str = "  ";
/// Longest text of a cell before it is cut, in characters.
const CELL_LIMIT: usize = 40;

/// A heading and one line an object; the fields of the first are the columns.
pub fn render(objects: &[Value]) -> String {
    let Some(first) = objects.first().and_then(Value::as_object) else {
        return "none\n".to_owned();
    };
    let names: Vec<&String> = first.keys().collect();
    let mut lines: Vec<Vec<String>> = vec![names.iter().map(|it| it.to_uppercase()).collect()];
    for object in objects {
        lines.push(names.iter().map(|name| cell(&object[name.as_str()])).collect());
    }
    let width = |column: usize| lines.iter().map(|it| it[column].chars().count()).max();
    let widths: Vec<usize> = (0..names.len()).filter_map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        text.push_str(cells.collect::<Vec<_>>().join(GAP).trim_end());
        text.push('\n');
    }
    text
}

fn cell(value: &Value) -> String {
    let text = match value {
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    };
    if text.chars().count() <= CELL_LIMIT {
        return text;
    }
    text.chars().take(CELL_LIMIT - 1).chain(['…']).collect()
}
