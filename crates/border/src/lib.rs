//! The text formats at the border: configuration documents and settings, in YAML or JSON.
//!
//! - [`generated`]: types generated from the JSON Schema files in `schema/`, committed.
//! - [`document`]: turns documents into inventory records.
//! - [`index`]: the list of parts that make one version.
//! - [`settings`]: settings of one daemon.
//!
//! The generated files come from `cargo typify -B schema/NAME.schema.json -o src/generated/NAME.rs`.

pub mod document;
pub mod generated;
pub mod index;
pub mod settings;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        document::{
            BorderError, //
            read_document,
            read_parts,
        },
        index::{
            ConfigIndex,
            IndexPart, //
        },
        settings::HostSettings,
    };
}
