//! Reads YAML and JSON texts within bounds, and finds the place of a value for errors.
//!
//! Documents are parsed into generated types that hold no positions. When a value turns out to be
//! wrong, its document is parsed once more for positions only, so that valid documents cost one
//! parse.

use std::fmt;

use indexmap::IndexMap;
use serde::{
    Deserialize,
    de::{
        DeserializeOwned,
        IgnoredAny, //
    },
};
use serde_saphyr::{
    Options,
    Spanned, //
};
use smol_str::{
    SmolStr, //
    format_smolstr,
};

use crate::errors::BorderError;

/// Largest document, in bytes. An inventory of the size to design for has about 30 MB.
pub const DOCUMENT_BYTES_MAX: usize = 64 << 20;

/// Deepest nesting of a document. The schemas need 6 levels.
const DEPTH_MAX: usize = 16;

/// Where a value stands in a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentPlace {
    /// Name of the document: a file or a part.
    pub document: SmolStr,
    /// Line, from 1; 0 when the place is not known.
    pub line: u64,
    /// Column in characters, from 1; 0 when the place is not known.
    pub column: u64,
}

impl DocumentPlace {
    /// Makes the place of the first character of a document.
    pub fn new(document: &str) -> Self {
        Self {
            document: document.into(),
            line: 1,
            column: 1,
        }
    }

    /// Moves the place to a line and column.
    pub fn with_position(mut self, line: u64, column: u64) -> Self {
        (self.line, self.column) = (line, column);
        self
    }
}

impl fmt::Display for DocumentPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.document, self.line, self.column)
    }
}

/// Parser options that bound time and memory by the length of the text.
///
/// Aliases are refused because a few of them can stand for a text of any length. Anchors without
/// aliases have no use.
fn options_for(text: &str) -> Options {
    let item_count = text.len() + 16;
    serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_depth: DEPTH_MAX,
            max_aliases: 0,
            max_anchors: 0,
            max_events: item_count,
            max_nodes: item_count,
            max_total_scalar_bytes: item_count,
        },
        non_finite_float_policy: serde_saphyr::options::NonFiniteFloatPolicy::AsString,
    }
}

/// Turns bytes into text.
///
/// # Errors
///
/// Fails when the bytes are too many or not UTF-8.
pub fn read_text(name: &str, bytes: Vec<u8>) -> Result<String, BorderError> {
    if bytes.len() > DOCUMENT_BYTES_MAX {
        return Err(BorderError::TooLarge {
            document: name.into(),
            bytes: bytes.len(),
            most: DOCUMENT_BYTES_MAX,
        });
    }
    String::from_utf8(bytes).map_err(|error| {
        let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
        let line = valid.iter().filter(|&&byte| byte == b'\n').count() as u64 + 1;
        let last_line = valid.rsplit(|&byte| byte == b'\n').next().unwrap_or(valid);
        let column = String::from_utf8_lossy(last_line).chars().count() as u64 + 1;
        BorderError::Syntax {
            place: DocumentPlace::new(name).with_position(line, column),
            reason: "the text is not UTF-8; save it as UTF-8".into(),
        }
    })
}

/// Parses a document into one of the generated types.
///
/// # Errors
///
/// Fails when the text is too long, no valid YAML or JSON, or does not follow the schema.
pub fn parse_text<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, BorderError> {
    if text.len() > DOCUMENT_BYTES_MAX {
        return Err(BorderError::TooLarge {
            document: name.into(),
            bytes: text.len(),
            most: DOCUMENT_BYTES_MAX,
        });
    }
    let place = DocumentPlace::new(name);
    let has_content = |line: &str| !line.trim().is_empty() && !line.trim().starts_with('#');
    if !text.lines().any(has_content) {
        return Err(BorderError::Syntax {
            place,
            reason: "the document is empty; see the schema for what it may hold".into(),
        });
    }
    serde_saphyr::from_str_with_options(text, options_for(text)).map_err(|error| {
        let place = match error.location().filter(|location| location.line() > 0) {
            Some(location) => place.with_position(location.line(), location.column()),
            None => place,
        };
        BorderError::Syntax {
            place,
            reason: reason_of(&error),
        }
    })
}

