//! Tests of the answers to calls on the operators' port.

use rf_base::{Incarnation, Millis};
use rf_config::{Settings, from_json};
use rf_daemon::control::event::Announcement;
use rf_daemon::control::{Action, Control, Event, OperatorRequest, RequestId};

const SETTINGS: &str = include_str!("../../../samples/settings.json");

// Guards against a withdrawal that is answered while the gate still passes calls to the server.
#[test]
fn the_gate_changes_before_an_announcement_or_a_withdrawal_is_answered() {
    let settings: Settings = from_json(SETTINGS).expect("the sample is valid");
    let mut control = Control::new(settings, Incarnation(1), 1);
    let announcement = Announcement {
        service: "payments".into(),
        version: "v1".into(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        slots: 4,
        ttl: Millis(5000),
    };
    let calls = [
        OperatorRequest::Announce(announcement),
        OperatorRequest::Withdraw,
    ];
    for (number, call) in calls.into_iter().enumerate() {
        let event = Event::Operator(RequestId(number as u64), call);
        let actions = control.handle(Millis(1000), event);
        let is_gate = |a: &Action| matches!(a, Action::PublishGate(_));
        let is_answer = |a: &Action| matches!(a, Action::AnswerOperator(..));
        let gate = actions.iter().position(is_gate).expect("the gate changes");
        let answer = actions.iter().position(is_answer).expect("an answer");
        assert!(gate < answer, "{actions:?}");
    }
}
