//! Stand-in for a backend server of the users' platform.
//!
//! It records every request, and answers, fails or violates the protocol as its behaviour says. A
//! crash of its process is simulated by closing its connections and its port for a while.

use crate::raw_answer::{AnswerStart, Endless, RawAnswer};
use async_std::net::TcpListener;
use async_std::task;
use futures_lite::FutureExt;
use futures_lite::future::pending;
use rf_base::{Millis, SeededRandom};
use rf_transport::h1::{Connection, Framing, ReadLimits, RequestHead, ResponseHead, frame_request};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Time for which the port stays closed after a crash.
pub const RESTART_DELAY: Millis = Millis(1500);
/// Interval at which waiting tasks check for a crash.
const POLL_INTERVAL: Millis = Millis(10);

/// Behaviour of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ServerBehaviour {
    /// Runs every request and answers with status 200.
    #[default]
    Good,
    /// Sends each response twice.
    AnswersTwice,
    /// Sends responses without a length and closes the connection after each.
    Unframed,
    /// Closes the connection in the middle of each response body.
    Truncates,
    /// Answers with status 200 but without the signature header.
    Unsigned,
    /// Answers with bytes that are not HTTP and closes the connection.
    Garbles,
    /// Refuses with status 503 and the header that says that the request was not executed.
    Sheds,
    /// Rejects each request when it arrives for the first time, and sends the rejection once more
    /// when the next request arrives on the connection.
    RepeatsRejections {
        /// Whether a rejection names its request.
        is_named: bool,
    },
    /// Closes the connection after this number of bytes of each response.
    CutsAfter(usize),
    /// Runs the request and closes the connection without a response.
    LosesAnswers,
    /// Runs the request and answers with status 500.
    Fails,
    /// Sends response bodies of at least this many bytes that cannot be compressed.
    Long(usize),
    /// Answers a request that has a body before reading that body, then reads it.
    Early,
    /// Sends a part of a response without end until the peer closes the connection.
    Endless(Endless),
    /// Answers with raw bytes, after which the connection is not used again.
    Raw(RawAnswer),
    /// Crashes on requests whose target contains this text; the port is open again after
    /// [`RESTART_DELAY`].
    CrashesOn(String),
}

/// What the backend server says about itself in every answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statements {
    /// Values of `Server-Limit`, one header each.
    pub limits: Vec<String>,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
}

impl Statements {
    /// Names one limit.
    pub fn limit(limit: &str) -> Statements {
        Statements {
            limits: vec![limit.to_owned()],
            ..Statements::default()
        }
    }

    fn add_to(&self, head: &mut ResponseHead) {
        for limit in &self.limits {
            head.headers.add("Server-Limit", limit);
        }
        if self.is_leaving {
            head.headers.add("Server-Leaving", "1");
        }
    }
}

/// A request as received by a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Request id of the caller; empty if absent.
    pub request_id: String,
    /// Request line and headers.
    pub head: RequestHead,
    /// Decoded body.
    pub body: Vec<u8>,
    /// Whether it began to run; false if it was refused.
    pub has_run: bool,
    /// Whether its connection closed before its run or its response ended.
    pub was_cut: bool,
    /// Id of the process that received it.
    pub process: String,
    /// Time at which it was received completely.
    pub at: Instant,
}

impl Arrival {
    /// Returns the value of a header of the request.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)
    }
}

#[derive(Debug)]
struct State {
    id: String,
    behaviour: ServerBehaviour,
    run_time: Millis,
    /// Headers added to every answer.
    statements: Statements,
    running: u32,
    most_running: u32,
    arrivals: Vec<Arrival>,
    crashes: u32,
    /// Number of crashes after which the port has been closed.
    port_closures: u32,
}

/// A running backend server; clones share its state.
#[derive(Clone, Debug)]
pub struct UsersServer {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl UsersServer {
    /// Starts a backend server at `address` whose process has the given id.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address is not available.
    pub async fn start(id: &str, address: SocketAddr) -> io::Result<UsersServer> {
        let listener = TcpListener::bind(address).await?;
        let state = State {
            id: id.to_owned(),
            behaviour: ServerBehaviour::default(),
            run_time: Millis(5),
            statements: Statements::default(),
            running: 0,
            most_running: 0,
            arrivals: Vec::new(),
            crashes: 0,
            port_closures: 0,
        };
        let server = UsersServer {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
        };
        task::spawn(server.clone().listen(listener));
        Ok(server)
    }

