//! A parsed document that keeps its text to locate errors.

use std::str::FromStr;

use smol_str::{
    SmolStr,
    format_smolstr, //
};

use crate::{
    errors::DocumentError,
    generated::configuration::FleetDocument,
    parsing::{
        DocumentLocation,
        locate_entry,
        parse_text,
        printable, //
    },
};

/// A parsed document with its name and text, which are used to locate errors.
#[derive(Clone, Debug)]
pub struct SourceDocument {
    name: SmolStr,
    text: String,
    content: FleetDocument,
}

impl SourceDocument {
    /// Parses a document. `name` identifies it in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is too long or does not follow the schema.
    pub fn new(name: &str, text: &str) -> Result<Self, DocumentError> {
        Ok(Self {
            name: name.into(),
            content: parse_text(name, text)?,
            text: text.to_owned(),
        })
    }

    /// Returns the name that identifies the document in errors.
    pub fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Returns the parsed content.
    pub fn content(&self) -> &FleetDocument {
        &self.content
    }

    /// Returns the location of a field of an entry, given the entry's kind and its index in the list.
    pub(crate) fn locate(&self, entry: (&str, usize), field: &str) -> DocumentLocation {
        locate_entry(&self.name, &self.text, entry, field)
    }

    /// Returns the list indexes of all entries of a kind with an id.
    pub(crate) fn find_entries(&self, kind: &str, id: &str) -> Vec<usize> {
        let content = &self.content;
        let ids: Vec<&str> = match kind {
            "zone" => content.zones.iter().map(|entry| &*entry.id).collect(),
            "service" => content.services.iter().map(|entry| &*entry.id).collect(),
            "target" => content.targets.iter().map(|entry| &*entry.id).collect(),
            "team" => content.teams.iter().map(|entry| &*entry.id).collect(),
            "route" => content.routes.iter().map(|entry| &*entry.id).collect(),
            "booking" => {
                let bookings = content.rules.iter().flat_map(|rules| &rules.bookings);
                bookings.map(|entry| &*entry.id).collect()
            }
            _ => Vec::new(),
        };
        let found = ids
            .into_iter()
            .enumerate()
            .filter(|&(_, entry_id)| entry_id == id);
        found.map(|(index, _)| index).collect()
    }
}

/// The entry that is being converted, used to describe and locate errors.
#[derive(Clone, Copy)]
pub(crate) struct EntryContext<'a> {
    pub(crate) document: &'a SourceDocument,
    pub(crate) index: usize,
    pub(crate) kind: &'static str,
    pub(crate) id: &'a str,
}

impl EntryContext<'_> {
    pub(crate) fn invalid(self, field: &'static str, reason: impl ToString) -> DocumentError {
        let action_fields = [
            "zone_out",
            "target_stop",
            "host_stop",
            "team_suspended",
            "team",
            "rate",
            "burst",
            "service",
            "floor",
        ];
        let outer = if self.kind == "booking" && action_fields.contains(&field) {
            "action"
        } else {
            field
        };
        DocumentError::Value {
            location: self.document.locate((self.kind, self.index), outer),
            entry: format_smolstr!("{} {}", self.kind, truncate(self.id)),
            field,
            reason: reason.to_string().into(),
        }
    }

    pub(crate) fn parse<T>(self, field: &'static str, text: &str) -> Result<T, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        text.parse()
            .map_err(|error: T::Err| self.invalid(field, error.to_string()))
    }

    pub(crate) fn parse_all<T, C>(
        self,
        field: &'static str,
        texts: &[String],
    ) -> Result<C, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
        C: FromIterator<T>,
    {
        texts.iter().map(|text| self.parse(field, text)).collect()
    }

    /// Converts a number through its decimal text, which keeps six decimals exact.
    pub(crate) fn parse_amount<T>(
        self,
        field: &'static str,
        number: f64,
    ) -> Result<T, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        // Larger numbers are rejected first, as their decimal text can have hundreds of digits.
        if !(0.0..=1e12).contains(&number) {
            return Err(self.invalid(field, format!("{number:?} is not a number from 0 to 1e9")));
        }
        self.parse(field, &format!("{number}"))
    }
}

/// Returns the first 64 characters of a text with control characters replaced, so that an error stays
/// short and cannot move the cursor of a terminal.
fn truncate(text: &str) -> String {
    printable(text).take(64).collect()
}
