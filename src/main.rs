//! Program `shelfhoist`. See `shelfhoist::cli` for the command line.

fn main() -> std::process::ExitCode {
    shelfhoist::cli::main()
}
