//! Serves a connection while several of its requests run: reads ahead, runs requests and writes
//! responses in order, as [`Pipeline`] decides.
//!
//! All of it happens in the task of the connection, so that everything is cancelled when the
//! caller leaves.

use super::connection::{
    MAX_READ_AHEAD, NextStep, Refusal, UnreadBody, expected_bytes, is_concurrent, read_head,
    read_rest, write_response,
};
use super::{Received, Response};
use crate::dialect::Dialect;
use crate::pipeline::Pipeline;
use crate::shared::{CallGuard, Shared};
use async_std::future::timeout;
use rf_config::CallerLimits;
use rf_transport::h1::Connection;
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

/// A request that was started, and its response once it is known.
pub(super) struct Exchange<'a, F> {
    stage: Stage<'a, F>,
    is_head: bool,
    _guard: Option<CallGuard<'a>>,
}

enum Stage<'a, F> {
    /// The first request, which was started before anything was pipelined.
    First(Pin<&'a mut F>),
    Running(Pin<Box<F>>),
    Ready(Response),
    Writing,
}

impl<'a, F: Future<Output = Response>> Exchange<'a, F> {
    /// Creates the exchange of a request that runs already and is counted by the caller.
    pub(super) fn first(answering: Pin<&'a mut F>, is_head: bool) -> Exchange<'a, F> {
        Exchange {
            stage: Stage::First(answering),
            is_head,
            _guard: None,
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Response> {
        match &mut self.stage {
            Stage::First(answering) => answering.as_mut().poll(context),
            Stage::Running(answering) => answering.as_mut().poll(context),
            Stage::Ready(_) | Stage::Writing => Poll::Pending,
        }
    }
}

/// A request that was read while others run.
struct NextRequest<'a> {
    received: Received,
    expected: u64,
    guard: CallGuard<'a>,
}

/// What the connection is read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadMode {
    /// The end of the connection only.
    Hold,
    /// The first byte of the next request.
    Await,
    /// The next request, which may be started if its response is expected to have at most `room`
    /// bytes. Only this mode must not be interrupted, as a body may be read in part.
    Read { room: u64 },
}

/// What was read.
enum Input<'a> {
    Closed,
    Readable,
    Request(NextRequest<'a>),
    /// A request that has to wait until those before it are answered, or is refused then.
    Blocked(Result<UnreadBody, Refusal>),
}

enum Event<'a> {
    Written(NextStep),
    Answered(usize, Response),
    Input(Input<'a>),
}

/// Requests of a connection that were started.
struct Session<'a, F> {
    pipeline: Pipeline,
    /// In the order of `pipeline`.
    exchanges: VecDeque<Exchange<'a, F>>,
    /// Request that is served once all others are answered.
    blocked: Option<Result<UnreadBody, Refusal>>,
}

