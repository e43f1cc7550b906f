//! The operators' client.

fn main() -> std::process::ExitCode {
    cornelvalve_ctl::main()
}
