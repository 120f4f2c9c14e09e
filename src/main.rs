//! The program `shelfhoist`; `shelfhoist::cli` has all of it.

fn main() -> std::process::ExitCode {
    shelfhoist::cli::main()
}
