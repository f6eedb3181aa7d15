//! A small JSON reader for the bodies that nodes send to the store.

pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut chars = text.chars().peekable();
        value(&mut chars)
    }

    fn get(&self, name: &str) -> Option<&Self> {
        let Self::Table(fields) = self else { return None };
        fields.iter().find(|(n, _)| n == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

type Chars<'a> = std::iter::Peekable<std::str::Chars<'a>>;

fn skip(chars: &mut Chars<'_>) {
    while chars.peek().is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':') {
        chars.next();
    }
}

fn value(chars: &mut Chars<'_>) -> Option<Json> {
    skip(chars);
    match *chars.peek()? {
        '{' => {
            chars.next();
            let mut fields = Vec::new();
            loop {
                skip(chars);
                if *chars.peek()? == '}' {
                    chars.next();
                    return Some(Json::Table(fields));
                }
                let Json::Text(name) = value(chars)? else { return None };
                fields.push((name, value(chars)?));
            }
        }
        '[' => {
            chars.next();
            let mut list = Vec::new();
            loop {
                skip(chars);
                if *chars.peek()? == ']' {
                    chars.next();
                    return Some(Json::List(list));
                }
                list.push(value(chars)?);
            }
        }
        '"' => {
            chars.next();
            let mut text = String::new();
            loop {
                match chars.next()? {
                    '"' => return Some(Json::Text(text)),
                    '\\' => text.push(chars.next()?),
                    c => text.push(c),
                }
            }
        }
        _ => {
            let mut word = String::new();
            while chars.peek().is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c)) {
                word.push(chars.next()?);
            }
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" | "false" => Some(Json::Bool),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}
