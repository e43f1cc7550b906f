//! Writes log lines as JSON to standard output without ever blocking a task.
//!
//! A dedicated thread takes lines from a bounded queue and writes them. Lines at level info or
//! below are limited per second, so that high load does not make the log grow without bound. Lines
//! over that limit, and lines that find the queue full because nobody reads the output or because
//! they come faster than they are written, are dropped; a later line states how many.

use std::cell::RefCell;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use derive_more::{Debug, Display, Error};
use logforth::append::Append;
use logforth::bridge::log::LogBridge;
use logforth::core::builder;
use logforth::layout::{JsonLayout, Layout};
use logforth::record::{Level, LevelFilter, Record};
use logforth::{Diagnostic, Error as LogforthError};

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, LoggingError>;

/// Number of lines that may wait to be written; further lines are dropped.
const QUEUE_LINES: usize = 2048;

/// Time for which lines are collected before they are written, so that the writer thread of a busy
/// daemon does not wake up for every line.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Size in bytes from which a batch is written without waiting for further lines, so that it does not
/// grow while lines come without a pause.
const MAX_BATCH_BYTES: usize = 256 * 1024;

/// Maximum number of lines at level info or below that are written per second: about twice what a
/// daemon writes at the highest load of the users' present sites.
const MAX_LINES_PER_SECOND: u64 = 1200;

/// Longest time for which the process waits for the writer when it exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Error of installing the logger.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum LoggingError {
    /// A logger is already installed in this process.
    #[display("a logger is already installed; call logging::init once, at start")]
    AlreadyInstalled,
    /// The writer thread could not be started.
    #[display(
        "the thread that writes log lines could not be started; check the limits on threads and memory"
    )]
    SpawnFailed,
}

/// Item of the writer's queue.
enum Line {
    /// A formatted line.
    Text(Vec<u8>),
    /// Tells the writer to write what is queued and exit.
    End,
}

/// Handle of the writer thread. Dropping it writes the queued lines and ends the thread.
#[derive(Debug)]
pub struct LogWriter {
    #[debug(skip)]
    lines: SyncSender<Line>,
    #[debug(skip)]
    thread: Option<JoinHandle<()>>,
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        // The queue is full because nobody reads the output: exit without writing these lines.
        if self.lines.try_send(Line::End).is_err() {
            return;
        }
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        // Polled, because a thread cannot be joined with a timeout.
        while !thread.is_finished() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Installs the logger of the process, which writes to standard output.
///
/// The returned handle must be kept until the process exits.
///
/// # Errors
///
/// Returns [`LoggingError`] if a logger is already installed or the writer cannot be started.
pub fn init(level: log::LevelFilter) -> Result<LogWriter> {
    init_with(level, std::io::stdout())
}

/// Installs the logger of the process, which writes to `output`.
///
/// The returned handle must be kept until the process exits.
///
/// # Errors
///
/// Returns [`LoggingError`] if a logger is already installed or the writer cannot be started.
pub fn init_with(
    level: log::LevelFilter,
    output: impl Write + Send + 'static,
) -> Result<LogWriter> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer_dropped = Arc::clone(&dropped);
    let thread = std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&queue, &writer_dropped, output))
        .map_err(|_| LoggingError::SpawnFailed)?;
    let appender = QueueAppender {
        lines: lines.clone(),
        dropped,
        layout: JsonLayout::default(),
        started: Instant::now(),
        second: AtomicU64::new(0),
        second_lines: AtomicU64::new(0),
    };
    let logger = builder()
        .dispatch(|dispatch| dispatch.filter(level_filter(level)).append(appender))
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger)))
        .map_err(|_| LoggingError::AlreadyInstalled)?;
    log::set_max_level(level);
    Ok(LogWriter {
        lines,
        thread: Some(thread),
    })
}

thread_local! {
    /// Lines that the writer thread itself logs. They bypass the queue, which may be full. `None`
    /// in all other threads.
    static WRITER_LINES: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
}

/// Writes queued lines in batches until the handle is dropped; runs in the writer thread.
fn write_lines(queue: &Receiver<Line>, dropped: &AtomicU64, mut output: impl Write) {
    WRITER_LINES.set(Some(Vec::new()));
    let mut batch = Vec::new();
    let mut ended = false;
    while !ended {
        match queue.recv() {
            Ok(Line::Text(text)) => batch.extend_from_slice(&text),
            Ok(Line::End) | Err(_) => ended = true,
        }
        let batch_end = Instant::now() + BATCH_DELAY;
        while !ended && batch.len() < MAX_BATCH_BYTES {
            // With no time left, `recv_timeout` would still return a line that waits.
            let left = batch_end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            match queue.recv_timeout(left) {
                Ok(Line::Text(text)) => batch.extend_from_slice(&text),
                Ok(Line::End) | Err(RecvTimeoutError::Disconnected) => ended = true,
                Err(RecvTimeoutError::Timeout) => break,
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            log::warn!(event = "lines-dropped", count = lost; "log lines were dropped: too many per second, or output not read");
            WRITER_LINES.with_borrow_mut(|lines| batch.append(lines.get_or_insert_default()));
        }
        // There is nowhere to report that the output cannot be written.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
    }
}

/// Formats lines and queues them for the writer thread.
#[derive(Debug)]
struct QueueAppender {
    #[debug(skip)]
    lines: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
    layout: JsonLayout,
    started: Instant,
    /// Current second since the start, for the rate limit.
    second: AtomicU64,
    /// Lines at level info or below in the current second.
    second_lines: AtomicU64,
}

impl QueueAppender {
    /// Returns whether the rate limit allows a line of this level; warnings and errors always pass.
    fn is_allowed(&self, level: Level) -> bool {
        if level >= Level::Warn {
            return true;
        }
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.second_lines.store(0, Ordering::Relaxed);
        }
        self.second_lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}

impl Append for QueueAppender {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> std::result::Result<(), LogforthError> {
        if !self.is_allowed(record.level()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut text = self.layout.format(record, diagnostics)?;
        text.push(b'\n');
        let is_writer = WRITER_LINES.with_borrow_mut(|lines| {
            lines
                .as_mut()
                .map(|lines| lines.extend_from_slice(&text))
                .is_some()
        });
        if is_writer {
            return Ok(());
        }
        if self.lines.try_send(Line::Text(text)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::result::Result<(), LogforthError> {
        Ok(())
    }
}

/// Converts a level of the `log` crate to the filter of `logforth`.
fn level_filter(level: log::LevelFilter) -> LevelFilter {
    match level.to_level() {
        None => LevelFilter::Off,
        Some(log::Level::Error) => LevelFilter::MoreSevereEqual(Level::Error),
        Some(log::Level::Warn) => LevelFilter::MoreSevereEqual(Level::Warn),
        Some(log::Level::Info) => LevelFilter::MoreSevereEqual(Level::Info),
        Some(log::Level::Debug) => LevelFilter::MoreSevereEqual(Level::Debug),
        Some(log::Level::Trace) => LevelFilter::MoreSevereEqual(Level::Trace),
    }
}
