//! Log lines as JSON on standard output, written without ever blocking a task.
//!
//! Lines below warnings are limited to a number in each second, so that load does not make the log
//! grow without bound. A thread of its own writes the lines. What it cannot write in time, because
//! nobody reads the output or there are too many lines, is dropped and counted; the count follows
//! as a line of its own.

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

/// Lines that wait to be written.
const QUEUE_LINES: usize = 2048;

/// Time for which lines are gathered before they are written, so that a busy daemon does not wake
/// the writer for each one.
const GATHER: Duration = Duration::from_millis(100);

/// Lines below warnings that are written in one second: about twice what a daemon writes at the
/// highest load of the users' present sites.
const LINES_PER_SECOND: u64 = 1200;

/// Longest wait for the writer when the process ends.
const END_TIMEOUT: Duration = Duration::from_millis(300);

/// Reports that the logger could not be installed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum LoggingError {
    /// A logger is already installed in this process.
    #[display("a logger is already installed; call logging::init once, at start")]
    Installed,
    /// The writer could not be started.
    #[display("the thread that writes log lines could not be started")]
    NoThread,
}

enum Line {
    Text(Vec<u8>),
    End,
}

/// Writes the lines that are left when it is dropped.
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
        // A full queue means that nobody reads; the process ends without these lines.
        if self.lines.try_send(Line::End).is_err() {
            return;
        }
        let end = Instant::now() + END_TIMEOUT;
        while !thread.is_finished() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Installs the logger of the process.
///
/// # Errors
///
/// Returns [`LoggingError`] if a logger is already installed or the writer cannot be started.
pub fn init(level: log::LevelFilter) -> Result<LogWriter> {
    init_with(level, std::io::stdout())
}

/// Installs a logger that writes to `output`.
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
    let counted = Arc::clone(&dropped);
    let thread = std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&queue, &counted, output))
        .map_err(|_| LoggingError::NoThread)?;
    let append = QueueAppend {
        lines: lines.clone(),
        dropped,
        layout: JsonLayout::default(),
        started: Instant::now(),
        second: AtomicU64::new(0),
        in_second: AtomicU64::new(0),
    };
    let logger = builder()
        .dispatch(|dispatch| dispatch.filter(filter(level)).append(append))
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger))).map_err(|_| LoggingError::Installed)?;
    log::set_max_level(level);
    Ok(LogWriter {
        lines,
        thread: Some(thread),
    })
}

thread_local! {
    /// Lines that the writer itself logs; they do not pass the queue, which may be full. Set in the
    /// writer's thread only.
    static OWN_LINES: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
}

fn write_lines(queue: &Receiver<Line>, dropped: &AtomicU64, mut output: impl Write) {
    OWN_LINES.set(Some(Vec::new()));
    let mut batch = Vec::new();
    let mut ended = false;
    while !ended {
        match queue.recv() {
            Ok(Line::Text(text)) => batch.extend_from_slice(&text),
            Ok(Line::End) | Err(_) => ended = true,
        }
        let end = Instant::now() + GATHER;
        while !ended {
            match queue.recv_timeout(end.saturating_duration_since(Instant::now())) {
                Ok(Line::Text(text)) => batch.extend_from_slice(&text),
                Ok(Line::End) | Err(RecvTimeoutError::Disconnected) => ended = true,
                Err(RecvTimeoutError::Timeout) => break,
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            log::warn!(event = "lines-dropped", count = lost; "lines were not written");
            OWN_LINES.with_borrow_mut(|own| batch.append(own.get_or_insert_default()));
        }
        // Without a reader there is nowhere to report that lines cannot be written.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
    }
}

/// Hands lines to the writer.
#[derive(Debug)]
struct QueueAppend {
    #[debug(skip)]
    lines: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
    layout: JsonLayout,
    started: Instant,
    /// Second since the start, and the limited lines in it.
    second: AtomicU64,
    in_second: AtomicU64,
}

impl QueueAppend {
    /// Tells whether a line may be written.
    fn admits(&self, level: Level) -> bool {
        if level >= Level::Warn {
            return true;
        }
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.in_second.store(0, Ordering::Relaxed);
        }
        self.in_second.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND
    }
}

impl Append for QueueAppend {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> std::result::Result<(), LogforthError> {
        if !self.admits(record.level()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut text = self.layout.format(record, diagnostics)?;
        text.push(b'\n');
        let is_own = OWN_LINES.with_borrow_mut(|own| {
            own.as_mut()
                .map(|own| own.extend_from_slice(&text))
                .is_some()
        });
        if is_own {
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

fn filter(level: log::LevelFilter) -> LevelFilter {
    match level.to_level() {
        None => LevelFilter::Off,
        Some(log::Level::Error) => LevelFilter::MoreSevereEqual(Level::Error),
        Some(log::Level::Warn) => LevelFilter::MoreSevereEqual(Level::Warn),
        Some(log::Level::Info) => LevelFilter::MoreSevereEqual(Level::Info),
        Some(log::Level::Debug) => LevelFilter::MoreSevereEqual(Level::Debug),
        Some(log::Level::Trace) => LevelFilter::MoreSevereEqual(Level::Trace),
    }
}
