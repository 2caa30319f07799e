//! Generation of a schedule of faults from a seed.
//!
//! Faults come alone, in bursts and overlapping. Every fourth seed holds planned work only, such as
//! restarts and drains, so that the stricter promises about it can be checked.

use crate::link::LinkMode;
use rf_base::{Millis, SeededRandom};
use rf_standin::raw_answer::{Endless, RawAnswer};
use rf_standin::users::{ServerBehaviour, StoreFault};

/// Time span within which faults begin, except for repeats in a burst.
pub const INJECTION_WINDOW: Millis = Millis(7000);
/// Fewest faults that are drawn, not counting the repeats in bursts.
const MIN_DRAWS: u64 = 7;
/// Exclusive upper bound of the number of faults drawn in addition to [`MIN_DRAWS`].
const EXTRA_DRAWS: u64 = 8;
/// Probability that a fault is repeated in a burst.
const BURST_PROBABILITY: f64 = 0.3;
/// Shortest duration of a fault.
const MIN_DURATION: Millis = Millis(300);
/// Keeps the generator of departures apart from the others.
const DEPARTURES: u64 = 0x6465_7061_7274;
/// Exclusive upper bound of the bytes of an answer before it is cut; about the length of its head.
const MAX_CUT: u64 = 130;
/// Longest time added to [`MIN_DURATION`].
const EXTRA_DURATION: Millis = Millis(2200);

/// Answers that break the protocol, without the version of HTTP.
const BROKEN_ANSWERS: [&str; 5] = [
    "000 X\r\nX-Rosemaryfork-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok",
    "600 X\r\nX-Rosemaryfork-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok",
    "200 OK\r\nX-Rosemaryfork-Request-Id: {id}\r\nX-Rosemaryfork-Response-Signature: s.1\r\n\
     X Field: a\r\nContent-Length: 2\r\n\r\nok",
    "200 OK\r\nX-Rosemaryfork-Request-Id: {id}\r\nX-Rosemaryfork-Response-Signature: s.1\r\n\
     Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
    "200 OK\r\nX-Rosemaryfork-Request-Id: {id}\r\nX-Rosemaryfork-Response-Signature: s.1\r\n\
     Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Field: a\r\n\r\n",
];

/// Network path of an instance that a link sits on, named after its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkTarget {
    /// From other proxies to this one.
    Relay,
    /// To the backend server.
    Server,
    /// To the store.
    Store,
}

/// Spec of an object of another writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OddSpec {
    /// Lists nested this deeply.
    Nested(usize),
    /// A number out of range.
    Number,
    /// An entry of a proxy whose port is out of range.
    Port,
    /// Text that is no JSON.
    Text,
}

impl OddSpec {
    /// Returns the spec as it stands in answers of the store.
    pub fn text(self) -> String {
        match self {
            OddSpec::Nested(depth) => "[".repeat(depth) + &"]".repeat(depth),
            OddSpec::Number => "1e400".to_owned(),
            OddSpec::Port => {
                r#"{"instance":"i-9","zone":"z","relay":"127.0.0.1:70000","life":"5"}"#.to_owned()
            }
            OddSpec::Text => "Infinity".to_owned(),
        }
    }
}

/// How processes end in [`Fault::LeaveLate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The proxy is killed.
    Kill,
    /// All proxies are killed.
    KillAll,
    /// The proxy is told to stop.
    Stop,
}

/// A fault or a piece of planned work. Instances are given by index, durations by [`Millis`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills the process with `SIGKILL`.
    Kill(usize),
    /// Kills all processes at the same time.
    KillAll,
    /// Tells the process to stop with `SIGTERM`.
    Stop(usize),
    /// Pauses the process with `SIGSTOP`.
    Pause(usize, Millis),
    /// Changes the settings file and sends `SIGHUP`.
    Reload(usize),
    /// Puts the link on a path into a faulty mode.
    Link(usize, LinkTarget, LinkMode, Millis),
    /// Makes the store misbehave.
    Store(StoreFault, Millis),
    /// Compacts the store, which drops its history of changes.
    Compact,
    /// Writes an object that no proxy can use among those of each kind that proxies read, then
    /// compacts the store.
    OddObject(OddSpec),
    /// Makes a backend server misbehave.
    Server(usize, ServerBehaviour, Millis),
    /// Crashes a backend server, which is replaced by a new process afterwards.
    Crash(usize, Millis),
    /// Drains a backend server, which then leaves and is replaced.
    Drain(usize),
    /// Makes a backend server leave without draining, and replaces it.
    Leave(usize),
    /// Makes a backend server withdraw and stay, and ends its proxy right after that is
    /// acknowledged. A heartbeat from before the withdrawal arrives late.
    LeaveLate(usize, Ending),
    /// Restarts a backend server under its id while its clock is set back; it then drains.
    Rewind(usize),
    /// Publishes a new configuration.
    Table,
    /// Orders a change to a bad version, deployed at one instance of its service.
    BadVersion(usize),
    /// Writes an entry of an earlier process whose clock was far ahead, and kills the process.
    ClockAhead(usize),
}

