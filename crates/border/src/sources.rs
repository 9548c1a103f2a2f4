//! A parsed document with its text, from which errors take their place.

use std::str::FromStr;

use smol_str::{
    SmolStr, //
    format_smolstr,
};

use crate::{
    errors::BorderError,
    generated::configuration::FleetDocument,
    places::{
        DocumentPlace,
        parse_text,
        place_of_entry, //
        printable,
    },
};

/// A parsed document with its name and text, from which errors take their place.
#[derive(Clone, Debug)]
pub struct SourceDocument {
    name: SmolStr,
    text: String,
    content: FleetDocument,
}

impl SourceDocument {
    /// Parses a document.
    ///
    /// # Errors
    ///
    /// Fails when the text is too long or does not follow the schema.
    pub fn new(name: &str, text: &str) -> Result<Self, BorderError> {
        Ok(Self {
            name: name.into(),
            content: parse_text(name, text)?,
            text: text.to_owned(),
        })
    }

    /// Returns the name.
    pub fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Returns the parsed content.
    pub fn content(&self) -> &FleetDocument {
        &self.content
    }

    /// Returns the place of a field of an entry: its kind, and its index in its list.
    pub(crate) fn place_of(&self, entry: (&str, usize), field: &str) -> DocumentPlace {
        place_of_entry(&self.name, &self.text, entry, field)
    }

    /// Returns the indexes of the entries of a kind with a name.
    pub(crate) fn find(&self, kind: &str, name: &str) -> Vec<usize> {
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
        let found = ids.into_iter().enumerate().filter(|&(_, id)| id == name);
        found.map(|(index, _)| index).collect()
    }
}

/// Where an entry stands, for errors.
#[derive(Clone, Copy)]
pub(crate) struct EntryPlace<'a> {
    pub(crate) document: &'a SourceDocument,
    pub(crate) index: usize,
    pub(crate) kind: &'static str,
    pub(crate) id: &'a str,
}

impl EntryPlace<'_> {
    pub(crate) fn refuse(self, field: &'static str, reason: impl ToString) -> BorderError {
        let nested_in_action = [
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
        let outer = if self.kind == "booking" && nested_in_action.contains(&field) {
            "action"
        } else {
            field
        };
        BorderError::Value {
            place: self.document.place_of((self.kind, self.index), outer),
            entry: format_smolstr!("{} {}", self.kind, shortened(self.id)),
            field,
            reason: reason.to_string().into(),
        }
    }

    pub(crate) fn parse<T>(self, field: &'static str, text: &str) -> Result<T, BorderError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        text.parse()
            .map_err(|error: T::Err| self.refuse(field, error.to_string()))
    }

    pub(crate) fn parse_all<T, C>(
        self,
        field: &'static str,
        texts: &[String],
    ) -> Result<C, BorderError>
    where
        T: FromStr,
        T::Err: ToString,
        C: FromIterator<T>,
    {
        texts.iter().map(|text| self.parse(field, text)).collect()
    }

    /// Turns a number into an amount by way of its decimal text, which keeps six decimals exact.
    pub(crate) fn amount<T>(self, field: &'static str, number: f64) -> Result<T, BorderError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        // The decimal text of a large number has hundreds of digits.
        if !(0.0..=1e12).contains(&number) {
            return Err(self.refuse(field, format!("{number:?} is not a number from 0 to 1e9")));
        }
        self.parse(field, &format!("{number}"))
    }
}

/// Start of a text, so that an error stays short and moves no cursor, whatever the document holds.
fn shortened(text: &str) -> String {
    printable(text).take(64).collect()
}