impl<'a, F: Future<Output = Response>> Session<'a, F> {
    fn new(first: Exchange<'a, F>) -> Session<'a, F> {
        let mut pipeline = Pipeline::default();
        pipeline.start(0);
        Session {
            pipeline,
            exchanges: VecDeque::from([first]),
            blocked: None,
        }
    }

    /// Starts a request.
    fn start(&mut self, answering: F, is_head: bool, expected: u64, guard: CallGuard<'a>) {
        self.pipeline.start(expected);
        self.exchanges.push_back(Exchange {
            stage: Stage::Running(Box::pin(answering)),
            is_head,
            _guard: Some(guard),
        });
    }

    fn block(&mut self, blocked: Result<UnreadBody, Refusal>) {
        self.pipeline.block();
        self.blocked = Some(blocked);
    }

    /// Stores a response until its turn. If it closes the connection, the requests behind it are
    /// cancelled.
    fn finish(&mut self, position: usize, response: Response) {
        let closes = response.head.headers.has_token("connection", "close");
        let bytes = response.body.len() as u64;
        self.exchanges[position].stage = Stage::Ready(response);
        self.pipeline.finish(position, bytes, closes);
        self.exchanges.truncate(self.pipeline.len());
        if closes {
            self.blocked = None;
        }
    }

    /// Returns the response to write now, and whether it is the one to a `HEAD` request.
    fn take_ready(&mut self) -> Option<(Response, bool)> {
        if !self.pipeline.begin_write() {
            return None;
        }
        let first = self.exchanges.front_mut()?;
        match std::mem::replace(&mut first.stage, Stage::Writing) {
            Stage::Ready(response) => Some((response, first.is_head)),
            _ => None,
        }
    }

    fn end_write(&mut self) {
        self.pipeline.end_write();
        self.exchanges.pop_front();
    }

    /// Returns the mode in which the connection is to be read after `mode`.
    fn next_mode(&self, mode: ReadMode, is_stopping: bool) -> ReadMode {
        match (mode, self.pipeline.room()) {
            (ReadMode::Read { .. }, _) if !self.pipeline.is_closing() => mode,
            (_, Some(_)) if !is_stopping => ReadMode::Await,
            _ => ReadMode::Hold,
        }
    }

    fn poll_answers(&mut self, context: &mut Context<'_>) -> Poll<(usize, Response)> {
        for (position, exchange) in self.exchanges.iter_mut().enumerate() {
            if let Poll::Ready(response) = exchange.poll(context) {
                return Poll::Ready((position, response));
            }
        }
        Poll::Pending
    }
}

/// Serves a connection on which the next request arrives while `first` runs. Returns when all
/// requests that were started are answered and nothing is being read. `start` runs a request.
pub(super) async fn serve_pipelined<'a, D: Dialect, F: Future<Output = Response>>(
    shared: &'a Shared<D>,
    connection: &mut Connection,
    limits: &CallerLimits,
    first: Exchange<'a, F>,
    start: impl Fn(Received) -> F,
) -> NextStep {
    let stream = connection.writer();
    let mut session = Session::new(first);
    let mut writing = pin!(None);
    let mut mode = ReadMode::Await;
    loop {
        let mut input = pin!(read_input(shared, connection, limits, mode));
        let next_mode = loop {
            if let Some((response, is_head)) = session.take_ready() {
                let closes = session.pipeline.closes_after_first(shared.is_stopping());
                let mut stream = stream.clone();
                writing.set(Some(async move {
                    write_response(shared, &mut stream, response, closes, is_head).await
                }));
            }
            match next_event(&mut session, writing.as_mut(), input.as_mut()).await {
                Event::Written(NextStep::KeepOpen) => session.end_write(),
                Event::Written(step) => return step,
                Event::Answered(position, response) => session.finish(position, response),
                Event::Input(Input::Closed) => return NextStep::Close,
                Event::Input(Input::Readable) => match session.pipeline.room() {
                    Some(room) if !shared.is_stopping() => break ReadMode::Read { room },
                    _ => break ReadMode::Hold,
                },
                Event::Input(Input::Blocked(blocked)) => {
                    session.block(blocked);
                    break ReadMode::Hold;
                }
                Event::Input(Input::Request(next)) => {
                    if !session.pipeline.is_empty() {
                        shared.metrics.pipelined.inc();
                    }
                    let is_head = next.received.head.method == "HEAD";
                    session.start(start(next.received), is_head, next.expected, next.guard);
                    break session.next_mode(ReadMode::Await, shared.is_stopping());
                }
            }
            let next_mode = session.next_mode(mode, shared.is_stopping());
            let is_reading = matches!(next_mode, ReadMode::Read { .. });
            if next_mode != mode || session.pipeline.is_empty() && !is_reading {
                break next_mode;
            }
        };
        if session.pipeline.is_empty() && !matches!(next_mode, ReadMode::Read { .. }) {
            return session.blocked.map_or(NextStep::KeepOpen, NextStep::Serve);
        }
        mode = next_mode;
    }
}

/// Waits for the next event of a connection.
async fn next_event<'a, F, W, I>(
    session: &mut Session<'_, F>,
    mut writing: Pin<&mut Option<W>>,
    mut input: Pin<&mut I>,
) -> Event<'a>
where
    F: Future<Output = Response>,
    W: Future<Output = NextStep>,
    I: Future<Output = Input<'a>>,
{
    poll_fn(|context| {
        if let Some(write) = writing.as_mut().as_pin_mut()
            && let Poll::Ready(step) = write.poll(context)
        {
            writing.set(None);
            return Poll::Ready(Event::Written(step));
        }
        if let Poll::Ready((position, response)) = session.poll_answers(context) {
            return Poll::Ready(Event::Answered(position, response));
        }
        input.as_mut().poll(context).map(Event::Input)
    })
    .await
}

async fn read_input<'a, D: Dialect>(
    shared: &'a Shared<D>,
    connection: &mut Connection,
    limits: &CallerLimits,
    mode: ReadMode,
) -> Input<'a> {
    match mode {
        ReadMode::Hold => {
            connection.wait_closed(MAX_READ_AHEAD).await;
            Input::Closed
        }
        ReadMode::Await => match connection.wait_readable().await {
            Ok(()) => Input::Readable,
            Err(_) => Input::Closed,
        },
        ReadMode::Read { room } => {
            let reading = read_next(shared, connection, limits, room);
            match timeout(limits.head_time.duration(), reading).await {
                Ok(Ok(input)) => input,
                Ok(Err(refusal)) if refusal.is_caller_gone => Input::Closed,
                Ok(Err(refusal)) => Input::Blocked(Err(refusal)),
                Err(_) => Input::Blocked(Err(Refusal::status(408))),
            }
        }
    }
}

/// Reads the next request. If it may not run beside others, its body is not read yet.
async fn read_next<'a, D: Dialect>(
    shared: &'a Shared<D>,
    connection: &mut Connection,
    limits: &CallerLimits,
    room: u64,
) -> Result<Input<'a>, Refusal> {
    let guard = shared.count_call();
    let unread = read_head(shared, connection, limits).await?;
    let expected = expected_bytes(shared, &unread);
    if expected > room || !is_concurrent(shared, &unread) {
        return Ok(Input::Blocked(Ok(unread)));
    }
    let received = read_rest(shared, connection, limits, unread).await?;
    Ok(Input::Request(NextRequest {
        received,
        expected,
        guard,
    }))
}
