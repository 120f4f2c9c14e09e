//! shelfhoist: a small cluster scheduler.
//!
//! Controllers keep all their state in a key-value service, admit gangs whole
//! by zone with one conditional write, and drive the workers that report to
//! them. `docs/design.md` says what rests on which published design.

pub mod api;
pub mod cli;
pub mod cloud;
pub mod http;
pub mod mesh;
pub mod model;
pub mod net;
pub mod node;
pub mod ops;
pub mod pipeline;
pub mod policy;
pub mod record_trim;
pub mod scheduler;
pub mod settings;
pub mod compaction;
pub mod store;
pub mod text;
pub mod replica;
pub mod wire;
pub mod workers;

pub use cloud as fleet;
pub use scheduler as admission;
pub use scheduler as transaction;
pub use scheduler as placement;
pub use workers as machines;
