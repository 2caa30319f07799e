//! Optional settings of quotas, and the template that renders the settings of a proxy.

use rf_base::Millis;
use rf_config::ProxySettings;
use std::collections::BTreeMap;

const TEMPLATE: &str = include_str!("../../../deploy/settings.json.template");

/// Renders the template with the values that the platform always gives, and `optional` ones.
fn render(optional: &[(&str, &str)]) -> String {
    let values = [
        ("nodeName", "payments-1"),
        ("zone", "a"),
        ("region", "r"),
        ("listen.outbound", "127.0.0.1:1"),
        ("listen.inbound", "127.0.0.1:2"),
        ("listen.ready", "127.0.0.1:3"),
        ("listen.control", "127.0.0.1:4"),
        ("service", "payments"),
        ("appAddr", "127.0.0.1:5"),
        ("platform.address", "127.0.0.1:6"),
        ("limits.memoryMb", "160"),
        ("limits.maxFds", "1024"),
        ("limits.linkMbps", "100"),
        ("bounds.grace", "6s"),
        ("bounds.retryBudgetRatio", "0.2"),
        ("bounds.retryBudgetSlack", "188"),
        ("bounds.exposeShare", "0.1"),
    ];
    let values: BTreeMap<&str, &str> = values.iter().chain(optional).copied().collect();
    let mut text = TEMPLATE.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("an end");
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).expect("the section ends");
        let inner = text[name_end + 2..end].to_owned();
        let kept = if values.contains_key(name.as_str()) {
            inner
        } else {
            String::new()
        };
        text.replace_range(start..end + close.len(), &kept);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
        text = text.replace(&format!("{{{{{name}|json}}}}"), value);
    }
    text
}

fn parse(optional: &[(&str, &str)]) -> ProxySettings {
    let text = render(optional);
    rf_config::from_json(&text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

/// A comma too many or too few would keep every proxy from starting.
#[test]
fn the_template_renders_with_any_of_the_optional_bounds() {
    let optional = [
        ("bounds.quotaWindow", "2s"),
        ("bounds.quotaOver", "0.2"),
        ("bounds.quotaSlack", "7"),
    ];
    for set in 0..8u8 {
        let is_given = |number: usize| set & (1 << number) != 0;
        let given = optional.iter().enumerate().filter(|(n, _)| is_given(*n));
        let given: Vec<_> = given.map(|(_, o)| *o).collect();
        let bounds = parse(&given).bounds;
        let window = if is_given(0) { 2000 } else { 5000 };
        assert_eq!(bounds.quota_window, Millis(window));
        assert_eq!(bounds.quota_over, if is_given(1) { 0.2 } else { 0.1 });
        assert_eq!(bounds.quota_slack, if is_given(2) { 7.0 } else { 20.0 });
        assert_eq!(parse(&given).verify(), Vec::<String>::new());
    }
}

#[test]
fn unusable_bounds_are_refused_with_their_name() {
    let cases = [
        ("bounds.quotaWindow", "0s"),
        ("bounds.quotaOver", "1.5"),
        ("bounds.quotaOver", "-0.1"),
        ("bounds.quotaSlack", "-1"),
        ("bounds.quotaSlack", "1e9"),
    ];
    for (name, value) in cases {
        let errors = parse(&[(name, value)]).verify();
        assert_eq!(errors.len(), 1, "{name} {value}");
        assert!(errors[0].starts_with(name), "{errors:?}");
    }
    let text = render(&[("bounds.quotaWindow", "soon")]);
    assert!(rf_config::from_json::<ProxySettings>(&text).is_err());
}