/// Characters of a text, with control characters replaced.
pub(crate) fn printable(text: &str) -> impl Iterator<Item = char> {
    let replacement = char::REPLACEMENT_CHARACTER;
    text.chars()
        .map(move |c| if c.is_control() { replacement } else { c })
}

/// Message of the parser on one line, without the position and the excerpt that it appends.
fn reason_of(error: &serde_saphyr::Error) -> SmolStr {
    let text = error.without_snippet().to_string();
    let line = text.lines().next().unwrap_or_default();
    let line = line.split(" at line ").next().unwrap_or(line);
    let line = match line.split_once(": ") {
        Some((head, rest)) if head.starts_with("error: line ") => rest,
        _ => line,
    };
    let line = match line.split_once(", set DuplicateKeyPolicy") {
        Some((head, _)) => format!("{head}; remove one of them"),
        None => line.replace("rejected by the configured policy", "is not allowed"),
    };
    let shown: String = printable(&line).take(300).collect();
    if matches!(error.without_snippet(), serde_saphyr::Error::Budget { .. }) {
        return format_smolstr!(
            "{shown}; write the document without anchors and aliases, and at most {DEPTH_MAX} \
             levels deep"
        );
    }
    shown.into()
}

/// Places of the fields of one entry.
type EntryOutline = IndexMap<String, Spanned<IgnoredAny>>;

/// Places of the rules.
#[derive(Debug, Default, Deserialize)]
struct RulesOutline {
    #[serde(default)]
    bookings: Vec<Spanned<EntryOutline>>,
}

/// Places of all entries of a configuration document.
#[derive(Debug, Default, Deserialize)]
struct DocumentOutline {
    #[serde(default)]
    zones: Vec<Spanned<EntryOutline>>,
    #[serde(default)]
    services: Vec<Spanned<EntryOutline>>,
    #[serde(default)]
    targets: Vec<Spanned<EntryOutline>>,
    #[serde(default)]
    teams: Vec<Spanned<EntryOutline>>,
    #[serde(default)]
    routes: Vec<Spanned<EntryOutline>>,
    #[serde(default)]
    parts: Vec<Spanned<EntryOutline>>,
    rules: Option<Spanned<RulesOutline>>,
}

fn place_in(
    place: DocumentPlace,
    entry: Option<&Spanned<EntryOutline>>,
    field: &str,
) -> DocumentPlace {
    let Some(entry) = entry else {
        return place;
    };
    let location = match entry.value.get(field) {
        Some(value) => value.referenced,
        None => entry.referenced,
    };
    place.with_position(location.line(), location.column())
}

/// Finds the place of a field of an entry: `kind` such as `team`, and its index in the list.
pub fn place_of_entry(
    name: &str,
    text: &str,
    (kind, index): (&str, usize),
    field: &str,
) -> DocumentPlace {
    let place = DocumentPlace::new(name);
    let outline = serde_saphyr::from_str_with_options(text, options_for(text));
    let outline: DocumentOutline = outline.unwrap_or_default();
    let entries = match kind {
        "zone" => &outline.zones,
        "service" => &outline.services,
        "target" => &outline.targets,
        "team" => &outline.teams,
        "route" => &outline.routes,
        "part" => &outline.parts,
        "booking" => match &outline.rules {
            Some(rules) => &rules.value.bookings,
            None => return place,
        },
        _ => {
            let location = outline.rules.map(|rules| rules.referenced);
            return location.map_or(place.clone(), |at| {
                place.with_position(at.line(), at.column())
            });
        }
    };
    place_in(place, entries.get(index), field)
}

/// Finds the place of a field of a document that is one mapping.
pub fn place_of_field(name: &str, text: &str, field: &str) -> DocumentPlace {
    let place = DocumentPlace::new(name);
    let outline = serde_saphyr::from_str_with_options(text, options_for(text));
    let outline: EntryOutline = outline.unwrap_or_default();
    match outline.get(field).map(|value| value.referenced) {
        Some(location) => place.with_position(location.line(), location.column()),
        None => place,
    }
}