    /// Accepts connections. After a crash, the open ones are cut and the port is closed for
    /// [`RESTART_DELAY`].
    async fn listen(self, mut listener: TcpListener) {
        loop {
            let crashes = self.lock().port_closures;
            let accepting = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let server = self.clone();
                    let serving = async move { server.serve(Connection::new(stream)).await };
                    let server = self.clone();
                    let cutting = async move { server.wait_closed(crashes).await };
                    task::spawn(serving.or(cutting));
                }
            };
            accepting.or(self.wait_crash(crashes)).await;
            drop(listener);
            self.lock().port_closures = crashes + 1;
            task::sleep(RESTART_DELAY.duration()).await;
            listener = match TcpListener::bind(self.address).await {
                Ok(listener) => listener,
                Err(_) => return,
            };
        }
    }

    async fn wait_crash(&self, crashes: u32) {
        while self.lock().crashes == crashes {
            task::sleep(POLL_INTERVAL.duration()).await;
        }
    }

    /// Waits until the port is closed. The connections of a crashed process end only then, so that
    /// a reconnecting peer finds the port closed.
    async fn wait_closed(&self, port_closures: u32) {
        while self.lock().port_closures == port_closures {
            task::sleep(POLL_INTERVAL.duration()).await;
        }
    }

    /// Simulates a crash of the process, unless one is in progress.
    fn crash(&self) {
        let mut state = self.lock();
        state.crashes = state.port_closures + 1;
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u32 {
        self.lock().crashes
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the id of the current process.
    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Replaces the process at the address by one with another id. Connections stay open.
    pub fn replace_process(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// Sets the behaviour for requests from now on.
    pub fn set_behaviour(&self, behaviour: ServerBehaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Sets what it says about itself from now on.
    pub fn set_statements(&self, statements: Statements) {
        self.lock().statements = statements;
    }

    /// Sets the time that a run takes; 5 ms by default.
    pub fn set_run_time(&self, time: Millis) {
        self.lock().run_time = time;
    }

    /// Returns all requests received so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Returns the requests received so far, without the `first` ones.
    pub fn arrivals_from(&self, first: usize) -> Vec<Arrival> {
        let state = self.lock();
        state.arrivals.get(first..).unwrap_or_default().to_vec()
    }

    /// Returns how often a request began to run.
    pub fn runs(&self, request: &str) -> usize {
        let state = self.lock();
        let matching = |a: &&Arrival| a.request_id == request && a.has_run;
        state.arrivals.iter().filter(matching).count()
    }

    /// Returns the highest number of requests that ran concurrently.
    pub fn most_running(&self) -> u32 {
        self.lock().most_running
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut connection: Connection) {
        let limits = ReadLimits::default();
        let mut rejection = Vec::new();
        loop {
            let Ok(head) = connection.read_request(&limits).await else {
                return;
            };
            let Ok(framing) = frame_request(&head) else {
                return;
            };
            let request = head
                .headers
                .get("X-Rosemaryfork-Request-Id")
                .unwrap_or_default()
                .to_owned();
            let behaviour = self.lock().behaviour.clone();
            if let ServerBehaviour::Raw(answer) = &behaviour
                && answer.start == AnswerStart::BeforeBody
                && framing != Framing::Empty
            {
                self.record_arrival(&request, head, Vec::new(), true);
                return answer.send(&mut connection.writer(), &request).await;
            }
            if behaviour == ServerBehaviour::Early && framing != Framing::Empty {
                let answer = self.make_answer(&request, &ServerBehaviour::Early);
                if connection.write(&answer).await.is_err() {
                    return;
                }
                if let Ok(body) = connection.read_body(framing, &limits).await {
                    self.record_arrival(&request, head, body, true);
                    continue;
                }
                return;
            }
            let Ok(body) = connection.read_body(framing, &limits).await else {
                return;
            };
            if connection.write(&rejection).await.is_err() {
                return;
            }
            rejection.clear();
            if let Some(bytes) = self.reject(&request, &head, &body) {
                if connection.write(&bytes).await.is_err() {
                    return;
                }
                let behaviour = self.lock().behaviour.clone();
                if matches!(behaviour, ServerBehaviour::RepeatsRejections { .. }) {
                    rejection = bytes;
                }
                continue;
            }
            if !self.answer(&mut connection, &request, head, body).await {
                return;
            }
        }
    }

    /// Returns the rejection of a request that is not run, if it is rejected, and records the
    /// request.
    fn reject(&self, request: &str, head: &RequestHead, body: &[u8]) -> Option<Vec<u8>> {
        let expected = head.headers.get("X-Rosemaryfork-Expect-Instance");
        let is_wrong_process = expected.is_some_and(|id| id != self.lock().id);
        let behaviour = self.lock().behaviour.clone();
        let status = match behaviour {
            _ if is_wrong_process => 421,
            ServerBehaviour::Sheds => 503,
            ServerBehaviour::RepeatsRejections { .. } if !self.has_received(request) => 503,
            _ => return None,
        };
        self.record_arrival(request, head.clone(), body.to_vec(), false);
        let mut head = ResponseHead::new(status);
        head.headers.add("X-Rosemaryfork-Not-Executed", "1");
        if behaviour != (ServerBehaviour::RepeatsRejections { is_named: false }) {
            head.headers.add("X-Rosemaryfork-Request-Id", request);
        }
        self.lock().statements.add_to(&mut head);
        Some(head.encode(Some(0)))
    }

    fn has_received(&self, request: &str) -> bool {
        let state = self.lock();
        state.arrivals.iter().any(|a| a.request_id == request)
    }

    /// Runs and answers a request; returns whether the connection stays open.
    async fn answer(
        &self,
        connection: &mut Connection,
        request: &str,
        head: RequestHead,
        body: Vec<u8>,
    ) -> bool {
        let behaviour = self.lock().behaviour.clone();
        let number = self.record_arrival(request, head, body, true);
        if let ServerBehaviour::CrashesOn(text) = &behaviour
            && self.lock().arrivals[number].head.target.contains(text)
        {
            self.crash();
            // `listen` closes this connection together with the others of the process.
            return pending().await;
        }
        if !self.run(connection, number).await {
            return false;
        }
        if let ServerBehaviour::Endless(endless) = behaviour {
            endless.send(&mut connection.writer(), request).await;
            self.lock().arrivals[number].was_cut = true;
            return false;
        }
        if let ServerBehaviour::Raw(answer) = &behaviour {
            answer.send(&mut connection.writer(), request).await;
            return false;
        }
        let answer = self.make_answer(request, &behaviour);
        connection.write(&answer).await.ok();
        !matches!(
            behaviour,
            ServerBehaviour::Unframed
                | ServerBehaviour::Truncates
                | ServerBehaviour::CutsAfter(_)
                | ServerBehaviour::LosesAnswers
                | ServerBehaviour::Garbles
        )
    }

    fn make_answer(&self, request: &str, behaviour: &ServerBehaviour) -> Vec<u8> {
        make_answer(request, behaviour, &self.lock().statements)
    }

    fn record_arrival(
        &self,
        request: &str,
        head: RequestHead,
        body: Vec<u8>,
        has_run: bool,
    ) -> usize {
        let mut state = self.lock();
        let process = state.id.clone();
        state.arrivals.push(Arrival {
            request_id: request.to_owned(),
            head,
            body,
            has_run,
            was_cut: false,
            process,
            at: Instant::now(),
        });
        state.arrivals.len() - 1
    }

    /// Runs a request and returns whether its connection was still open at the end.
    async fn run(&self, connection: &mut Connection, number: usize) -> bool {
        let time = {
            let mut state = self.lock();
            state.running += 1;
            state.most_running = state.most_running.max(state.running);
            state.run_time
        };
        let running = async {
            task::sleep(time.duration()).await;
            true
        };
        let closing = async {
            connection.wait_closed(1024).await;
            false
        };
        let completed = running.or(closing).await;
        let mut state = self.lock();
        state.running -= 1;
        state.arrivals[number].was_cut = !completed;
        completed
    }
}

/// Returns the body of a correct response to a request.
pub fn response_body(request: &str) -> String {
    format!("answer to {request}")
}

/// Returns the body of a correct response of at least `length` bytes to a request. The bytes after
/// the text are pseudorandom, seeded with the length.
pub fn long_response_body(request: &str, length: usize) -> Vec<u8> {
    let mut body = response_body(request).into_bytes();
    let mut random = SeededRandom::new(length as u64);
    while body.len() < length {
        body.push(random.bits() as u8);
    }
    body
}

fn make_answer(request: &str, behaviour: &ServerBehaviour, statements: &Statements) -> Vec<u8> {
    let status = match behaviour {
        ServerBehaviour::Fails => 500,
        _ => 200,
    };
    let mut head = ResponseHead::new(status);
    head.headers.add("X-Rosemaryfork-Request-Id", request);
    statements.add_to(&mut head);
    if *behaviour != ServerBehaviour::Unsigned {
        head.headers.add("X-Rosemaryfork-Response-Signature", "s.1");
    }
    let body = match behaviour {
        ServerBehaviour::Long(length) => long_response_body(request, *length),
        _ => response_body(request).into_bytes(),
    };
    let with_body = |length: Option<usize>, part: &[u8]| {
        let mut bytes = head.encode(length);
        bytes.extend_from_slice(part);
        bytes
    };
    match behaviour {
        ServerBehaviour::LosesAnswers => Vec::new(),
        ServerBehaviour::Garbles => b"\x00\x01 no answer at all\r\n\r\n".to_vec(),
        ServerBehaviour::Unframed => with_body(None, &body),
        ServerBehaviour::Truncates => with_body(Some(body.len()), &body[..body.len() / 2]),
        ServerBehaviour::CutsAfter(length) => {
            let mut bytes = with_body(Some(body.len()), &body);
            bytes.truncate(*length);
            bytes
        }
        ServerBehaviour::AnswersTwice => {
            let once = with_body(Some(body.len()), &body);
            [once.clone(), once].concat()
        }
        _ => with_body(Some(body.len()), &body),
    }
}