impl Fault {
    /// Returns the name used in reports, which does not include the instance or the duration.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Kill(_) => "kill",
            Fault::KillAll => "kill-all",
            Fault::Stop(_) => "stop",
            Fault::Pause(..) => "pause",
            Fault::Reload(_) => "reload",
            Fault::Link(_, _, mode, _) => mode.name(),
            Fault::Store(..) => "store",
            Fault::Compact => "compact",
            Fault::OddObject(_) => "odd-object",
            Fault::Server(..) => "server",
            Fault::Crash(..) => "crash",
            Fault::Drain(_) => "drain",
            Fault::Leave(_) => "leave",
            Fault::LeaveLate(..) => "leave-late",
            Fault::Rewind(_) => "rewind",
            Fault::Table => "table",
            Fault::BadVersion(_) => "bad-version",
            Fault::ClockAhead(_) => "clock-ahead",
        }
    }
}

/// A fault and when it is injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time from the start of the faults.
    pub at: Millis,
    /// What is injected.
    pub fault: Fault,
}

/// Properties of the testbed that a schedule is generated for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Topology {
    /// Number of instances.
    pub instances: usize,
}

/// A schedule of faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Seed that the schedule was generated from.
    pub seed: u64,
    /// Whether the schedule holds planned work only.
    pub planned_only: bool,
    /// Faults in the order of their times.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Generates the schedule of a seed; the same seed and topology give the same schedule.
    pub fn generate(seed: u64, topology: Topology) -> Schedule {
        let mut generator = Generator {
            random: SeededRandom::new(seed),
            variants: SeededRandom::new(!seed),
            departures: SeededRandom::new(seed.rotate_left(32) ^ DEPARTURES),
            topology,
        };
        let planned_only = seed % 4 == 3;
        let count = MIN_DRAWS + generator.random.below(EXTRA_DRAWS);
        let mut steps = Vec::new();
        for _ in 0..count {
            let at = generator.random.jitter(INJECTION_WINDOW);
            let kind = generator.random.bits();
            let repeats = match generator.random.fraction() < BURST_PROBABILITY {
                true => 1 + generator.random.below(3),
                false => 0,
            };
            for number in 0..=repeats {
                let fault = match planned_only {
                    true => generator.planned_fault(kind),
                    false => generator.any_fault(kind),
                };
                let delay = Millis(number * (120 + generator.random.below(300)));
                steps.push(Step {
                    at: at + delay,
                    fault,
                });
            }
        }
        steps.extend(generator.departures(planned_only));
        steps.sort_by_key(|s| s.at);
        Schedule {
            seed,
            planned_only,
            steps,
        }
    }

    /// Keeps only the steps with the given positions.
    pub fn keep(&mut self, numbers: &[usize]) {
        let steps = std::mem::take(&mut self.steps);
        let kept = steps.into_iter().enumerate();
        let kept = kept.filter(|(number, _)| numbers.contains(number));
        self.steps = kept.map(|(_, step)| step).collect();
    }

    /// Formats the schedule as one line per step, starting with its position.
    pub fn lines(&self) -> Vec<String> {
        let line = |(number, step): (usize, &Step)| {
            format!("{number:3} at {:5} ms: {:?}", step.at.0, step.fault)
        };
        self.steps.iter().enumerate().map(line).collect()
    }
}

struct Generator {
    random: SeededRandom,
    /// Draws variants of a fault, so that a new variant leaves the rest of a schedule unchanged.
    variants: SeededRandom,
    /// Draws departures, which are added to the rest of a schedule.
    departures: SeededRandom,
    topology: Topology,
}

impl Generator {
    /// Returns departures of backend servers whose proxies end, or that have known another process.
    fn departures(&mut self, planned_only: bool) -> Vec<Step> {
        let random = &mut self.departures;
        let count = 1 + random.below(2);
        let mut steps = Vec::new();
        for _ in 0..count {
            let instance = random.below(self.topology.instances as u64) as usize;
            let fault = match random.below(6) {
                _ if planned_only => Fault::LeaveLate(instance, Ending::Stop),
                0 | 1 => Fault::LeaveLate(instance, Ending::Kill),
                2 => Fault::LeaveLate(instance, Ending::KillAll),
                3 => Fault::LeaveLate(instance, Ending::Stop),
                _ => Fault::Rewind(instance),
            };
            let at = random.jitter(INJECTION_WINDOW);
            steps.push(Step { at, fault });
        }
        steps
    }

