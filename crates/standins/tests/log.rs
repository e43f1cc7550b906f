//! Tests of the parts of the log stand-in that its Rust client does not use: setting faults over
//! HTTP, and the program.

use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};

use cornelvalve_standins::LogStandIn;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends one request and returns the status line of the response.
async fn send_request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<String> {
    let mut stream = TcpStream::connect(addr).await?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: log\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response.lines().next().unwrap_or_default().to_owned())
}

/// Guards against faults that have no effect when set over HTTP, and against misspelled faults that
/// are ignored, so that a test would run without its fault.
#[tokio::test]
async fn faults_are_set_over_http() -> io::Result<()> {
    let (addr, _handle) = LogStandIn::start((Ipv4Addr::LOCALHOST, 0).into()).await?;
    let append_body = r#"{"records":["YQ=="]}"#;
    let status = send_request(addr, "PUT", "/faults", r#"{"down":true}"#).await?;
    assert_eq!(status, "HTTP/1.1 204 No Content");
    let status = send_request(addr, "POST", "/streams/s/records", append_body).await?;
    assert_eq!(status, "HTTP/1.1 503 Service Unavailable");

    let status = send_request(addr, "PUT", "/faults", r#"{"dwon":false}"#).await?;
    assert_eq!(status, "HTTP/1.1 422 Unprocessable Entity");
    send_request(addr, "PUT", "/faults", "{}").await?;
    let status = send_request(addr, "POST", "/streams/s/records", append_body).await?;
    assert_eq!(status, "HTTP/1.1 200 OK");
    let status = send_request(addr, "POST", "/streams/s/records", r#"{"records":["?"]}"#).await?;
    assert_eq!(status, "HTTP/1.1 400 Bad Request");
    Ok(())
}

/// Kills a child process on drop, also when an assertion fails.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a program that does not print the address it listens on; scripts that start it
/// read the port from there.
#[tokio::test]
async fn program_prints_its_address() -> io::Result<()> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin-log"))
        .args(["--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout = child.stdout.take();
    let _guard = KillOnDrop(child);
    let mut line = String::new();
    BufReader::new(stdout.expect("piped")).read_line(&mut line)?;
    let printed: serde_json::Value = serde_json::from_str(&line)?;
    let addr = printed["listen"].as_str().expect("address as text");
    let addr = addr.parse().expect("valid address");
    let status = send_request(addr, "GET", "/streams/s/records?from=0", "").await?;
    assert_eq!(status, "HTTP/1.1 200 OK");
    Ok(())
}
