//! Configuration documents and daemon settings as text, in YAML or JSON.
//!
//! - [`generated`]: types generated from the JSON Schema files in `schema/`, committed.
//! - [`document`]: converts documents into inventory records.
//! - [`sources`]: a parsed document that keeps its text to locate errors.
//! - [`errors`]: errors with the location of the fault and a remedy.
//! - [`index`]: the list of parts that make up one version of the configuration.
//! - [`parsing`]: parses text within limits on size and nesting, and locates values.
//! - [`parts`]: splits an inventory into parts of bounded size.
//! - [`settings`]: settings of one daemon.
//!
//! The generated files come from `cargo typify -B schema/NAME.schema.json -o src/generated/NAME.rs`.

pub mod document;
pub mod errors;
pub mod generated;
pub mod index;
pub mod parsing;
pub mod parts;
pub mod settings;
pub mod sources;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        document::{
            DocumentError,
            SourceDocument,
            build_snapshot,
            read_document,
            read_parts, //
        },
        index::{
            ConfigIndex,
            IndexPart, //
        },
        parsing::DocumentLocation,
        parts::{
            PartError,
            PartWriter, //
        },
        settings::HostSettings,
    };
}
