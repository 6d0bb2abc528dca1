//! Plots a test run over time, as SVG.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

use plotters::{
    coord::Shift,
    prelude::{
        BLACK, BLUE, ChartBuilder, DrawingArea, GREEN, IntoDrawingArea, LineSeries, RED, RGBColor,
        SVGBackend, WHITE,
    },
};

use crate::{
    Error, Result,
    oracle::is_read,
    record::{Kind, Outcome},
    run_records::{Options as Sources, RunRecords},
};

/// Length of the intervals over which values are aggregated.
const INTERVAL_US: u64 = 250_000;
/// Width and height.
const IMAGE_SIZE_PX: (u32, u32) = (1000, 1100);
/// Width of the label area of the y axis; the x axis gets half of it.
const LABEL_SIZE_PX: u32 = 60;

/// Options of a plot.
#[derive(Debug, Clone)]
pub struct Options {
    /// Locations of the records.
    pub sources: Sources,
    /// Output file.
    pub out: PathBuf,
}

/// Values of one interval.
#[derive(Debug, Clone, Default)]
struct Interval {
    latencies: Vec<u64>,
    done: u64,
    limit: u64,
    other: u64,
    reads: u64,
    replica: u64,
}

/// Name, colour and points (seconds, value) of a curve in a panel.
type Curve = (&'static str, RGBColor, Vec<(f64, f64)>);

/// Draws latency, throughput, replica share and refusals over time. Requests count at their
/// intended time; for the replica share, reads count at the time at which a server ran them.
///
/// # Errors
/// A record is not valid, or the picture cannot be written.
pub fn run(options: &Options) -> Result<()> {
    let records = RunRecords::read(&options.sources)?;
    let start = records.requests.iter().map(|r| r.intended).min().unwrap_or(0);
    let intervals = intervals(&records, start);
    let marks: Vec<f64> =
        records.marks.iter().map(|m| m.time.saturating_sub(start) as f64 / 1e6).collect();
    draw(&options.out, &panels(&intervals), &marks).map_err(Error::Input)
}

fn intervals(records: &RunRecords, start: u64) -> BTreeMap<u64, Interval> {
    let mut intervals: BTreeMap<u64, Interval> = BTreeMap::new();
    let mut end = 0;
    for request in &records.requests {
        let at = request.intended.saturating_sub(start) / INTERVAL_US;
        end = end.max(at);
        let interval = intervals.entry(at).or_default();
        match request.outcome {
            Outcome::Done => {
                interval.done += 1;
                if request.kind != Kind::Batch {
                    interval.latencies.push(request.answered.saturating_sub(request.intended));
                }
            }
            Outcome::Limit => interval.limit += 1,
            _ => interval.other += 1,
        }
    }
    let reads = records.requests.iter().filter(|r| is_read(r)).map(|r| r.id.as_str());
    let reads: std::collections::BTreeSet<&str> = reads.collect();
    for run in records.groups.values().flat_map(|g| &g.statements) {
        if reads.contains(run.request.as_str()) {
            let interval =
                intervals.entry(run.time.saturating_sub(start) / INTERVAL_US).or_default();
            interval.reads += 1;
            interval.replica += u64::from(!run.primary);
        }
    }
    for at in 0..=end {
        intervals.entry(at).or_default().latencies.sort_unstable();
    }
    intervals
}

fn panels(intervals: &BTreeMap<u64, Interval>) -> Vec<(&'static str, Vec<Curve>)> {
    let line = |value: &dyn Fn(&Interval) -> Option<f64>| -> Vec<(f64, f64)> {
        let point = |(at, interval): (&u64, &Interval)| {
            Some(((at * INTERVAL_US) as f64 / 1e6, value(interval)?))
        };
        intervals.iter().filter_map(point).collect()
    };
    let rate = 1e6 / INTERVAL_US as f64;
    let quantile = |share: f64| {
        move |interval: &Interval| {
            let last = interval.latencies.len().checked_sub(1)?;
            Some(interval.latencies[(last as f64 * share) as usize] as f64 / 1000.0)
        }
    };
    let replica = |s: &Interval| (s.reads > 0).then(|| s.replica as f64 / s.reads as f64);
    vec![
        (
            "latency, ms",
            vec![("p50", BLUE, line(&quantile(0.5))), ("p99", RED, line(&quantile(0.99)))],
        ),
        ("served, requests/s", vec![("served", BLUE, line(&|s| Some(s.done as f64 * rate)))]),
        ("replica share of reads", vec![("share", GREEN, line(&replica))]),
        (
            "not served, requests/s",
            vec![
                ("rate", BLUE, line(&|s| Some(s.limit as f64 * rate))),
                ("other", RED, line(&|s| Some(s.other as f64 * rate))),
            ],
        ),
    ]
}

fn draw(
    path: &Path,
    panels: &[(&str, Vec<Curve>)],
    marks: &[f64],
) -> std::result::Result<(), String> {
    let root = SVGBackend::new(path, IMAGE_SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(|e| e.to_string())?;
    for (area, (title, lines)) in root.split_evenly((panels.len(), 1)).iter().zip(panels) {
        panel(area, title, lines, marks)?;
    }
    root.present().map_err(|e| e.to_string())
}

fn panel(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    title: &str,
    lines: &[Curve],
    marks: &[f64],
) -> std::result::Result<(), String> {
    let points = || lines.iter().flat_map(|l| &l.2);
    let right = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1).fold(0.0, f64::max).max(1e-3) * 1.05;
    let names: Vec<String> =
        lines.iter().map(|l| format!("{} ({})", l.0, color_name(l.1))).collect();
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{title}: {}", names.join(", ")), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(LABEL_SIZE_PX / 2)
        .y_label_area_size(LABEL_SIZE_PX)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(|e| e.to_string())?;
    chart.configure_mesh().x_desc("s").draw().map_err(|e| e.to_string())?;
    for (_, color, points) in lines {
        let series = LineSeries::new(points.iter().copied(), color);
        chart.draw_series(series).map_err(|e| e.to_string())?;
    }
    for mark in marks {
        let series = LineSeries::new([(*mark, 0.0), (*mark, top)], BLACK);
        chart.draw_series(series).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn color_name(color: RGBColor) -> &'static str {
    match color {
        BLUE => "blue",
        GREEN => "green",
        _ => "red",
    }
}
