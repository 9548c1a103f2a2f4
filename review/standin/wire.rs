//! Documents and names of the platform's protocol, from the files in `wire/`.

pub const CONFIG: &str = include_str!("wire/config.json");
pub const ENTRY: &str = include_str!("wire/entry.json");
pub const ROUTE: &str = include_str!("wire/route.json");
pub const SETTINGS: &str = include_str!("wire/settings.toml");
pub const TENANT: &str = include_str!("wire/tenant.json");

const NAMES: &str = include_str!("wire/names.txt");

/// Returns a template with its fields `<name>` replaced by their values.
pub fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let mut text = template.trim_end().to_owned();
    for (name, value) in values {
        text = text.replace(&format!("<{name}>"), value);
    }
    text
}

/// Returns a header, path or key of the protocol.
pub fn name(of: &str) -> &'static str {
    let mut lines = NAMES.lines().filter_map(|line| line.split_once('='));
    let (_, found) = lines
        .find(|(key, _)| *key == of)
        .expect("the name is in wire/names.txt");
    found
}
