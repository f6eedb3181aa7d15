//! A parser for the JSON that nodes send to the store.

pub enum Json {
    Text(String),
    Number(f64),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
    Other,
}

impl Json {
    fn get(&self, name: &str) -> Option<&Json> {
        let Json::Object(fields) = self else { return None };
        fields.iter().find(|(n, _)| n == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Json> {
    let chars: Vec<char> = text.chars().collect();
    let mut at = 0;
    value(&chars, &mut at)
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match chars.get(*at)? {
        '"' => text(chars, at).map(Json::Text),
        '[' => {
            let mut list = Vec::new();
            items(chars, at, ']', |chars, at| {
                list.push(value(chars, at)?);
                Some(())
            })?;
            Some(Json::List(list))
        }
        '{' => {
            let mut fields = Vec::new();
            items(chars, at, '}', |chars, at| {
                let name = text(chars, at)?;
                skip_space(chars, at);
                *at += 1;
                fields.push((name, value(chars, at)?));
                Some(())
            })?;
            Some(Json::Object(fields))
        }
        _ => {
            let from = *at;
            while chars.get(*at).is_some_and(|c| !",]} \n".contains(*c)) {
                *at += 1;
            }
            let word: String = chars[from..*at].iter().collect();
            Some(word.parse().map_or(Json::Other, Json::Number))
        }
    }
}

fn items(
    chars: &[char],
    at: &mut usize,
    end: char,
    mut item: impl FnMut(&[char], &mut usize) -> Option<()>,
) -> Option<()> {
    *at += 1;
    loop {
        skip_space(chars, at);
        match chars.get(*at)? {
            c if *c == end => {
                *at += 1;
                return Some(());
            }
            ',' => *at += 1,
            _ => item(chars, at)?,
        }
    }
}

fn text(chars: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(out),
            '\\' => {
                out.push(*chars.get(*at)?);
                *at += 1;
            }
            c => out.push(c),
        }
    }
}
