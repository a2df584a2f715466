//! Plots goodput against load, with a line for each policy.

use std::path::Path;

use bamboodoor::policy::PolicyKind;
use plotters::prelude::*;
use strum::IntoEnumIterator;

use crate::Case;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (720, 440);

/// Writes one plot for each user as `goodput-USER.svg`, from the cases without faults.
pub fn goodput(cases: &[Case], out_dir: &Path) {
    for user in ["associacao", "qayrawan"] {
        let path = out_dir.join(format!("goodput-{user}.svg"));
        let user_cases: Vec<&Case> =
            cases.iter().filter(|case| case.user == user && case.fault == "none").collect();
        draw(&user_cases, user, &path).expect("the plot can be drawn");
    }
}

fn draw(cases: &[&Case], user: &str, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let max_goodput =
        cases.iter().map(|case| case.mean(|summary| summary.goodput_per_s)).fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{user}: answers/s within both targets"), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.6..2.1, 0.0..max_goodput * 1.15)?;
    chart.configure_mesh().x_desc("load, times capacity").y_desc("answers/s").draw()?;
    for (index, policy) in PolicyKind::iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points: Vec<(f64, f64)> = cases
            .iter()
            .filter(|case| case.policy == policy)
            .map(|case| (case.load, case.mean(|summary| summary.goodput_per_s)))
            .collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(policy.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    root.present()?;
    Ok(())
}
