//! Runs programs of the workspace as child processes, and repeats checks until they succeed.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Time limit of one step of a test, long enough for a heavily loaded machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Child process that is killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and returns it with the JSON line that it prints when it is ready.
    pub(crate) fn start(program: &str, args: &[&str]) -> (Self, serde_json::Value) {
        Self::start_logged(program, args, Stdio::null())
    }

    /// Starts a program with a destination for its standard error, to which it writes log lines.
    pub(crate) fn start_logged(
        program: &str,
        args: &[&str],
        stderr: Stdio,
    ) -> (Self, serde_json::Value) {
        let mut child = Command::new(binary(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .unwrap_or_else(|e| panic!("{program} did not start: {e}"));
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("stdout is readable");
        let ready = serde_json::from_str(&line)
            .unwrap_or_else(|e| panic!("{program} printed {line:?} instead of JSON: {e}"));
        (Self { child }, ready)
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "signal {name} was not delivered");
    }

    /// Pauses the process with the signal `STOP` and waits until all of its threads are stopped.
    /// The signal `CONT` resumes it.
    pub(crate) fn pause(&self) {
        self.signal("STOP");
        let tasks = format!("/proc/{}/task", self.child.id());
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !all_stopped(Path::new(&tasks)) {
            assert!(
                Instant::now() < deadline,
                "process did not stop within {STEP_TIMEOUT:?}"
            );
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Kills the process and waits until it has exited, which closes its sockets.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("child can be killed");
        self.child.wait().expect("child can be waited for");
    }

    /// Returns the peak resident memory of the process so far, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("process is running");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|l| l.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kilobytes.expect("status contains VmHWM") * 1024
    }

    /// Returns whether the process has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        let status = self.child.try_wait().expect("child can be waited for");
        status.is_some()
    }

    /// Waits until the process exits and returns whether it reported success.
    pub(crate) fn wait(&mut self) -> bool {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("child can be waited for") {
                return status.success();
            }
            assert!(
                Instant::now() < deadline,
                "process did not exit within {STEP_TIMEOUT:?}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors mean that the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether all threads of a process are stopped; `tasks` is its directory of threads.
fn all_stopped(tasks: &Path) -> bool {
    let tasks = std::fs::read_dir(tasks).expect("process exists");
    tasks.flatten().all(|task| {
        let status = std::fs::read_to_string(task.path().join("status")).unwrap_or_default();
        status.contains("State:\tT")
    })
}

/// Returns the path of a program of the workspace; all are in the directory of the daemon's
/// program.
fn binary(program: &str) -> PathBuf {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cornelvalve"));
    daemon.with_file_name(program)
}

/// Runs a program until it exits and returns its output.
pub(crate) fn run(program: &str, args: &[&str]) -> Output {
    Command::new(binary(program))
        .args(args)
        .stdin(Stdio::null())
        .output()
        .unwrap_or_else(|e| panic!("{program} did not run: {e}"))
}

/// Runs `cornelctl` against the daemon at an operators' address until it exits. This blocks the
/// thread; [`ctl_json`] serves tests whose runtime also runs the daemon.
pub(crate) fn cornelctl(daemon: &str, args: &[&str]) -> Output {
    let mut all_args = vec!["--daemon", daemon];
    all_args.extend(args);
    run("cornelctl", &all_args)
}

/// Runs `cornelctl` with JSON output and returns the output. It does not block the runtime, so the
/// daemon may run in the process of the test.
///
/// # Panics
///
/// Panics if `cornelctl` reports a failure.
pub(crate) async fn ctl_json(daemon: std::net::SocketAddr, args: &[&str]) -> serde_json::Value {
    let mut all_args = vec!["--output".to_owned(), "json".to_owned()];
    all_args.extend(args.iter().map(|a| (*a).to_owned()));
    let running = tokio::task::spawn_blocking(move || {
        let args: Vec<&str> = all_args.iter().map(String::as_str).collect();
        cornelctl(&daemon.to_string(), &args)
    });
    let output = running.await.expect("client runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.success(),
        "cornelctl {args:?}: {text} {errors}"
    );
    serde_json::from_str(&text).unwrap_or_else(|e| panic!("{text:?} is not JSON: {e}"))
}

/// Repeats `check` until it succeeds and returns its value.
///
/// # Panics
///
/// Panics with the last error if `check` does not succeed within [`STEP_TIMEOUT`].
pub(crate) async fn eventually<T, F, R>(what: &str, mut check: F) -> T
where
    F: FnMut() -> R,
    R: Future<Output = Result<T, String>>,
{
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        match check().await {
            Ok(value) => return value,
            Err(e) => assert!(
                Instant::now() < deadline,
                "{what}: not within {STEP_TIMEOUT:?}: {e}"
            ),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
