//! Tests of parsing and verification: the sample files are valid, and errors name their paths.

use rf_config::{MeshConfig, Settings, from_json, verify_mesh, verify_settings};
use serde_json::Value;
use std::fs;
use std::path::PathBuf;

fn sample(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    fs::read_to_string(path.join(name)).expect("sample")
}

/// Appends the paths of all keys of `value` to `paths`.
fn collect_keys(value: &Value, path: &str, paths: &mut Vec<String>) {
    if let Value::Object(map) = value {
        for (key, value) in map {
            let path = format!("{path}.{key}");
            collect_keys(value, &path, paths);
            paths.push(path);
        }
    }
}

#[test]
fn sample_settings_list_every_setting_with_its_default() {
    let text = sample("settings.json");
    let settings: Settings = from_json(&text).expect("parses");
    verify_settings(&settings).expect("valid");
    let (mut listed, mut known) = (Vec::new(), Vec::new());
    collect_keys(&from_json(&text).expect("JSON"), "", &mut listed);
    let default = serde_json::to_value(Settings::default()).expect("JSON");
    collect_keys(&default, "", &mut known);
    assert_eq!(listed, known);
    assert_eq!(settings.control, Settings::default().control);
    assert_eq!(settings.traffic, Settings::default().traffic);
    assert_eq!(settings.listen, Settings::default().listen);
}

#[test]
fn sample_mesh_is_valid() {
    let config: MeshConfig = from_json(&sample("mesh.json")).expect("parses");
    verify_mesh(&config).expect("valid");
}

#[test]
fn errors_for_unknown_and_mistyped_fields_name_the_path() {
    let unknown = from_json::<Settings>(r#"{"control": {"hartbeat": 5}}"#);
    let error = unknown.expect_err("refused").to_string();
    assert!(
        error.starts_with("at control.hartbeat: unknown field"),
        "{error}"
    );
    let mistyped = from_json::<Settings>(r#"{"listen": {"peers": "here"}}"#);
    let error = mistyped.expect_err("refused").to_string();
    assert!(error.starts_with("at listen.peers: "), "{error}");
    assert!(from_json::<Settings>("{} {}").is_err(), "trailing text");
}

#[test]
fn verify_settings_reports_all_errors() {
    let mut settings = Settings::default();
    settings.traffic.attempts = 0;
    settings.control.lease.0 = 100;
    settings.listen.relay = settings.listen.peers;
    let text = verify_settings(&settings).expect_err("invalid").to_string();
    let expected = [
        "at instance: expected 1 to 63 letters",
        "at zone: ",
        "at key: expected at least 16 characters",
        "at listen.peers: expected an address of its own, also listen.relay",
        "at control.lease: ",
        "at traffic.attempts: expected more than 0",
    ];
    for line in expected {
        assert!(text.contains(line), "{line} is missing in:\n{text}");
    }
}

#[test]
fn verify_mesh_reports_all_errors() {
    let text = r#"{
        "services": {
            "a": {"versions": {"v1": {"weight": 0}}},
            "b/c": {"versions": {"v1": {"weight": 1}}, "deadline": 0, "shedStatus": [200]}
        },
        "routes": [
            {"host": "*", "prefix": "/x", "service": "missing"},
            {"host": "", "prefix": "x", "service": "a"},
            {"host": "*", "prefix": "/x", "service": "a"}
        ]
    }"#;
    let config: MeshConfig = from_json(text).expect("parses");
    let errors = verify_mesh(&config).expect_err("invalid").to_string();
    let expected = "\
at services.a.versions: expected at least one version with a weight above 0
at services.b/c: expected 1 to 63 letters, digits, dots, hyphens or underscores
at services.b/c.deadline: expected 1 to 600000 ms
at services.b/c.shedStatus: expected status codes from 400 to 599
at routes[0].service: expected a service of this document, found \"missing\"
at routes[1].host: expected a host name or *
at routes[1].prefix: expected a path that starts with /
at routes[2]: expected one route for a host and prefix, also at routes[0]";
    assert_eq!(errors, expected);
}
