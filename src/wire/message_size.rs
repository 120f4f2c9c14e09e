//! Sizes of the messages between a controller and a worker. PROTOCOL limits them, but not the
//! number of tasks on a machine, so the controllers limit the number of tasks.

use crate::http::BODY_LIMIT;

/// Maximum size of a message without its list of tasks or commands, in bytes. A status
/// contains a few numbers and the names of the machine, its type and its zone.
pub const MESSAGE_HEAD_BYTES: usize = 1024;

/// Maximum size of a task's entry in a status, and of a command, in bytes, with the separator
/// from the next one. A status may be written with spaces after colons and commas.
pub const TASK_ENTRY_BYTES: usize = 128;

/// Maximum number of bytes by which a task's entry in a status becomes longer when the task is
/// stopped: the reason why it has ended, and whether its progress was saved.
pub(super) const STOPPED_ENTRY_GROWTH_BYTES: usize = 40;

/// Maximum number of tasks that a worker's status can list, and of commands that a message to
/// a worker can contain, within the size that PROTOCOL allows.
pub const MAX_TASKS_PER_MESSAGE: usize = (BODY_LIMIT - MESSAGE_HEAD_BYTES) / TASK_ENTRY_BYTES;
