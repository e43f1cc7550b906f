//! `cornelctl`, the command-line client for operators.

fn main() -> std::process::ExitCode {
    cornelvalve_ctl::main()
}
