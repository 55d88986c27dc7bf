//! Formatting of JSON objects as a text table.

use serde_json::Value;

/// Separator of two columns.
const COLUMN_SEPARATOR: &str = "  ";
/// Maximum width of a cell, in characters; longer text is truncated.
const MAX_CELL_CHARS: usize = 40;

/// Renders a header and one row for each object. The fields of the first object are the columns.
pub fn render(objects: &[Value]) -> String {
    let Some(first) = objects.first().and_then(Value::as_object) else {
        return "none\n".to_owned();
    };
    let names: Vec<&String> = first.keys().collect();
    let mut rows: Vec<Vec<String>> = vec![names.iter().map(|it| it.to_uppercase()).collect()];
    for object in objects {
        rows.push(names.iter().map(|name| cell_text(&object[name.as_str()])).collect());
    }
    let width = |column: usize| rows.iter().map(|it| it[column].chars().count()).max();
    let widths: Vec<usize> = (0..names.len()).filter_map(width).collect();
    let mut text = String::new();
    for row in &rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        text.push_str(cells.collect::<Vec<_>>().join(COLUMN_SEPARATOR).trim_end());
        text.push('\n');
    }
    text
}

fn cell_text(value: &Value) -> String {
    let text = match value {
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell_text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    };
    if text.chars().count() <= MAX_CELL_CHARS {
        return text;
    }
    text.chars().take(MAX_CELL_CHARS - 1).chain(['…']).collect()
}
