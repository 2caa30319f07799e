//! As much of JSON as the stand-in of the store needs: fields of an object as raw text.

/// Returns the raw text of a field of an object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let inner = object.trim().strip_prefix('{')?.strip_suffix('}')?;
    split(inner).into_iter().find_map(|entry| {
        let (key, value) = split_key(entry)?;
        (key == name).then_some(value.trim())
    })
}

/// Returns the text of a string field.
pub fn text(object: &str, name: &str) -> Option<String> {
    Some(field(object, name)?.trim_matches('"').to_owned())
}

fn split_key(entry: &str) -> Option<(&str, &str)> {
    let rest = entry.trim().strip_prefix('"')?;
    let (key, rest) = rest.split_once('"')?;
    Some((key, rest.trim_start().strip_prefix(':')?))
}

/// Splits at the commas outside of strings and brackets.
fn split(text: &str) -> Vec<&str> {
    let (mut parts, mut start, mut depth) = (Vec::new(), 0, 0);
    let (mut is_string, mut is_escaped) = (false, false);
    for (at, c) in text.char_indices() {
        if is_string {
            is_string = is_escaped || c != '"';
            is_escaped = !is_escaped && c == '\\';
            continue;
        }
        match c {
            '"' => is_string = true,
            '{' | '[' => depth += 1,
            '}' | ']' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(&text[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}
