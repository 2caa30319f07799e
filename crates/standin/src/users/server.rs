//! Stand-in for a backend server of the users' platform.

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

/// Time for which a backend server that died is away.
pub const RESTART_DELAY: Millis = Millis(1500);
/// Time between two looks whether the process has died.
const POLL_INTERVAL: Millis = Millis(10);

/// What a backend server does with requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ServerBehaviour {
    /// It answers.
    #[default]
    Good,
    /// It sends a second answer right after each.
    AnswersTwice,
    /// It sends its answers without a length and ends the connection.
    Unframed,
    /// It ends the connection in the middle of an answer.
    Truncates,
    /// It answers with success and no signature.
    Unsigned,
    /// It answers with bytes that are no HTTP.
    Garbles,
    /// It refuses and says that it did not run the request.
    Sheds,
    /// It runs the request and closes the connection without an answer.
    LosesAnswers,
    /// It answers 500.
    Fails,
    /// Its answers have at least this length, and cannot be compressed.
    Long(usize),
    /// It answers a request with a body before it has read that, and reads on.
    Early,
    /// It sends bytes that are no answer until the connection is closed.
    Endless(Endless),
    /// It dies of requests whose target holds this text, and is back after [`DOWN`].
    CrashesOn(String),
}

/// Where bytes that are no answer come without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// One line of a head.
    Line,
    /// Fields of a head.
    Fields,
    /// Interim responses.
    Interim,
    /// A body that ends with the connection.
    Body,
    /// Chunks of a body.
    Chunks,
    /// The extension of a chunk.
    Extension,
    /// Trailers of a chunked body.
    Trailers,
    /// A second answer without a length, to another request.
    Stray,
}

impl Endless {
    /// Returns what is sent first, and what is sent again and again.
    fn bytes(self, request: &str) -> (String, Vec<u8>) {
        let named = format!(
            "HTTP/1.1 200 OK\r\nX-Rosemaryfork-Request-Id: {request}\r\n\
             X-Rosemaryfork-Response-Signature: s.1\r\n"
        );
        let chunked = format!("{named}Transfer-Encoding: chunked\r\n\r\n");
        let filler = vec![b'x'; 16 * 1024];
        match self {
            Endless::Line => (format!("{named}X-Line: "), filler),
            Endless::Fields => (named, b"X-Field: x\r\n".repeat(1000)),
            Endless::Interim => (
                String::new(),
                b"HTTP/1.1 102 Processing\r\n\r\n".repeat(500),
            ),
            Endless::Body => (format!("{named}\r\n"), filler),
            Endless::Chunks => (chunked, b"1\r\nx\r\n".repeat(2000)),
            Endless::Extension => (format!("{chunked}1;"), filler),
            Endless::Trailers => (format!("{chunked}0\r\n"), b"X-Field: x\r\n".repeat(1000)),
            Endless::Stray => (
                "HTTP/1.1 200 OK\r\nX-Rosemaryfork-Request-Id: other\r\n\r\n".to_owned(),
                filler,
            ),
        }
    }
}

/// One request as a backend server saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Id by which the caller knows it.
    pub request_id: String,
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Vec<u8>,
    /// Whether it began to run.
    pub has_run: bool,
    /// Whether its connection closed before it had ended.
    pub was_cut: bool,
    /// Id of the process that it reached.
    pub process: String,
    /// Time of its arrival.
    pub at: Instant,
}

impl Arrival {
    /// Returns a header of the request.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)
    }
}

#[derive(Debug)]
struct State {
    id: String,
    behaviour: ServerBehaviour,
    run_time: Millis,
    running: u32,
    most_running: u32,
    arrivals: Vec<Arrival>,
    crashes: u32,
    /// Deaths after which the port was closed.
    port_closures: u32,
}

