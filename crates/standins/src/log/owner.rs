//! The task that owns the streams and the waiting readers.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::Offset;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::stream::{Stored, Stream};
use super::{LogFaults, LogOptions, LoseBy};

/// Messages to the owner.
#[derive(Debug)]
pub(super) enum Message {
    Append {
        stream: String,
        records: Vec<String>,
        reply: oneshot::Sender<Answer>,
    },
    Read {
        read: ReadCall,
        wait: Duration,
        reply: oneshot::Sender<Answer>,
    },
    SetFaults {
        faults: LogFaults,
        reply: oneshot::Sender<()>,
    },
}

#[derive(Debug)]
pub(super) struct ReadCall {
    pub(super) stream: String,
    pub(super) from: Offset,
    pub(super) max: usize,
}

/// Result of a call and the delay before it is sent.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) delay: Duration,
    pub(super) outcome: CallOutcome,
}

#[derive(Debug)]
pub(super) enum CallOutcome {
    Appended(Offset),
    Lost(LoseBy),
    TooMany,
    Down,
    Gone(Offset),
    Page {
        first_retained: Offset,
        next: Offset,
        records: Vec<Stored>,
    },
}

/// Reader that waits for records.
struct Waiting {
    read: ReadCall,
    until: Instant,
    reply: oneshot::Sender<Answer>,
}

struct Owner {
    options: LogOptions,
    faults: LogFaults,
    streams: BTreeMap<String, Stream>,
    waiting: Vec<Waiting>,
    frozen: Vec<Message>,
    tokens: f64,
    refilled: Instant,
}

/// Handles messages until all senders are gone.
pub(super) async fn run(mut inbox: mpsc::Receiver<Message>, options: LogOptions) {
    let mut owner = Owner::new(options);
    loop {
        let due = owner.next_expiry();
        let timer = async {
            match due {
                Some(due) => sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => owner.handle(message),
                None => return,
            },
            () = timer => owner.expire(),
        }
    }
}

impl Owner {
    fn new(options: LogOptions) -> Self {
        Self {
            options,
            faults: LogFaults::default(),
            streams: BTreeMap::new(),
            waiting: Vec::new(),
            frozen: Vec::new(),
            tokens: f64::from(options.append_rate),
            refilled: Instant::now(),
        }
    }

    /// Returns when the next reader has waited long enough; a frozen service answers none.
    fn next_expiry(&self) -> Option<Instant> {
        if self.faults.freeze {
            return None;
        }
        self.waiting.iter().map(|w| w.until).min()
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::SetFaults { faults, reply } => {
                self.set_faults(faults);
                let _ = reply.send(());
            }
            message if self.faults.freeze => self.frozen.push(message),
            Message::Append {
                stream,
                records,
                reply,
            } => {
                let outcome = self.append(&stream, records);
                self.answer(reply, outcome);
                self.wake(&stream);
            }
            Message::Read { read, wait, reply } => self.read(read, wait, reply),
        }
    }

    fn answer(&self, reply: oneshot::Sender<Answer>, outcome: CallOutcome) {
        let delay = Duration::from_millis(self.faults.delay_ms);
        // A caller that has gone needs no answer.
        let _ = reply.send(Answer { delay, outcome });
    }

    fn set_faults(&mut self, faults: LogFaults) {
        self.faults = faults;
        if !faults.freeze {
            for message in std::mem::take(&mut self.frozen) {
                self.handle(message);
            }
        }
        if faults.down {
            for waiting in std::mem::take(&mut self.waiting) {
                self.answer(waiting.reply, CallOutcome::Down);
            }
        }
    }

    fn append(&mut self, name: &str, records: Vec<String>) -> CallOutcome {
        if self.faults.down {
            return CallOutcome::Down;
        }
        if !self.take_token() {
            return CallOutcome::TooMany;
        }
        let stream = self.streams.entry(name.to_owned()).or_default();
        let first = stream.append(records);
        stream.evict(&self.options);
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return CallOutcome::Lost(self.faults.lose_by);
        }
        CallOutcome::Appended(first)
    }

    /// Takes one append from a bucket that holds at most one second's worth.
    fn take_token(&mut self) -> bool {
        let rate = f64::from(self.options.append_rate);
        let now = Instant::now();
        let gained = now.duration_since(self.refilled).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(rate);
        self.refilled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn read(&mut self, read: ReadCall, wait: Duration, reply: oneshot::Sender<Answer>) {
        if self.faults.down {
            return self.answer(reply, CallOutcome::Down);
        }
        let stream = self.streams.entry(read.stream.clone()).or_default();
        stream.evict(&self.options);
        if read.from < stream.end() || wait.is_zero() {
            let outcome = self.page(&read);
            return self.answer(reply, outcome);
        }
        self.waiting.push(Waiting {
            read,
            until: Instant::now() + wait,
            reply,
        });
    }

    fn page(&self, read: &ReadCall) -> CallOutcome {
        let Some(stream) = self.streams.get(&read.stream) else {
            return CallOutcome::Gone(Offset(0));
        };
        let first_retained = stream.first_retained();
        if read.from < first_retained {
            return CallOutcome::Gone(first_retained);
        }
        let records = stream.read(read.from, read.max);
        CallOutcome::Page {
            first_retained,
            next: records.last().map_or(read.from, |r| r.offset.next()),
            records,
        }
    }

    /// Answers the readers of a stream for which records arrived.
    fn wake(&mut self, name: &str) {
        let end = self.streams.get(name).map(Stream::end).unwrap_or_default();
        self.release(|w| w.read.stream == name && w.read.from < end);
    }

    /// Answers the readers whose waiting time is over.
    fn expire(&mut self) {
        let now = Instant::now();
        self.release(|w| w.until <= now);
    }

    fn release(&mut self, is_due: impl Fn(&Waiting) -> bool) {
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(is_due);
        self.waiting = waiting;
        for waiting in due {
            let outcome = self.page(&waiting.read);
            self.answer(waiting.reply, outcome);
        }
    }
}
