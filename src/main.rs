fn main() -> std::process::ExitCode {
    shelfhoist::cli::main()
}
