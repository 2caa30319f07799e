//! Plots of the results of a sweep.

use super::sweep::{LOADS, Series};
use super::world::RunStats;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (860, 520);

/// Draws one metric of every policy against the load into an SVG file.
///
/// `max_y` is the upper end of the vertical axis.
///
/// # Errors
///
/// Returns an error if the file cannot be written or the plotting library fails.
pub fn draw(
    file: &Path,
    title: &str,
    series: &[Series],
    max_y: f64,
    metric: impl Fn(&RunStats) -> f64,
) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let max_load = LOADS[LOADS.len() - 1];
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(LOADS[0]..max_load, 0.0..max_y)?;
    chart.configure_mesh().x_desc("load / capacity").draw()?;
    for (number, curve) in series.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = curve.points.iter().map(|(load, f)| (*load, metric(f)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(curve.policy.name())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::LowerLeft)
        .draw()?;
    area.present()?;
    Ok(())
}
