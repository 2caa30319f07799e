//! Property tests of the decision which requests of one connection run at the same time.

use proptest::prelude::*;
use rf_base::Millis;
use rf_config::{PathRoute, RepeatPolicy};
use rf_proxy::pipeline::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES, MAX_HELD, Pipeline, is_concurrent};
use rf_transport::h1::{Framing, RequestHead};

/// An event of a connection.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives whose response has this length.
    Arrive(u64),
    /// A request that has to run alone arrives.
    ArriveAlone,
    /// One of the requests is answered.
    Answer { index: usize, closes: bool },
    /// The writing of a response begins or ends.
    Write,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..MAX_BUFFERED_BYTES).prop_map(Step::Arrive),
        4 => (0..1000u64).prop_map(Step::Arrive),
        1 => Just(Step::ArriveAlone),
        6 => (0..MAX_HELD, prop::bool::weighted(0.05))
            .prop_map(|(index, closes)| Step::Answer { index, closes }),
        8 => Just(Step::Write),
    ];
    prop::collection::vec(step, 0..200)
}

/// A connection that is served as the pipeline decides. Each request has a number.
#[derive(Default)]
struct Model {
    pipeline: Pipeline,
    /// Number and length of the response of each request that was started, and whether it is
    /// answered.
    held: Vec<(u32, u64, bool)>,
    is_writing: bool,
    is_blocked: bool,
    has_closed: bool,
    next: u32,
    written: Vec<u32>,
}

impl Model {
    fn arrive(&mut self, bytes: u64) {
        let Some(room) = self.pipeline.room() else {
            return;
        };
        assert!(
            !self.is_blocked && !self.has_closed,
            "read behind a request that is alone or the last one"
        );
        if bytes > room {
            self.block();
            return;
        }
        self.pipeline.start(bytes);
        self.held.push((self.next, bytes, false));
        self.next += 1;
    }

    fn block(&mut self) {
        self.pipeline.block();
        self.is_blocked = true;
    }

    fn answer(&mut self, index: usize, closes: bool) {
        let is_running = self.held.get(index).is_some_and(|h| !h.2);
        if !is_running {
            return;
        }
        self.pipeline.finish(index, self.held[index].1, closes);
        self.held[index].2 = true;
        if closes {
            self.held.truncate(index + 1);
            self.has_closed = true;
        }
    }

    fn write(&mut self) {
        if self.is_writing {
            self.is_writing = false;
            let closes = self.pipeline.closes_after_first(false);
            assert_eq!(closes, self.has_closed && self.held.len() == 1);
            self.pipeline.end_write();
            self.written.push(self.held.remove(0).0);
            return;
        }
        self.is_writing = self.pipeline.begin_write();
        let is_ready = self.held.first().is_some_and(|h| h.2);
        assert_eq!(self.is_writing, is_ready);
    }

    fn check(&self) {
        assert_eq!(self.pipeline.len(), self.held.len());
        assert!(self.held.len() <= MAX_HELD);
        let buffered: u64 = self.held.iter().skip(1).map(|h| h.1).sum();
        assert!(buffered <= MAX_BUFFERED_BYTES, "{buffered} bytes are held");
        assert!(
            self.written
                .iter()
                .copied()
                .eq(0..self.written.len() as u32)
        );
    }
}

proptest! {
    #[test]
    fn responses_are_in_order_and_bounded_and_nothing_starts_behind_the_last(steps in steps()) {
        let mut model = Model::default();
        for step in steps {
            match step {
                Step::Arrive(bytes) => model.arrive(bytes),
                Step::ArriveAlone if model.pipeline.room().is_some() => model.block(),
                Step::ArriveAlone => {}
                Step::Answer { index, closes } => model.answer(index, closes),
                Step::Write => model.write(),
            }
            model.check();
        }
    }

    #[test]
    fn every_request_that_was_started_is_answered_unless_one_before_it_closes(steps in steps()) {
        let mut model = Model::default();
        for step in steps {
            match step {
                Step::Arrive(bytes) => model.arrive(bytes),
                Step::Answer { index, .. } => model.answer(index, false),
                _ => {}
            }
        }
        for _ in 0..MAX_HELD {
            model.answer(0, false);
            model.write();
            if model.is_writing {
                model.write();
            }
        }
        prop_assert!(model.pipeline.is_empty());
        prop_assert_eq!(model.written.len() as u32, model.next);
    }
}

#[test]
fn closing_response_removes_the_requests_behind_it() {
    let mut pipeline = Pipeline::default();
    for _ in 0..4 {
        pipeline.start(0);
    }
    pipeline.finish(1, 10, true);
    assert_eq!(pipeline.len(), 2);
    assert_eq!(pipeline.room(), None);
    assert!(!pipeline.begin_write(), "the first one runs still");
    pipeline.finish(0, 10, false);
    assert!(!pipeline.closes_after_first(true));
    assert!(pipeline.begin_write());
    pipeline.end_write();
    assert!(pipeline.begin_write());
    assert!(pipeline.closes_after_first(false));
}

#[test]
fn stop_closes_the_connection_after_the_last_request_that_was_read() {
    let mut pipeline = Pipeline::default();
    pipeline.start(0);
    pipeline.start(0);
    assert!(!pipeline.closes_after_first(true));
    pipeline.end_write();
    assert!(pipeline.closes_after_first(true));
    // The request that waits for the others was read too.
    pipeline.block();
    assert!(!pipeline.closes_after_first(true));
}

#[test]
fn only_short_idempotent_requests_that_keep_the_connection_open_run_beside_others() {
    let route = |repeat| PathRoute {
        name: "r".to_owned(),
        prefix: "/".to_owned(),
        repeat,
        attempts: 1,
        timeout: Millis(1000),
        target: Millis(1000),
        priority: 0,
        parts: Vec::new(),
        is_public: false,
    };
    let repeatable = route(RepeatPolicy::Idempotent);
    let once = route(RepeatPolicy::Once);
    let head = |field: &str, value: &str| {
        let mut head = RequestHead::new("POST", "/", "h");
        head.headers.add(field, value);
        head
    };
    let plain = head("x-other", "1");
    let short = Framing::Length(MAX_BODY_BYTES);
    assert!(is_concurrent(&plain, Framing::Empty, Some(&repeatable)));
    assert!(is_concurrent(&plain, short, Some(&repeatable)));
    let long = Framing::Length(MAX_BODY_BYTES + 1);
    assert!(!is_concurrent(&plain, long, Some(&repeatable)));
    assert!(!is_concurrent(&plain, Framing::Chunked, Some(&repeatable)));
    assert!(!is_concurrent(&plain, short, Some(&once)));
    assert!(!is_concurrent(&plain, short, None));
    let closing = head("connection", "close");
    assert!(!is_concurrent(&closing, short, Some(&repeatable)));
    let expecting = head("expect", "100-continue");
    assert!(!is_concurrent(&expecting, short, Some(&repeatable)));
}
