//! The text formats at the border: configuration documents and settings, in YAML or JSON.
//!
//! - [`generated`]: types generated from the JSON Schema files in `schema/`, committed.
//! - [`document`]: turns documents into inventory records.
//! - [`sources`]: a parsed document with its text.
//! - [`errors`]: errors with their place and a remedy.
//! - [`index`]: the list of parts that make one version.
//! - [`places`]: bounded parsing, and the place of a value for errors.
//! - [`parts`]: splits an inventory into parts of bounded size.
//! - [`settings`]: settings of one daemon.
//!
//! The generated files come from `cargo typify -B schema/NAME.schema.json -o src/generated/NAME.rs`.

pub mod document;
pub mod errors;
pub mod generated;
pub mod index;
pub mod parts;
pub mod places;
pub mod settings;
pub mod sources;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        document::{
            BorderError,
            SourceDocument, //
            build_snapshot,
            read_document,
            read_parts,
        },
        index::{
            ConfigIndex,
            IndexPart, //
        },
        parts::{
            PartError,
            PartWriter, //
        },
        places::DocumentPlace,
        settings::HostSettings,
    };
}
