//! Quotas over all proxies on a virtual clock: neither more requests than the bound may start, nor may
//! requests be refused that the quota allows. Each test prints both errors.

mod quota_world;

use quota_world::{Change, Report, Run, run};

const SIZES: [usize; 3] = [14, 82, 300];
const RATES: [u32; 2] = [2, 200];
/// Earlier forms of the fallback exceeded the bound with seeds 2 and 30 while replies were lost or late.
const SEEDS: [u64; 3] = [2, 7, 30];
/// Most requests of the small organisation that can come in two times of 1.7 s in which the proxies use
/// the fallback, as they are at least 583 ms apart. Nearly all of them are refused.
const FALLBACK_REQUESTS: usize = 6;
/// Length of a run, in milliseconds.
const SPAN: u64 = 30_000;

fn steady(proxies: usize, rate: u32, part: f64) -> Run {
    Run {
        proxies,
        entries: proxies,
        rate,
        load: vec![(0, f64::from(rate) * part)],
        changes: Vec::new(),
        span: SPAN,
        seed: 7,
    }
}

/// Runs all sizes and rates, and prints and returns the reports.
fn run_all(name: &str, part: f64, changes: &[(u64, Change)]) -> Vec<Report> {
    let mut reports = Vec::new();
    for (proxies, rate) in SIZES.into_iter().flat_map(|p| RATES.map(|r| (p, r))) {
        for seed in SEEDS {
            let report = run(&Run {
                changes: changes.to_vec(),
                seed,
                ..steady(proxies, rate, part)
            });
            println!("{name}: {proxies} proxies, {rate}/s x {part}, seed {seed}: {report}");
            reports.push(report);
        }
    }
    reports
}

fn check_bound(reports: &[Report]) {
    for report in reports {
        assert!(report.excess <= report.margin, "{report}");
    }
}

/// Checks that at most `share` of the requests that the quota allows, or `allowed` of them, were
/// refused.
fn check_refused(reports: &[Report], share: f64, allowed: usize) {
    for report in reports {
        let limit = (report.ideal as f64 * share).max(allowed as f64);
        assert!(report.refused_wrongly as f64 <= limit, "{report}");
    }
}

#[test]
fn no_request_is_refused_at_six_tenths_of_the_quota() {
    let reports = run_all("steady", 0.6, &[]);
    check_bound(&reports);
    check_refused(&reports, 0.0, 0);
}

#[test]
fn five_times_the_quota_is_bounded_and_served_up_to_the_quota() {
    let reports = run_all("five times", 5.0, &[]);
    check_bound(&reports);
    for report in &reports {
        assert!(
            report.started as f64 >= 0.9 * report.ideal as f64,
            "{report}"
        );
    }
}

/// Guards against refusing what each window of the quota allows to an organisation that asks for
/// somewhat more than its rate for a long time.
#[test]
fn a_lasting_small_excess_over_the_rate_is_admitted_within_each_window() {
    for proxies in SIZES {
        let report = run(&steady(proxies, 200, 1.07));
        println!("small excess: {proxies} proxies: {report}");
        check_bound(std::slice::from_ref(&report));
        assert!(
            report.started as f64 >= 0.98 * report.requests as f64,
            "{report}"
        );
    }
}

/// A static part for each proxy would refuse nearly everything of such an organisation.
#[test]
fn an_organisation_at_two_proxies_gets_its_quota() {
    for rate in RATES {
        for part in [0.6, 5.0] {
            let report = run(&Run {
                entries: 2,
                ..steady(82, rate, part)
            });
            println!("two entries: {rate}/s x {part}: {report}");
            check_bound(std::slice::from_ref(&report));
            assert!(
                report.started as f64 >= 0.9 * report.ideal as f64,
                "{report}"
            );
        }
    }
}

/// The burst is lent at once while leases of the light load before are still out.
#[test]
fn a_sudden_rise_to_five_times_the_quota_keeps_the_bound() {
    for (proxies, rate) in SIZES.into_iter().flat_map(|p| RATES.map(|r| (p, r))) {
        let report = run(&Run {
            load: vec![(0, f64::from(rate) * 0.6), (10_000, f64::from(rate) * 5.0)],
            ..steady(proxies, rate, 0.6)
        });
        println!("sudden rise: {proxies} proxies, {rate}/s: {report}");
        check_bound(std::slice::from_ref(&report));
    }
}

/// The new owner does not know what the old one lent, and every proxy falls back meanwhile.
#[test]
fn an_owner_that_dies_and_restarts_keeps_the_bound() {
    let changes = [(10_000, Change::KillOwner), (18_000, Change::Restart)];
    check_bound(&run_all("owner killed", 5.0, &changes));
    let reports = run_all("owner killed", 0.6, &changes);
    check_bound(&reports);
    // The fallback of 1.4 to 1.7 s refuses most of a small organisation.
    check_refused(&reports, 0.1, FALLBACK_REQUESTS);
}

