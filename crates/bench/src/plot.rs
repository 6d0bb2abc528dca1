//! Plots of a run over time, as SVG.

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
    evidence::{Evidence, Options as Sources},
    oracle::is_read,
    record::{Kind, Outcome},
};

/// Length of a step of the plots, in microseconds.
const STEP: u64 = 250_000;
/// Size of the picture, in pixels.
const SIZE: (u32, u32) = (1000, 1100);
/// Space for labels, in pixels.
const LABELS: u32 = 60;

/// Options of a plot.
#[derive(Debug, Clone)]
pub struct Options {
    /// Records.
    pub sources: Sources,
    /// Picture.
    pub out: PathBuf,
}

/// What happened in one step.
#[derive(Debug, Clone, Default)]
struct Step {
    latencies: Vec<u64>,
    done: u64,
    limit: u64,
    other: u64,
    reads: u64,
    replica: u64,
}

/// A line of a panel: its name, colour and points (seconds, value).
type Line = (&'static str, RGBColor, Vec<(f64, f64)>);

/// Draws latency, throughput, replica share and refusals over the time of a run. Requests stand at
/// their intended times, reads at the time at which a server ran them.
///
/// # Errors
/// A record is not valid, or the picture cannot be written.
pub fn run(options: &Options) -> Result<()> {
    let evidence = Evidence::read(&options.sources)?;
    let start = evidence.requests.iter().map(|r| r.intended).min().unwrap_or(0);
    let steps = steps(&evidence, start);
    let marks: Vec<f64> =
        evidence.marks.iter().map(|m| m.time.saturating_sub(start) as f64 / 1e6).collect();
    draw(&options.out, &panels(&steps), &marks).map_err(Error::Input)
}

fn steps(evidence: &Evidence, start: u64) -> BTreeMap<u64, Step> {
    let mut steps: BTreeMap<u64, Step> = BTreeMap::new();
    let mut end = 0;
    for request in &evidence.requests {
        let at = request.intended.saturating_sub(start) / STEP;
        end = end.max(at);
        let step = steps.entry(at).or_default();
        match request.outcome {
            Outcome::Done => {
                step.done += 1;
                if request.kind != Kind::Batch {
                    step.latencies.push(request.answered.saturating_sub(request.intended));
                }
            }
            Outcome::Limit => step.limit += 1,
            _ => step.other += 1,
        }
    }
    let reads = evidence.requests.iter().filter(|r| is_read(r)).map(|r| r.id.as_str());
    let reads: std::collections::BTreeSet<&str> = reads.collect();
    for run in evidence.groups.values().flat_map(|g| &g.ran) {
        if reads.contains(run.request.as_str()) {
            let step = steps.entry(run.time.saturating_sub(start) / STEP).or_default();
            step.reads += 1;
            step.replica += u64::from(!run.primary);
        }
    }
    for at in 0..=end {
        steps.entry(at).or_default().latencies.sort_unstable();
    }
    steps
}

fn panels(steps: &BTreeMap<u64, Step>) -> Vec<(&'static str, Vec<Line>)> {
    let line = |value: &dyn Fn(&Step) -> Option<f64>| -> Vec<(f64, f64)> {
        let point = |(at, step): (&u64, &Step)| Some(((at * STEP) as f64 / 1e6, value(step)?));
        steps.iter().filter_map(point).collect()
    };
    let rate = 1e6 / STEP as f64;
    let quantile = |share: f64| {
        move |step: &Step| {
            let last = step.latencies.len().checked_sub(1)?;
            Some(step.latencies[(last as f64 * share) as usize] as f64 / 1000.0)
        }
    };
    let replica = |s: &Step| (s.reads > 0).then(|| s.replica as f64 / s.reads as f64);
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
    panels: &[(&str, Vec<Line>)],
    marks: &[f64],
) -> std::result::Result<(), String> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| e.to_string())?;
    for (area, (title, lines)) in root.split_evenly((panels.len(), 1)).iter().zip(panels) {
        panel(area, title, lines, marks)?;
    }
    root.present().map_err(|e| e.to_string())
}

fn panel(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    title: &str,
    lines: &[Line],
    marks: &[f64],
) -> std::result::Result<(), String> {
    let points = || lines.iter().flat_map(|l| &l.2);
    let right = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1).fold(0.0, f64::max).max(1e-3) * 1.05;
    let names: Vec<String> = lines.iter().map(|l| format!("{} ({})", l.0, colour(l.1))).collect();
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{title}: {}", names.join(", ")), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(LABELS / 2)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(|e| e.to_string())?;
    chart.configure_mesh().x_desc("s").draw().map_err(|e| e.to_string())?;
    for (_, colour, points) in lines {
        let series = LineSeries::new(points.iter().copied(), colour);
        chart.draw_series(series).map_err(|e| e.to_string())?;
    }
    for mark in marks {
        let series = LineSeries::new([(*mark, 0.0), (*mark, top)], BLACK);
        chart.draw_series(series).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn colour(colour: RGBColor) -> &'static str {
    match colour {
        BLUE => "blue",
        GREEN => "green",
        _ => "red",
    }
}
