//! One gateway process between callers, targets and a store, all on free ports of this machine.

mod configuration;
mod requests;
mod setting;
mod stops;
