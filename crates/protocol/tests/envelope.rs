//! Encoding and authentication of messages between daemons: everything that is sent decodes to the
//! same value, and modified or foreign messages are refused without a panic.

use proptest::prelude::*;
use rf_base::{AttemptId, ConfigVersion, Incarnation, InstanceId, Millis, MoveId, PlanId};
use rf_config::{Intent, MeshConfig, Move, MoveState, Outcome, Plan};
use rf_protocol::attempt::AcknowledgedHeader;
use rf_protocol::{AttemptHeader, EnvelopeError, MeshKey, Reply, Request, open, seal};
use std::collections::BTreeMap;

fn key() -> MeshKey {
    MeshKey::new("mesh", "a secret of some length")
}

fn config() -> MeshConfig {
    let plan = Plan {
        id: PlanId(5),
        intent: Intent::Retire {
            instance: InstanceId(u64::MAX),
            by: Millis(9),
        },
        base: ConfigVersion(1),
        basis: u64::MAX,
        summary: "s".to_owned(),
        steps: Vec::new(),
        finish: Millis(1),
        latest: Millis(2),
        deadline: Millis(3),
        expires: Millis(4),
        service: "s".into(),
        needs: Vec::new(),
        stops: Vec::new(),
    };
    let m = Move {
        plan,
        operation: Default::default(),
        confirmed: Millis(7),
        state: MoveState::Ended {
            outcome: Outcome::Done,
            at: Millis(8),
            reason: "r".to_owned(),
        },
        before: BTreeMap::from([("v1".into(), 3)]),
    };
    MeshConfig {
        counter: ConfigVersion(4),
        moves: BTreeMap::from([(MoveId(5), m)]),
        retired: [InstanceId(1)].into(),
        ..MeshConfig::default()
    }
}

#[test]
fn a_configuration_decodes_to_itself_from_message_pack_and_json() {
    let request = Request::Deliver(Box::new(config()));
    let bytes = seal(&key(), &request).expect("sealed");
    assert_eq!(open::<Request>(&key(), &bytes), Ok(request));
    let text = serde_json::to_string(&config()).expect("JSON");
    let parsed: MeshConfig = rf_config::from_json(&text).expect("parses");
    assert_eq!(parsed, config());
    assert!(text.contains("\"m-5\""), "ids are readable: {text}");
}

#[test]
fn messages_of_another_mesh_or_key_and_invalid_bodies_are_refused() {
    let bytes = seal(&key(), &Reply::Ack(ConfigVersion(1))).expect("sealed");
    let foreign = MeshKey::new("other", "a secret of some length");
    let wrong = MeshKey::new("mesh", "another secret");
    let mesh = "mesh".to_owned();
    assert_eq!(
        open::<Reply>(&foreign, &bytes),
        Err(EnvelopeError::ForeignMesh { mesh })
    );
    assert_eq!(open::<Reply>(&wrong, &bytes), Err(EnvelopeError::WrongKey));
    let big = vec![0; 5 * 1024 * 1024];
    let oversized = open::<Reply>(&key(), &big);
    assert!(matches!(oversized, Err(EnvelopeError::Oversized { .. })));
    let garbage = open::<Reply>(&key(), b"garbage");
    assert!(matches!(garbage, Err(EnvelopeError::Malformed { .. })));
}

#[test]
fn attempt_headers_with_a_wrong_signature_are_refused() {
    let header = AttemptHeader {
        id: AttemptId(1),
        target: InstanceId(2),
        incarnation: Incarnation(3),
        expires: Millis(4),
        fingerprint: 5,
    };
    let text = header.encode(&key());
    assert_eq!(AttemptHeader::decode(&text, &key()), Ok(header));
    let changed = text.replacen('1', "9", 1);
    assert!(AttemptHeader::decode(&changed, &key()).is_err());
    let acknowledged = AcknowledgedHeader(vec![AttemptId(7), AttemptId(8)]);
    let text = acknowledged.encode(&key());
    assert_eq!(AcknowledgedHeader::decode(&text, &key()), Ok(acknowledged));
    assert!(AcknowledgedHeader::decode("7,9;00", &key()).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2048,
        rng_seed: proptest::test_runner::RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a byte of the message that the keyed hash does not cover.
    #[test]
    fn a_message_with_one_byte_changed_is_refused(position in 0..4096usize, change in 1..=255u8) {
        let mut bytes = seal(&key(), &Request::Deliver(Box::new(config()))).expect("sealed");
        let position = position % bytes.len();
        bytes[position] ^= change;
        prop_assert!(open::<Request>(&key(), &bytes).is_err());
    }

    /// Arbitrary bytes must be refused by the decoders, not make them panic.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(open::<Request>(&key(), &bytes).is_err());
        let text = String::from_utf8_lossy(&bytes).into_owned();
        prop_assert!(AttemptHeader::decode(&text, &key()).is_err());
    }
}