#[test]
fn an_owner_that_dies_in_a_sudden_rise_keeps_the_bound() {
    for (proxies, rate) in SIZES.into_iter().flat_map(|p| RATES.map(|r| (p, r))) {
        let report = run(&Run {
            load: vec![(0, f64::from(rate) * 0.6), (10_000, f64::from(rate) * 5.0)],
            changes: vec![(10_600, Change::KillOwner), (13_000, Change::Restart)],
            ..steady(proxies, rate, 0.6)
        });
        println!("killed in a rise: {proxies} proxies, {rate}/s: {report}");
        check_bound(std::slice::from_ref(&report));
    }
}

/// Both sides have an owner; without scaled quotas they would serve twice the quota.
#[test]
fn the_sides_of_a_partition_keep_the_bound_together() {
    let changes = [(8000, Change::Split), (20_000, Change::Heal)];
    check_bound(&run_all("partition", 5.0, &changes));
    let reports = run_all("partition", 0.6, &changes);
    check_bound(&reports);
    check_refused(&reports, 0.1, FALLBACK_REQUESTS);
}

#[test]
fn a_lowered_quota_binds_one_window_after_it_is_in_force() {
    for proxies in SIZES {
        let report = run(&Run {
            changes: vec![(10_000, Change::SetQuota(50))],
            ..steady(proxies, 200, 5.0)
        });
        let most = report.most_in_window(12_500);
        println!("lowered: {proxies} proxies: {most} in 5 s after 2.5 s; {report}");
        assert!(most as f64 <= 300.0 * 1.1 + 20.0, "{most}");
    }
}

#[test]
fn changes_of_the_owner_keep_the_bound() {
    let changes = [
        (8000, Change::MoveOwner),
        (15_000, Change::MoveOwner),
        (22_000, Change::MoveOwner),
    ];
    check_bound(&run_all("owner changes", 5.0, &changes));
    let reports = run_all("owner changes", 0.6, &changes);
    check_bound(&reports);
    check_refused(&reports, 0.1, FALLBACK_REQUESTS);
}

/// Tokens in lost replies are void, and the fallback must not come on top of a whole quota.
#[test]
fn lost_replies_keep_the_bound() {
    for percent in [5, 50, 100] {
        let changes = [
            (8000, Change::LoseReplies(percent)),
            (20_000, Change::LoseReplies(0)),
        ];
        check_bound(&run_all(&format!("{percent} % lost"), 5.0, &changes));
        run_all(&format!("{percent} % lost"), 0.6, &changes);
    }
}

#[test]
fn late_replies_keep_the_bound() {
    for percent in [5, 50, 100] {
        let changes = [
            (8000, Change::DelayReplies(percent)),
            (20_000, Change::DelayReplies(0)),
        ];
        check_bound(&run_all(&format!("{percent} % late"), 5.0, &changes));
        run_all(&format!("{percent} % late"), 0.6, &changes);
    }
}

/// Loads by the number of proxies: requests per second and organisations. The largest is the size that
/// the design must support; the others have 22.3 requests per second at each proxy.
const LOADS: [(usize, f64, usize); 4] = [
    (14, 312.0, 84),
    (82, 1828.0, 84),
    (300, 6690.0, 84),
    (1100, 200_000.0, 50),
];

/// Messages beyond one for each request would cost more than asking for each request alone.
#[test]
fn messages_stay_below_the_requests() {
    for (proxies, load, organisations) in LOADS {
        let is_equal = proxies == 1100;
        let size = |rank: usize| match is_equal {
            true => 1.0,
            false => (rank as f64).powf(-1.2),
        };
        let total: f64 = (1..=organisations).map(size).sum();
        // Equal organisations send the same number of messages, so one is played.
        let played = if is_equal { 1 } else { organisations };
        let span = 5000;
        let (mut messages, mut requests) = (0.0, 0.0);
        for rank in 1..=played {
            let part = load * size(rank) / total;
            let report = run(&Run {
                load: vec![(0, part)],
                span,
                ..steady(proxies, (part / 0.6).ceil() as u32, 1.0)
            });
            let count = organisations as f64 / played as f64;
            messages += count * report.messages as f64;
            requests += count * report.requests as f64;
            check_bound(std::slice::from_ref(&report));
        }
        let seconds = span as f64 / 1000.0 * proxies as f64;
        println!(
            "{proxies} proxies: {:.1} messages and {:.1} requests per proxy and second",
            messages / seconds,
            requests / seconds
        );
        assert!(messages <= requests, "{messages} for {requests}");
    }
}
