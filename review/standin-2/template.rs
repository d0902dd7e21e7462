//! Fills the settings template of the deploy file with the fields of the platform's settings, as
//! the users' page on deployment tells it.

use std::fmt::Write;

/// Value of a field.
#[derive(Clone, Debug)]
pub enum Value {
    Text(String),
    Number(f64),
    Truth(bool),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn text(text: impl Into<String>) -> Self {
        Value::Text(text.into())
    }

    fn member(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            Value::List(entries) => entries.get(name.parse::<usize>().ok()?),
            _ => None,
        }
    }

    fn is_true(&self) -> bool {
        match self {
            Value::Truth(truth) => *truth,
            Value::Text(text) => !text.is_empty(),
            Value::Number(_) => true,
            Value::List(entries) => !entries.is_empty(),
            Value::Table(fields) => !fields.is_empty(),
        }
    }

    fn json(&self) -> String {
        match self {
            Value::Text(text) => format!("{text:?}"),
            Value::Number(number) => format!("{number}"),
            Value::Truth(truth) => format!("{truth}"),
            Value::List(entries) => {
                let entries: Vec<String> = entries.iter().map(Value::json).collect();
                format!("[{}]", entries.join(","))
            }
            Value::Table(fields) => {
                let fields = fields
                    .iter()
                    .map(|(key, v)| format!("{key:?}:{}", v.json()));
                format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
            }
        }
    }

    fn plain(&self) -> String {
        match self {
            Value::Text(text) => text.clone(),
            Value::List(entries) => {
                let entries: Vec<String> = entries.iter().map(Value::plain).collect();
                entries.join(",")
            }
            other => other.json(),
        }
    }
}

struct Scope<'a> {
    entry: Option<&'a Value>,
    key: String,
    is_last: bool,
}

/// Fills a template.
pub fn fill(template: &str, fields: &Value) -> String {
    let mut scopes = Vec::new();
    render(template, fields, &mut scopes)
}

fn find<'a>(name: &str, fields: &'a Value, scopes: &[Scope<'a>]) -> Option<&'a Value> {
    if name == "." {
        return scopes.last().and_then(|scope| scope.entry).or(Some(fields));
    }
    let of = |mut value: &'a Value| {
        for part in name.split('.') {
            value = value.member(part)?;
        }
        Some(value)
    };
    let entry = scopes.last().and_then(|scope| scope.entry);
    entry.and_then(of).or_else(|| of(fields))
}

fn render<'a>(template: &str, fields: &'a Value, scopes: &mut Vec<Scope<'a>>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a gap is closed");
        let gap = rest[start + 2..end].trim();
        rest = &rest[end + 2..];
        let sign = gap.chars().next().unwrap_or(' ');
        if sign == '#' || sign == '^' {
            let name = gap[1..].trim();
            let close = format!("{{{{/{name}}}}}");
            let until = rest.find(&close).expect("a part is closed");
            let body = &rest[..until];
            rest = &rest[until + close.len()..];
            let value = find(name, fields, scopes);
            let is_true = value.is_some_and(Value::is_true);
            if sign == '^' {
                if !is_true {
                    out.push_str(&render(body, fields, scopes));
                }
                continue;
            }
            let Some(value) = value.filter(|_| is_true) else {
                continue;
            };
            let entries: Vec<(String, Option<&Value>)> = match value {
                Value::List(entries) => {
                    let numbered = entries.iter().enumerate();
                    numbered.map(|(n, v)| (n.to_string(), Some(v))).collect()
                }
                Value::Table(entries) => {
                    let named = entries.iter();
                    named.map(|(key, v)| (key.clone(), Some(v))).collect()
                }
                other => vec![(String::new(), Some(other))],
            };
            let count = entries.len();
            for (position, (key, entry)) in entries.into_iter().enumerate() {
                scopes.push(Scope {
                    entry,
                    key,
                    is_last: position + 1 == count,
                });
                out.push_str(&render(body, fields, scopes));
                scopes.pop();
            }
        } else if gap == "," {
            if scopes.last().is_some_and(|scope| !scope.is_last) {
                out.push(',');
            }
        } else if gap == "@" {
            out.push_str(scopes.last().map_or("", |scope| scope.key.as_str()));
        } else if let Some(name) = gap.strip_suffix("|json") {
            let value = find(name, fields, scopes);
            let _ = write!(out, "{}", value.map_or("null".to_owned(), Value::json));
        } else if let Some(value) = find(gap, fields, scopes) {
            out.push_str(&value.plain());
        }
    }
    out.push_str(rest);
    out
}
