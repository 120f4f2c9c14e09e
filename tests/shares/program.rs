//! Runs the program as a process.

use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

/// Runs the program with these arguments and returns its output.
pub fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shelfhoist"));
    command.args(arguments).output().expect("the program")
}

/// A temporary file, which is removed when this value is dropped.
pub struct TemporaryFile(PathBuf);

impl TemporaryFile {
    pub fn new(name: &str, text: &str) -> Self {
        let name = format!("shelfhoist-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a file");
        TemporaryFile(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().expect("a path")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A controller that runs as a separate process. Dropping this value kills the process without a
/// shutdown.
pub struct Controller(Child);

impl Controller {
    pub fn start(settings: &str, features: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shelfhoist"));
        let command = command.args(["--features-file", features, "--config", settings]);
        let command = command.env("LOG_LEVEL", "error").stdin(Stdio::null());
        Controller(command.spawn().expect("a controller"))
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