/// A running backend server.
#[derive(Clone, Debug)]
pub struct UsersServer {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl UsersServer {
    /// Starts a backend server whose process is `id`, at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system where the address cannot be had.
    pub async fn start(id: &str, address: SocketAddr) -> io::Result<UsersServer> {
        let listener = TcpListener::bind(address).await?;
        let state = State {
            id: id.to_owned(),
            behaviour: ServerBehaviour::default(),
            run_time: Millis(5),
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

    /// Accepts connections; those of a process that died are cut, and its port is closed for a while.
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

    /// Waits until the port is closed, so that no connection ends before that.
    async fn wait_closed(&self, port_closures: u32) {
        while self.lock().port_closures == port_closures {
            task::sleep(POLL_INTERVAL.duration()).await;
        }
    }

    /// Ends the process, unless it is ending already.
    fn crash(&self) {
        let mut state = self.lock();
        state.crashes = state.port_closures + 1;
    }

    /// Returns how often the process died.
    pub fn crashes(&self) -> u32 {
        self.lock().crashes
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the id of the process.
    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Puts another process at the address.
    pub fn replace_process(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// Changes what the server does with requests from now on.
    pub fn set_behaviour(&self, behaviour: ServerBehaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Changes the time of a run.
    pub fn set_run_time(&self, time: Millis) {
        self.lock().run_time = time;
    }

    /// Returns every request so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Returns the requests from the one with number `first` on.
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

    /// Returns the most requests that ran at a time.
    pub fn most_running(&self) -> u32 {
        self.lock().most_running
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut connection: Connection) {
        let limits = ReadLimits::default();
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
            if self.lock().behaviour == ServerBehaviour::Early && framing != Framing::Empty {
                let answer = make_answer(&request, &ServerBehaviour::Early);
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
            if !self.answer(&mut connection, &request, head, body).await {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    async fn answer(
        &self,
        connection: &mut Connection,
        request: &str,
        head: RequestHead,
        body: Vec<u8>,
    ) -> bool {
        let expected = head.headers.get("X-Rosemaryfork-Expect-Instance");
        let is_wrong_process = expected.is_some_and(|id| id != self.lock().id);
        let behaviour = self.lock().behaviour.clone();
        let refusal = match (is_wrong_process, &behaviour) {
            (true, _) => Some(421),
            (false, ServerBehaviour::Sheds) => Some(503),
            _ => None,
        };
        let number = self.record_arrival(request, head, body, refusal.is_none());
        if let Some(status) = refusal {
            let mut head = ResponseHead::new(status);
            head.headers.add("X-Rosemaryfork-Not-Executed", "1");
            return connection.write(&head.encode(Some(0))).await.is_ok();
        }
        if let ServerBehaviour::CrashesOn(text) = &behaviour
            && self.lock().arrivals[number].head.target.contains(text)
        {
            self.crash();
            // The connection is cut with the others of this process.
            return pending().await;
        }
        if !self.run(connection, number).await {
            return false;
        }
        if let ServerBehaviour::Endless(endless) = behaviour {
            send_without_end(connection, endless.bytes(request)).await;
            self.lock().arrivals[number].was_cut = true;
            return false;
        }
        let answer = make_answer(request, &behaviour);
        connection.write(&answer).await.ok();
        !matches!(
            behaviour,
            ServerBehaviour::Unframed
                | ServerBehaviour::Truncates
                | ServerBehaviour::LosesAnswers
                | ServerBehaviour::Garbles
        )
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

    /// Runs a request; returns whether its connection was still open at the end.
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

/// Sends until the peer closes the connection.
async fn send_without_end(connection: &mut Connection, (first, again): (String, Vec<u8>)) {
    let mut is_open = connection.write(first.as_bytes()).await.is_ok();
    while is_open {
        is_open = connection.write(&again).await.is_ok();
    }
}

/// Body of a good answer to a request.
pub fn response_body(request: &str) -> String {
    format!("answer to {request}")
}

/// Body of a good answer of at least `length` bytes to a request.
pub fn long_response_body(request: &str, length: usize) -> Vec<u8> {
    let mut body = response_body(request).into_bytes();
    let mut random = SeededRandom::new(length as u64);
    while body.len() < length {
        body.push(random.bits() as u8);
    }
    body
}

fn make_answer(request: &str, behaviour: &ServerBehaviour) -> Vec<u8> {
    let status = match behaviour {
        ServerBehaviour::Fails => 500,
        _ => 200,
    };
    let mut head = ResponseHead::new(status);
    head.headers.add("X-Rosemaryfork-Request-Id", request);
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
        ServerBehaviour::AnswersTwice => {
            let once = with_body(Some(body.len()), &body);
            [once.clone(), once].concat()
        }
        _ => with_body(Some(body.len()), &body),
    }
}
