//! shelfhoist: a small cluster scheduler.
//!
//! Controllers keep all their state in a key-value service, admit gangs whole
//! by zone with one conditional write, and drive the workers that report to
//! them. `docs/design.md` says what rests on which published design.

pub mod admission;
pub mod api;
pub mod cli;
pub mod draft;
pub mod fleet;
pub mod http;
pub mod machines;
pub mod mesh;
pub mod model;
pub mod net;
pub mod node;
pub mod ops;
pub mod pipeline;
pub mod placement;
pub mod policy;
pub mod record_trim;
pub mod settings;
pub mod shrink;
pub mod store;
pub mod text;
pub mod view;
pub mod wire;
