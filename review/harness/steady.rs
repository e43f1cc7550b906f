//! Requesters that send safe requests one after the other on connections that they keep.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::record::Record;

/// Pause of a requester after an answer.
const PAUSE: Duration = Duration::from_millis(350);

/// Pause before a new connection after one has ended.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Request on a kept connection that ended without an answer.
#[derive(Clone, Debug)]
pub struct Unanswered {
    pub attempt: String,
    pub machine: String,
    pub at: Instant,
}

/// What the requesters have seen.
#[derive(Clone, Default)]
pub struct Steady {
    unanswered: Arc<Mutex<Vec<Unanswered>>>,
    answered: Arc<Mutex<usize>>,
}

impl Steady {
    /// Starts the requesters of one machine; they send until told to stop.
    pub fn start(
        &self,
        machine: &str,
        outbound: SocketAddr,
        requesters: usize,
        stop: &Arc<AtomicBool>,
        record: &Record,
    ) {
        for requester in 0..requesters {
            let (seen, stop, record) = (self.clone(), Arc::clone(stop), record.clone());
            let name = format!("{machine}-{requester}");
            let machine = machine.to_owned();
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    seen.use_connection(&machine, &name, outbound, &stop, &mut number, &record);
                    sleep(RECONNECT_PAUSE);
                }
            });
        }
    }

    /// Sends requests on one connection until it ends.
    fn use_connection(
        &self,
        machine: &str,
        name: &str,
        outbound: SocketAddr,
        stop: &AtomicBool,
        number: &mut usize,
        record: &Record,
    ) {
        let Ok(mut stream) = TcpStream::connect_timeout(&outbound, Duration::from_secs(1)) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut kept = false;
        while !stop.load(Ordering::SeqCst) {
            *number += 1;
            let attempt = format!("{name}-{number}");
            let request = format!(
                "GET /estimate/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 2000\r\n\r\n"
            );
            if stream.write_all(request.as_bytes()).is_err() {
                return;
            }
            let Ok(Some(answer)) = read_message(&mut reader) else {
                let kind = if kept { "a kept" } else { "a new" };
                record.line(&format!(
                    "{attempt}: {kind} connection ended without an answer"
                ));
                if kept {
                    let (machine, at) = (machine.to_owned(), Instant::now());
                    let unanswered = Unanswered {
                        attempt,
                        machine,
                        at,
                    };
                    self.unanswered.lock().expect("unanswered").push(unanswered);
                }
                return;
            };
            kept = true;
            *self.answered.lock().expect("answered") += 1;
            if answer.header("connection") == "close" {
                return;
            }
            sleep(PAUSE);
        }
    }

    /// Returns the number of answers.
    pub fn answered(&self) -> usize {
        *self.answered.lock().expect("answered")
    }

    /// Returns the requests on kept connections that ended without an answer.
    pub fn unanswered(&self) -> Vec<Unanswered> {
        self.unanswered.lock().expect("unanswered").clone()
    }
}
