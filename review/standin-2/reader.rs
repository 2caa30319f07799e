//! Clients on kept connections stop reading for a while in the middle of a download.

use crate::Outcome;
use crate::http;
use crate::mesh::{Mesh, Place};
use crate::record::Record;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Length of an answer in bytes: the longest of the site's `statement-bundle`.
const LENGTH: usize = 540_000;
/// Time that the clients wait for an answer, in milliseconds, as in the site's sheet.
const DEADLINE: u64 = 6000;
/// Time for which a client doesn't read, in milliseconds.
const PAUSE: u64 = 2500;
/// Downloads of each client.
const DOWNLOADS: u64 = 3;
/// Answers that may be lost by the rule.
const PERMITTED: usize = 3;

const CONFIG: &str = r#"{"version":"r3","services":[
{"name":"releve","healthPath":"/health","maxConnections":430}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3s","idleTimeout":"15s"},
"virtualHosts":[{"host":"shop.example","paths":[
{"name":"statement","pathPrefix":"/statement/","kind":"download","timeout":"5000ms",
"targetLatency":"1000ms","priority":2,"maxAttempts":2,"service":"releve"}]}]}"#;

pub fn run(record: &Arc<Record>, folder: &Path, is_troubled: bool) -> Outcome {
    let zones = ["mtl-a", "mtl-b", "mtl-c", "mtl-d", "mtl-e"];
    let places = zones.map(|zone| Place::new(zone, "releve"));
    let mesh = Mesh::start(record.clone(), folder, places.into(), CONFIG);
    if !mesh.wait_ready() {
        return Outcome::NotRun("the proxies did not become ready");
    }
    record.wait_until(record.now() + 8000);
    let pause = if is_troubled { PAUSE } else { 0 };
    let lost: usize = thread::scope(|scope| {
        let clients = (0..mesh.machines.len()).map(|number| {
            let address = mesh.callers(number);
            scope.spawn(move || download(record, number, address, pause))
        });
        let clients: Vec<_> = clients.collect();
        clients.into_iter().map(|c| c.join().unwrap_or(0)).sum()
    });
    let runs = mesh.runs.lock().unwrap().len();
    record.log(&format!(
        "servers ran {runs} requests; {lost} connections ended without a complete answer, of which \
         {PERMITTED} are permitted"
    ));
    match (runs, lost > PERMITTED) {
        (0, _) => Outcome::NotRun("no request was run"),
        (_, true) => Outcome::Broken,
        (_, false) => Outcome::Held,
    }
}

/// Downloads some times, each time as the second request of a connection; returns how many answers
/// did not arrive whole within the deadline.
fn download(record: &Record, number: usize, address: SocketAddr, pause: u64) -> usize {
    let mut lost = 0;
    for turn in 0..DOWNLOADS {
        let result = fetch(record, number, turn, address, pause);
        let text = match &result {
            Ok(length) => format!("{length} bytes, whole"),
            Err(error) => format!("no complete answer: {error}"),
        };
        record.log(&format!("client {number} gets for download {turn}: {text}"));
        lost += usize::from(result.is_err());
    }
    lost
}

fn fetch(
    record: &Record,
    number: usize,
    turn: u64,
    address: SocketAddr,
    pause: u64,
) -> io::Result<usize> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    send(&stream, "/statement/100", &format!("small-{number}-{turn}"))?;
    http::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.log(&format!(
        "client {number} sends download {turn} on a kept connection"
    ));
    let path = format!("/statement/{LENGTH}");
    send(&stream, &path, &format!("download-{number}-{turn}"))?;
    let mut line = String::new();
    reader.read_line(&mut line)?;
    if !line.starts_with("HTTP/1.1 200") {
        return Err(io::Error::other(line));
    }
    while !line.trim_end().is_empty() {
        line.clear();
        reader.read_line(&mut line)?;
    }
    thread::sleep(Duration::from_millis(pause));
    let mut body = vec![0; LENGTH];
    reader.read_exact(&mut body)?;
    Ok(body.len())
}

fn send(mut stream: &TcpStream, path: &str, id: &str) -> io::Result<()> {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Rosemaryfork-Request-Id: {id}\r\n\
         X-Rosemaryfork-Deadline-Ms: {DEADLINE}\r\n\r\n"
    );
    stream.write_all(request.as_bytes())
}
