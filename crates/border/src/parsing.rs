//! Parses YAML and JSON texts within limits on size and nesting, and locates values for errors.
//!
//! Documents are parsed into generated types that hold no positions. When a value turns out to be
//! invalid, its document is parsed a second time for positions only, so valid documents cost a
//! single parse.

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
    SmolStr,
    format_smolstr, //
};

use crate::errors::DocumentError;

/// Maximum size of a document, in bytes. The largest inventory to be supported has about 30 MB.
pub const DOCUMENT_BYTES_MAX: usize = 64 << 20;

/// Maximum nesting depth of a document. The schemas need 6 levels.
const DEPTH_MAX: usize = 16;

/// The location of a value in a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentLocation {
    /// Name of the document, such as a file or a part.
    pub document: SmolStr,
    /// Line, starting at 1; 0 if the location is unknown.
    pub line: u64,
    /// Column in characters, starting at 1; 0 if the location is unknown.
    pub column: u64,
}

impl DocumentLocation {
    /// Creates the location of the first character of a document.
    pub fn new(document: &str) -> Self {
        Self {
            document: document.into(),
            line: 1,
            column: 1,
        }
    }

    /// Sets the line and column.
    pub fn with_position(mut self, line: u64, column: u64) -> Self {
        (self.line, self.column) = (line, column);
        self
    }
}

impl fmt::Display for DocumentLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.document, self.line, self.column)
    }
}

/// Returns parser options that bound time and memory by the length of the text.
///
/// Aliases are rejected because a few of them can expand to a text of any length. Anchors are
/// rejected too, as they serve no purpose without aliases.
fn parser_options(text: &str) -> Options {
    let item_limit = text.len() + 16;
    serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_depth: DEPTH_MAX,
            max_aliases: 0,
            max_anchors: 0,
            max_events: item_limit,
            max_nodes: item_limit,
            max_total_scalar_bytes: item_limit,
        },
        non_finite_float_policy: serde_saphyr::options::NonFiniteFloatPolicy::AsString,
    }
}

/// Decodes the bytes of a document as UTF-8.
///
/// # Errors
///
/// Returns an error if there are more than [`DOCUMENT_BYTES_MAX`] bytes or they are not valid UTF-8.
pub fn decode_text(name: &str, bytes: Vec<u8>) -> Result<String, DocumentError> {
    if bytes.len() > DOCUMENT_BYTES_MAX {
        return Err(DocumentError::TooLarge {
            document: name.into(),
            bytes: bytes.len(),
            limit: DOCUMENT_BYTES_MAX,
        });
    }
    String::from_utf8(bytes).map_err(|error| {
        let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
        let line = valid.iter().filter(|&&byte| byte == b'\n').count() as u64 + 1;
        let last_line = valid.rsplit(|&byte| byte == b'\n').next().unwrap_or(valid);
        let column = String::from_utf8_lossy(last_line).chars().count() as u64 + 1;
        DocumentError::Syntax {
            location: DocumentLocation::new(name).with_position(line, column),
            reason: "the text is not UTF-8; save it as UTF-8".into(),
        }
    })
}

/// Parses a document into one of the generated types.
///
/// # Errors
///
/// Returns an error if the text is too long, is not valid YAML or JSON, or does not follow the schema.
pub fn parse_text<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, DocumentError> {
    if text.len() > DOCUMENT_BYTES_MAX {
        return Err(DocumentError::TooLarge {
            document: name.into(),
            bytes: text.len(),
            limit: DOCUMENT_BYTES_MAX,
        });
    }
    let location = DocumentLocation::new(name);
    let has_content = |line: &str| !line.trim().is_empty() && !line.trim().starts_with('#');
    if !text.lines().any(has_content) {
        return Err(DocumentError::Syntax {
            location,
            reason: "the document is empty; see the schema for what it may hold".into(),
        });
    }
    serde_saphyr::from_str_with_options(text, parser_options(text)).map_err(|error| {
        let location = match error.location().filter(|position| position.line() > 0) {
            Some(position) => location.with_position(position.line(), position.column()),
            None => location,
        };
        DocumentError::Syntax {
            location,
            reason: parser_message(&error),
        }
    })
}

/// Returns the characters of a text, with control characters replaced.
pub(crate) fn printable(text: &str) -> impl Iterator<Item = char> {
    let replacement = char::REPLACEMENT_CHARACTER;
    text.chars()
        .map(move |c| if c.is_control() { replacement } else { c })
}

/// Returns the parser's message on one line, without the position and the excerpt that it appends.
fn parser_message(error: &serde_saphyr::Error) -> SmolStr {
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
    let message: String = printable(&line).take(300).collect();
    if matches!(error.without_snippet(), serde_saphyr::Error::Budget { .. }) {
        return format_smolstr!(
            "{message}; write the document without anchors and aliases, and at most {DEPTH_MAX} \
             levels deep"
        );
    }
    message.into()
}

/// Positions of the fields of one entry.
type EntryOutline = IndexMap<String, Spanned<IgnoredAny>>;

/// Positions of the entries of the rules.
#[derive(Debug, Default, Deserialize)]
struct RulesOutline {
    #[serde(default)]
    bookings: Vec<Spanned<EntryOutline>>,
}

/// Positions of all entries of a configuration document.
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

fn locate_in_entry(
    location: DocumentLocation,
    entry: Option<&Spanned<EntryOutline>>,
    field: &str,
) -> DocumentLocation {
    let Some(entry) = entry else {
        return location;
    };
    let position = match entry.value.get(field) {
        Some(value) => value.referenced,
        None => entry.referenced,
    };
    location.with_position(position.line(), position.column())
}

/// Returns the location of a field of an entry, given the entry's kind, such as `team`, and its index
/// in the list. Falls back to the entry if the field is missing, and to the start of the document if
/// the entry is. For the kind `rule`, the location is that of the rules as a whole.
pub fn locate_entry(
    name: &str,
    text: &str,
    (kind, index): (&str, usize),
    field: &str,
) -> DocumentLocation {
    let location = DocumentLocation::new(name);
    let outline = serde_saphyr::from_str_with_options(text, parser_options(text));
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
            None => return location,
        },
        _ => {
            let position = outline.rules.map(|rules| rules.referenced);
            return position.map_or(location.clone(), |at| {
                location.with_position(at.line(), at.column())
            });
        }
    };
    locate_in_entry(location, entries.get(index), field)
}

/// Returns the location of a field of a document that is a single mapping, or the start of the
/// document if the field is missing.
pub fn locate_field(name: &str, text: &str, field: &str) -> DocumentLocation {
    let location = DocumentLocation::new(name);
    let outline = serde_saphyr::from_str_with_options(text, parser_options(text));
    let outline: EntryOutline = outline.unwrap_or_default();
    match outline.get(field).map(|value| value.referenced) {
        Some(position) => location.with_position(position.line(), position.column()),
        None => location,
    }
}
