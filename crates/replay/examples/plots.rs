//! Draws the trade-off of reuse against skew into the folder named as the first argument.

use std::path::PathBuf;

use plotters::prelude::*;
use toucanturn_replay::{
    baseline::Kind,
    generate::Profile,
    report::Report,
    run,
    size::estimated, //
};

/// Published multiples that are drawn.
const MULTIPLES: [f64; 8] = [1.05, 1.1, 1.15, 1.2, 1.25, 1.3, 1.5, 2.0];
/// Seeds of each point.
const SEEDS: u64 = 6;

/// `Point` is the mean over the seeds under one multiple.
#[derive(Clone, Copy, Debug, Default)]
struct Point {
    multiple: f64,
    own_cache: f64,
    with_imports: f64,
    oracle: f64,
    excess: f64,
}

/// `Line` is a line's label, colour and value.
type Line = (&'static str, RGBColor, fn(&Point) -> f64);

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::env::args().nth(1).ok_or("expected a folder")?;
    for profile in [Profile::vitalbox(), Profile::terenni(), Profile::churn()] {
        let points = MULTIPLES.map(|multiple| point(&profile, multiple));
        println!(
            "{}: multiple, own cache, with imports, oracle's own cache, worst excess",
            profile.name
        );
        for p in points {
            println!(
                "{:>5} {:>6.1}% {:>6.1}% {:>6.1}% {:>6.2}",
                p.multiple, p.own_cache, p.with_imports, p.oracle, p.excess
            );
        }
        let path = PathBuf::from(&folder).join(format!("multiple-{}.svg", profile.name));
        draw(&path, &profile.name, &points)?;
    }
    Ok(())
}

fn point(profile: &Profile, multiple: f64) -> Point {
    let mut sum = Point {
        multiple,
        ..Point::default()
    };
    for seed in 0..SEEDS {
        let mut profile = profile.clone();
        profile.seed += 100 * seed;
        profile.multiple = multiple;
        let report: Report = run(&profile.trace(), &estimated);
        let share = |kind| report.row(kind).map_or(0.0, |r| 100.0 * r.reuse());
        let own = report.row(Kind::Toucanturn);
        sum.own_cache += share(Kind::Toucanturn) / SEEDS as f64;
        sum.oracle += share(Kind::Oracle) / SEEDS as f64;
        sum.with_imports += own.map_or(0.0, |r| 100.0 * r.reuse_imported()) / SEEDS as f64;
        sum.excess = sum.excess.max(own.map_or(0.0, |r| r.skew.beyond));
    }
    sum
}

fn draw(
    path: &std::path::Path,
    name: &str,
    points: &[Point],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{name}: returning chats that find their prefix, by multiple"),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(1.0..2.05, 0.0..100.0)?;
    chart
        .configure_mesh()
        .x_desc("published multiple of the mean load")
        .y_desc("%")
        .draw()?;
    let lines: [Line; 3] = [
        ("with imports", RGBColor(0, 90, 160), |p| p.with_imports),
        ("own cache", RGBColor(200, 90, 0), |p| p.own_cache),
        ("oracle, own cache", RGBColor(120, 120, 120), |p| p.oracle),
    ];
    for (label, color, value) in lines {
        let line = points.iter().map(|p| (p.multiple, value(p)));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