    fn instance(&mut self) -> usize {
        self.random.below(self.topology.instances as u64) as usize
    }

    fn duration(&mut self) -> Millis {
        MIN_DURATION + self.random.jitter(EXTRA_DURATION)
    }

    fn planned_fault(&mut self, kind: u64) -> Fault {
        match kind % 6 {
            0 | 1 => Fault::Stop(self.instance()),
            2 => Fault::Reload(self.instance()),
            3 => Fault::Drain(self.instance()),
            4 => Fault::Leave(self.instance()),
            _ => Fault::Table,
        }
    }

    fn any_fault(&mut self, kind: u64) -> Fault {
        match kind % 15 {
            0 => Fault::Kill(self.instance()),
            1 => Fault::Pause(self.instance(), self.duration()),
            2..=4 => self.link_fault(),
            5 => Fault::Store(self.store_fault(), self.duration()),
            6 => self.compaction(),
            7 | 8 => {
                let server_behaviour = self.server_behaviour();
                Fault::Server(self.instance(), server_behaviour, self.duration())
            }
            9 => Fault::Crash(self.instance(), self.duration()),
            10 => Fault::BadVersion(self.instance()),
            11 => Fault::ClockAhead(self.instance()),
            12 => Fault::KillAll,
            _ => {
                let kind = self.random.bits();
                self.planned_fault(kind)
            }
        }
    }

    fn link_fault(&mut self) -> Fault {
        let target = match self.random.below(5) {
            0..=2 => LinkTarget::Relay,
            3 => LinkTarget::Server,
            _ => LinkTarget::Store,
        };
        let mode = match self.random.below(5) {
            0 => LinkMode::Delay(Millis(20 + self.random.below(300))),
            1 => LinkMode::Reset,
            2 => LinkMode::CutForward,
            3 => LinkMode::CutBackward,
            _ => LinkMode::Silent,
        };
        Fault::Link(self.instance(), target, mode, self.duration())
    }

    fn store_fault(&mut self) -> StoreFault {
        match self.random.below(7) {
            0 => StoreFault::Busy,
            1 => StoreFault::TooMany,
            2 => StoreFault::Reset,
            3 => StoreFault::Silent,
            4 => StoreFault::LoseAnswers,
            5 => StoreFault::Slow(Millis(100 + self.random.below(600))),
            _ => StoreFault::Nonsense,
        }
    }

    fn compaction(&mut self) -> Fault {
        match self.variants.below(8) {
            0 => Fault::OddObject(OddSpec::Nested(50_000)),
            1 => Fault::OddObject(OddSpec::Number),
            2 => Fault::OddObject(OddSpec::Port),
            3 => Fault::OddObject(OddSpec::Text),
            _ => Fault::Compact,
        }
    }

    fn cut_answer(&mut self) -> ServerBehaviour {
        match self.variants.below(2) {
            0 => ServerBehaviour::Truncates,
            _ => ServerBehaviour::CutsAfter(self.variants.below(MAX_CUT) as usize),
        }
    }

    fn broken_answer(&mut self) -> ServerBehaviour {
        let count = BROKEN_ANSWERS.len() as u64;
        match self.variants.below(count + 2) {
            number if number < count => {
                let text = format!("HTTP/1.1 {}", BROKEN_ANSWERS[number as usize]);
                ServerBehaviour::Raw(RawAnswer::new(&text))
            }
            number if number == count => {
                let kind = self.variants.below(Endless::ALL.len() as u64);
                ServerBehaviour::Endless(Endless::ALL[kind as usize])
            }
            _ => ServerBehaviour::Garbles,
        }
    }

    fn rejection(&mut self) -> ServerBehaviour {
        match self.variants.below(3) {
            0 => ServerBehaviour::Sheds,
            1 => ServerBehaviour::RepeatsRejections { is_named: true },
            _ => ServerBehaviour::RepeatsRejections { is_named: false },
        }
    }

    fn server_behaviour(&mut self) -> ServerBehaviour {
        match self.random.below(8) {
            0 => ServerBehaviour::AnswersTwice,
            1 => ServerBehaviour::Unframed,
            2 => self.cut_answer(),
            3 => ServerBehaviour::Unsigned,
            4 => self.broken_answer(),
            5 => self.rejection(),
            6 => ServerBehaviour::LosesAnswers,
            _ => ServerBehaviour::Fails,
        }
    }
}
