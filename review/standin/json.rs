//! A small JSON reader for the bodies of calls to stages.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(entries) => entries,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.entries(),
            b'"' => Some(Json::Text(self.string()?)),
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            _ => self.digits(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.at += word.len();
        Some(value)
    }

    fn digits(&mut self) -> Option<Json> {
        let begin = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    text.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                byte => text.push(byte),
            }
        }
    }

    fn entries(&mut self) -> Option<Json> {
        self.at += 1;
        let mut entries = Vec::new();
        while self.peek()? != b']' {
            entries.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::List(entries))
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        while self.peek()? != b'}' {
            let name = self.string()?;
            self.peek()?;
            self.at += 1;
            let value = self.value()?;
            fields.insert(name, value);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::Table(fields))
    }
}
