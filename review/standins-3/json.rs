//! JSON values.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Table(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Value::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => write!(out, "null"),
            Value::Bool(it) => write!(out, "{it}"),
            Value::Number(it) => write!(out, "{it}"),
            Value::Text(it) => write_text(out, it),
            Value::List(items) => {
                write!(out, "[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(out, "{}{item}", if index == 0 { "" } else { "," })?;
                }
                write!(out, "]")
            }
            Value::Table(fields) => {
                write!(out, "{{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    write!(out, "{}", if index == 0 { "" } else { "," })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for it in text.chars() {
        match it {
            '"' | '\\' => write!(out, "\\{it}")?,
            it if (it as u32) < 0x20 => write!(out, "\\u{:04x}", it as u32)?,
            it => write!(out, "{it}")?,
        }
    }
    write!(out, "\"")
}

/// Parses a document; `None` if it is malformed.
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
    parser.value()
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn skip(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => {
                let start = self.at;
                let is_part = |it: &u8| it.is_ascii_digit() || b"+-.eE".contains(it);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Value::Number)
            }
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.skip(b'{')?;
        let mut fields = BTreeMap::new();
        while self.peek()? != b'}' {
            self.peek()?;
            let name = self.text()?;
            self.skip(b':')?;
            fields.insert(name, self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.skip(b'}')?;
        Some(Value::Table(fields))
    }

    fn list(&mut self) -> Option<Value> {
        self.skip(b'[')?;
        let mut items = Vec::new();
        while self.peek()? != b']' {
            items.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.skip(b']')?;
        Some(Value::List(items))
    }

    fn text(&mut self) -> Option<String> {
        self.skip(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let mut buffer = [0; 4];
                            let code = char::from_u32(code)?.encode_utf8(&mut buffer);
                            text.extend_from_slice(code.as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}
