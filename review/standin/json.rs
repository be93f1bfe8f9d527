//! A small JSON reader and writer, so that the stand-ins need no library.

use std::{collections::BTreeMap, fmt};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; returns `None` if it is not one JSON value.
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        blanks(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    /// Returns a member of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(members) => members.get(name),
            _ => None,
        }
    }

    /// Returns the text of a string.
    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns a whole number.
    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(number) if number.fract() == 0.0 => write!(f, "{}", *number as i64),
            Json::Number(number) => write!(f, "{number}"),
            Json::Text(text) => quote(f, text),
            Json::List(items) => {
                write!(f, "[")?;
                for (index, item) in items.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                write!(f, "]")
            }
            Json::Object(members) => {
                write!(f, "{{")?;
                for (index, (name, member)) in members.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}")?;
                    quote(f, name)?;
                    write!(f, ":{member}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn quote(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(f, "\"")?;
    for character in text.chars() {
        match character {
            '"' => write!(f, "\\\"")?,
            '\\' => write!(f, "\\\\")?,
            c if (c as u32) < 32 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    write!(f, "\"")
}

fn blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(bytes: &[u8], at: &mut usize, byte: u8) -> Option<()> {
    blanks(bytes, at);
    (bytes.get(*at) == Some(&byte)).then(|| *at += 1)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    blanks(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut members = BTreeMap::new();
            if take(bytes, at, b'}').is_some() {
                return Some(Json::Object(members));
            }
            loop {
                blanks(bytes, at);
                let name = string(bytes, at)?;
                take(bytes, at, b':')?;
                members.insert(name, value(bytes, at)?);
                if take(bytes, at, b',').is_none() {
                    take(bytes, at, b'}')?;
                    return Some(Json::Object(members));
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            if take(bytes, at, b']').is_some() {
                return Some(Json::List(items));
            }
            loop {
                items.push(value(bytes, at)?);
                if take(bytes, at, b',').is_none() {
                    take(bytes, at, b']')?;
                    return Some(Json::List(items));
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    take(bytes, at, b'"')?;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                let escape = *bytes.get(*at + 1)?;
                *at += 2;
                match escape {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        *at += 4;
                        let mut buffer = [0; 4];
                        let character = char::from_u32(code).unwrap_or('?');
                        text.extend(character.encode_utf8(&mut buffer).bytes());
                    }
                    other => text.push(other),
                }
            }
            byte => {
                *at += 1;
                text.push(byte);
            }
        }
    }
}
