//! Task that owns the streams, the pending reads and the active faults of the log stand-in.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::Offset;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::stream::{StoredRecord, Stream};
use super::{LogFaults, LogOptions, LoseBy};

/// Message to the owner task.
#[derive(Debug)]
pub(super) enum Message {
    Append {
        stream: String,
        records: Vec<String>,
        reply: oneshot::Sender<Reply>,
    },
    Read {
        request: ReadRequest,
        /// Time for which the read waits if there is no record to return yet.
        max_wait: Duration,
        reply: oneshot::Sender<Reply>,
    },
    SetFaults {
        faults: LogFaults,
        reply: oneshot::Sender<()>,
    },
}

/// Read of the records of one stream.
#[derive(Debug)]
pub(super) struct ReadRequest {
    pub(super) stream: String,
    /// Offset of the first record to return.
    pub(super) from: Offset,
    /// Maximum number of records to return.
    pub(super) max: usize,
}

/// Outcome of a call and the delay before its response is sent.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) delay: Duration,
    pub(super) outcome: CallOutcome,
}

/// Outcome of an append or a read.
#[derive(Debug)]
pub(super) enum CallOutcome {
    /// The records were appended, the first of them at this offset.
    Appended(Offset),
    /// The records were appended, but the response is to be lost.
    ResponseLost(LoseBy),
    /// The append exceeded the rate limit.
    RateLimited,
    /// The service is down.
    Down,
    /// The records to read were evicted; this is the first offset that is retained.
    Gone(Offset),
    /// The records that were read.
    Records {
        first_retained: Offset,
        /// Offset from which the next read continues.
        next: Offset,
        records: Vec<StoredRecord>,
    },
}

/// Read that waits for records.
struct PendingRead {
    request: ReadRequest,
    /// Time at which the read gets a reply even without records.
    deadline: Instant,
    reply: oneshot::Sender<Reply>,
}

/// State of the owner task.
struct Owner {
    options: LogOptions,
    faults: LogFaults,
    streams: BTreeMap<String, Stream>,
    pending: Vec<PendingRead>,
    /// Messages that arrived while the service was frozen.
    frozen: Vec<Message>,
    /// Token bucket of the append rate limit: tokens left at the time `refilled_at`.
    tokens: f64,
    refilled_at: Instant,
}

/// Runs the owner until all senders of its mailbox are dropped.
pub(super) async fn run(mut inbox: mpsc::Receiver<Message>, options: LogOptions) {
    let mut owner = Owner::new(options);
    loop {
        let deadline = owner.next_deadline();
        let timer = async {
            match deadline {
                Some(deadline) => sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => owner.handle(message),
                None => return,
            },
            () = timer => owner.reply_to_expired(),
        }
    }
}

impl Owner {
    fn new(options: LogOptions) -> Self {
        Self {
            options,
            faults: LogFaults::default(),
            streams: BTreeMap::new(),
            pending: Vec::new(),
            frozen: Vec::new(),
            tokens: f64::from(options.append_rate),
            refilled_at: Instant::now(),
        }
    }

    /// Returns the earliest deadline of a pending read.
    ///
    /// Returns `None` if no read is pending, or if the service is frozen and so replies to none.
    fn next_deadline(&self) -> Option<Instant> {
        if self.faults.freeze {
            return None;
        }
        self.pending.iter().map(|p| p.deadline).min()
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
                self.send_reply(reply, outcome);
                self.reply_to_readable(&stream);
            }
            Message::Read {
                request,
                max_wait,
                reply,
            } => self.read(request, max_wait, reply),
        }
    }

    fn send_reply(&self, reply: oneshot::Sender<Reply>, outcome: CallOutcome) {
        let delay = Duration::from_millis(self.faults.delay_ms);
        // Fails only if the caller has disconnected.
        let _ = reply.send(Reply { delay, outcome });
    }

    fn set_faults(&mut self, faults: LogFaults) {
        self.faults = faults;
        if !faults.freeze {
            for message in std::mem::take(&mut self.frozen) {
                self.handle(message);
            }
        }
        if faults.down {
            for read in std::mem::take(&mut self.pending) {
                self.send_reply(read.reply, CallOutcome::Down);
            }
        }
    }

    fn append(&mut self, name: &str, records: Vec<String>) -> CallOutcome {
        if self.faults.down {
            return CallOutcome::Down;
        }
        if !self.take_token() {
            return CallOutcome::RateLimited;
        }
        let stream = self.streams.entry(name.to_owned()).or_default();
        let first = stream.append(records);
        stream.evict(&self.options);
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return CallOutcome::ResponseLost(self.faults.lose_by);
        }
        CallOutcome::Appended(first)
    }

    /// Takes a token for one append; returns whether there was one.
    ///
    /// The capacity of the bucket equals the rate, which allows a burst of one second's appends.
    fn take_token(&mut self) -> bool {
        let rate = f64::from(self.options.append_rate);
        let now = Instant::now();
        let gained = now.duration_since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(rate);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Replies to a read at once, or keeps it pending until records arrive or `max_wait` is over.
    fn read(&mut self, request: ReadRequest, max_wait: Duration, reply: oneshot::Sender<Reply>) {
        if self.faults.down {
            return self.send_reply(reply, CallOutcome::Down);
        }
        let stream = self.streams.entry(request.stream.clone()).or_default();
        stream.evict(&self.options);
        if request.from < stream.end() || max_wait.is_zero() {
            let outcome = self.read_now(&request);
            return self.send_reply(reply, outcome);
        }
        self.pending.push(PendingRead {
            request,
            deadline: Instant::now() + max_wait,
            reply,
        });
    }

    /// Returns the records that exist now, without waiting.
    fn read_now(&self, request: &ReadRequest) -> CallOutcome {
        // Does not fail, because `read` has created the stream.
        let Some(stream) = self.streams.get(&request.stream) else {
            return CallOutcome::Gone(Offset(0));
        };
        let first_retained = stream.first_retained();
        if request.from < first_retained {
            return CallOutcome::Gone(first_retained);
        }
        let records = stream.read(request.from, request.max);
        CallOutcome::Records {
            first_retained,
            next: records.last().map_or(request.from, |r| r.offset.next()),
            records,
        }
    }

    /// Replies to the pending reads of a stream to which their records have been appended.
    fn reply_to_readable(&mut self, name: &str) {
        let end = self.streams.get(name).map(Stream::end).unwrap_or_default();
        self.reply_to_pending(|p| p.request.stream == name && p.request.from < end);
    }

    /// Replies to the pending reads whose deadline has passed.
    fn reply_to_expired(&mut self) {
        let now = Instant::now();
        self.reply_to_pending(|p| p.deadline <= now);
    }

    /// Replies to the pending reads for which `is_due` returns true, and keeps the others.
    fn reply_to_pending(&mut self, is_due: impl Fn(&PendingRead) -> bool) {
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(is_due);
        self.pending = pending;
        for read in due {
            let outcome = self.read_now(&read.request);
            self.send_reply(read.reply, outcome);
        }
    }
}
