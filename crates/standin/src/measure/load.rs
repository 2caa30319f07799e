//! Comparison of placement and queueing policies at increasing load, on a virtual clock.

use crate::model::plot::draw;
use crate::model::sweep;
use std::error::Error;
use std::path::Path;

/// Upper end of the axis in the plot of response times, in milliseconds.
const MAX_PLOTTED_MS: f64 = 4000.0;

/// Runs the sweep, prints its tables and draws its plots into `folder`, which is created if it does
/// not exist.
///
/// # Errors
///
/// Returns an error if the folder cannot be created or a plot cannot be written.
pub fn run(folder: &Path) -> Result<(), Box<dyn Error>> {
    let series = sweep::run();
    let percent = |fraction: f64| format!("{:.1}", fraction * 100.0);
    println!(
        "Worth earned, % of all:\n\n{}",
        sweep::table(&series, |f| percent(f.credit))
    );
    println!(
        "Requests answered, %:\n\n{}",
        sweep::table(&series, |f| percent(f.served))
    );
    println!(
        "Time of runs that was wasted, %:\n\n{}",
        sweep::table(&series, |f| percent(f.wasted))
    );
    println!(
        "Offers for each request:\n\n{}",
        sweep::table(&series, |f| format!("{:.2}", f.offers))
    );
    println!(
        "p99 of answers, ms:\n\n{}",
        sweep::table(&series, |f| format!("{:.0}", f.p99))
    );
    std::fs::create_dir_all(folder)?;
    draw(
        &folder.join("load-credit.svg"),
        "Worth earned",
        &series,
        1.0,
        |f| f.credit,
    )?;
    draw(
        &folder.join("load-p99.svg"),
        "p99 of answers, ms",
        &series,
        MAX_PLOTTED_MS,
        |f| f.p99,
    )?;
    draw(
        &folder.join("load-wasted.svg"),
        "Time of runs that was wasted",
        &series,
        0.6,
        |f| f.wasted,
    )?;
    Ok(())
}
