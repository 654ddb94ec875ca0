//! A report of a day: one HTML page that needs nothing else, with plots as SVG inside it.
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;

use plotters::prelude::*;

use crate::bound::BoundComparison;
use crate::experiment::Compared;
use crate::record::{LOSSES, Record, SLICES};
use crate::simulate::Day;

/// Rows of the map of servers; more servers share one.
const ROWS: usize = 150;
const WIDE: (u32, u32) = (900, 260);
/// Letters on axes.
const SMALL: (&str, i32) = ("sans-serif", 12);

/// Colours that are told apart by most eyes, and in grey.
const ASKED: RGBColor = RGBColor(120, 120, 120);
const OK: RGBColor = RGBColor(0, 114, 178);
const PUSHED: RGBColor = RGBColor(230, 159, 0);
const ABORTED: RGBColor = RGBColor(213, 94, 0);
const OTHER: RGBColor = RGBColor(0, 158, 115);

type Failed = Box<dyn std::error::Error>;

/// A line of a plot: its name, its colour and a figure for each slice.
type Line<'a> = (&'a str, RGBColor, Vec<f64>);

fn lines(title: &str, unit: &str, seconds: f64, all: &[Line<'_>]) -> Result<String, Failed> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, WIDE).into_drawing_area();
        root.fill(&WHITE)?;
        let most = all
            .iter()
            .flat_map(|line| &line.2)
            .copied()
            .fold(0.0, f64::max)
            .max(1.0)
            * 1.05;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..seconds, 0.0..most)?;
        let whole = |figure: &f64| {
            if most > 20.0 {
                format!("{figure:.0}")
            } else {
                format!("{figure:.1}")
            }
        };
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("s")
            .y_desc(unit)
            .light_line_style(TRANSPARENT)
            .label_style(SMALL)
            .axis_desc_style(SMALL);
        mesh.x_label_formatter(&|at| format!("{at:.0}"))
            .y_label_formatter(&whole)
            .draw()?;
        let slice = seconds / SLICES as f64;
        for (name, colour, figures) in all {
            let colour = *colour;
            let points = figures
                .iter()
                .enumerate()
                .map(|(at, figure)| (at as f64 * slice, *figure));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(*name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(3))
                });
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .border_style(TRANSPARENT)
            .draw()?;
        root.present()?;
    }
    Ok(svg)
}

/// Bars with a figure each.
fn bars(title: &str, unit: &str, all: &[(&str, f64)]) -> Result<String, Failed> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDE.0, 60 + 26 * all.len().max(1) as u32))
            .into_drawing_area();
        root.fill(&WHITE)?;
        let most = all.iter().map(|bar| bar.1).fold(0.0, f64::max).max(1e-9) * 1.15;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(130)
            .build_cartesian_2d(0.0..most, (0..all.len().max(1) - 1).into_segmented())?;
        let name = |at: &SegmentValue<usize>| match at {
            SegmentValue::CenterOf(at) => {
                all.get(*at).map_or(String::new(), |bar| bar.0.to_owned())
            }
            _ => String::new(),
        };
        chart
            .configure_mesh()
            .disable_y_mesh()
            .light_line_style(TRANSPARENT)
            .label_style(SMALL)
            .axis_desc_style(SMALL)
            .x_desc(unit)
            .y_labels(all.len().max(1))
            .y_label_formatter(&name)
            .draw()?;
        chart.draw_series(all.iter().enumerate().map(|(at, (_, figure))| {
            let mut bar = Rectangle::new(
                [
                    (0.0, SegmentValue::Exact(at)),
                    (*figure, SegmentValue::Exact(at + 1)),
                ],
                OK.filled(),
            );
            bar.set_margin(3, 3, 0, 0);
            bar
        }))?;
        chart.draw_series(all.iter().enumerate().map(|(at, (_, figure))| {
            Text::new(
                format!(" {figure:.4}"),
                (*figure, SegmentValue::CenterOf(at)),
                ("sans-serif", 12),
            )
        }))?;
        root.present()?;
    }
    Ok(svg)
}

/// Differences with their intervals; left of nought is worse.
fn intervals(all: &[Compared]) -> Result<String, Failed> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDE.0, 70 + 30 * all.len().max(1) as u32))
            .into_drawing_area();
        root.fill(&WHITE)?;
        let most = all
            .iter()
            .map(|one| one.mean.abs() + one.off)
            .fold(0.0, f64::max)
            .max(1e-6)
            * 1.1;
        let mut chart = ChartBuilder::on(&root)
            .caption(
                "Criticality kept: difference to the first, 95% intervals",
                ("sans-serif", 16),
            )
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(130)
            .build_cartesian_2d(-most..most, (0..all.len().max(1) - 1).into_segmented())?;
        let name = |at: &SegmentValue<usize>| match at {
            SegmentValue::CenterOf(at) => all
                .get(*at)
                .map_or(String::new(), |one| one.variant.clone()),
            _ => String::new(),
        };
        chart
            .configure_mesh()
            .disable_y_mesh()
            .light_line_style(TRANSPARENT)
            .label_style(SMALL)
            .axis_desc_style(SMALL)
            .y_labels(all.len().max(1))
            .y_label_formatter(&name)
            .draw()?;
        chart.draw_series(all.iter().enumerate().map(|(at, one)| {
            let y = SegmentValue::CenterOf(at);
            PathElement::new(
                [(one.mean - one.off, y.clone()), (one.mean + one.off, y)],
                OK.stroke_width(4),
            )
        }))?;
        chart.draw_series(all.iter().enumerate().map(|(at, one)| {
            Circle::new((one.mean, SegmentValue::CenterOf(at)), 5, ABORTED.filled())
        }))?;
        root.present()?;
    }
    Ok(svg)
}

/// Part answered well by each server over time; those with nothing to answer are left blank.
fn map(record: &Record, seconds: f64) -> Result<String, Failed> {
    let servers = record.servers.len() / SLICES;
    let rows = servers.clamp(1, ROWS);
    let height = (rows as u32 * 4).clamp(160, 640) + 70;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDE.0, height)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(
                "Servers over time: part answered well (blue all, orange none)",
                ("sans-serif", 16),
            )
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..seconds, 0.0..servers as f64)?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_mesh()
            .x_desc("s")
            .y_desc("server")
            .label_style(SMALL)
            .axis_desc_style(SMALL);
        mesh.x_label_formatter(&|at| format!("{at:.0}"))
            .y_label_formatter(&|at| format!("{at:.0}"))
            .draw()?;
        let slice = seconds / SLICES as f64;
        let each = servers as f64 / rows as f64;
        let mut cells = Vec::new();
        for row in 0..rows {
            let (from, to) = (
                (row as f64 * each) as usize,
                (((row + 1) as f64 * each) as usize).min(servers),
            );
            for at in 0..SLICES {
                let sum = (from..to).fold([0u64; 2], |sum, server| {
                    let [good, bad] = record.servers[server * SLICES + at];
                    [sum[0] + u64::from(good), sum[1] + u64::from(bad)]
                });
                if sum[0] + sum[1] == 0 {
                    continue;
                }
                let part = sum[0] as f64 / (sum[0] + sum[1]) as f64;
                let mix = |from: u8, to: u8| {
                    (f64::from(from) + (f64::from(to) - f64::from(from)) * part) as u8
                };
                let colour = RGBColor(
                    mix(PUSHED.0, OK.0),
                    mix(PUSHED.1, OK.1),
                    mix(PUSHED.2, OK.2),
                );
                let corner = (at as f64 * slice, row as f64 * each);
                cells.push(Rectangle::new(
                    [corner, (corner.0 + slice, corner.1 + each)],
                    colour.filled(),
                ));
            }
        }
        chart.draw_series(cells)?;
        root.present()?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// The page. `kind` says whether the figures are of virtual time or of sockets.
pub fn page(
    kind: &str,
    day: &Day,
    record: &Record,
    split: Option<&BoundComparison>,
    compared: &[Compared],
) -> Result<String, Failed> {
    let seconds = record.slice_ms * SLICES as f64 / 1000.0;
    let each = |figure: fn(&crate::record::Slice) -> f64| {
        record.slices[..SLICES]
            .iter()
            .map(figure)
            .collect::<Vec<f64>>()
    };
    let rate = |figure: fn(&crate::record::Slice) -> f64| {
        each(figure)
            .into_iter()
            .map(|count| count / (record.slice_ms / 1000.0))
            .collect::<Vec<f64>>()
    };
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>coralstep</title><style>body{font-family:sans-serif;\
         max-width:940px;margin:2em auto;color:#222}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;\
         border-bottom:1px solid #ddd}svg{max-width:100%;height:auto}.bad{color:#b00}</style></head><body>",
    );
    write!(
        page,
        "<h1>{}, seed {}</h1><p>{}</p>",
        escape(&day.world),
        day.seed,
        escape(kind)
    )?;
    write!(
        page,
        "<table><tr><th>kept</th><th>requests</th><th>ok</th><th>pushed back</th><th>aborted</th><th>unreached</th>\
         <th>open</th><th>p50 ms</th><th>p99 ms</th><th>breaker turns</th></tr><tr><td>{:.4}</td><td>{}</td><td>{}</td>\
         <td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.1}</td><td>{:.1}</td><td>{}</td></tr></table>",
        day.kept,
        day.requests,
        day.ok,
        day.pushed_back,
        day.aborted,
        day.unreached,
        day.open,
        day.p50_ms,
        day.p99_ms,
        day.breaker_turns
    )?;
    match day.breaches {
        0 => page.push_str("<p>The four rules were checked; none was broken.</p>"),
        count => {
            write!(
                page,
                "<p class=\"bad\">Rules broken {count} times:</p><ul class=\"bad\">"
            )?;
            day.told
                .iter()
                .try_for_each(|told| write!(page, "<li>{}</li>", escape(told)))?;
            page.push_str("</ul>");
        }
    }
    page += &lines(
        "Requests",
        "a second",
        seconds,
        &[
            ("asked for", ASKED, rate(|slice| slice.asked as f64)),
            ("ok", OK, rate(|slice| slice.ok as f64)),
            (
                "pushed back",
                PUSHED,
                rate(|slice| slice.pushed_back as f64),
            ),
            (
                "aborted, unreached",
                ABORTED,
                rate(|slice| (slice.aborted + slice.unreached) as f64),
            ),
        ],
    )?;
    page += &lines(
        "Latency of good answers",
        "ms",
        seconds,
        &[
            ("p99", ABORTED, each(|slice| slice.p99_ms)),
            ("p50", OK, each(|slice| slice.p50_ms)),
        ],
    )?;
    page += &lines(
        "Servers with a breaker not closed, and at a reduced level",
        "servers",
        seconds,
        &[
            ("breaker", ABORTED, each(|slice| f64::from(slice.breakers))),
            ("level", OTHER, each(|slice| f64::from(slice.reduced))),
        ],
    )?;
    page += &map(record, seconds)?;
    let asked: f64 = record
        .slices
        .iter()
        .map(|slice| slice.worth)
        .sum::<f64>()
        .max(1e-9);
    let losses: Vec<(&str, f64)> = LOSSES
        .iter()
        .map(|(loss, name)| (*name, record.losses[*loss as usize] / asked))
        .filter(|bar| bar.1 > 0.0)
        .collect();
    page += &bars(
        "Lost, by cause",
        "part of the criticality asked for",
        &losses,
    )?;
    if let Some(split) = split {
        page += &bars(
            "How far from the best",
            "part of the criticality asked for",
            &[
                ("kept", split.kept),
                ("greedy, knows all", split.greedy),
                ("upper bound", split.bound),
            ],
        )?;
    }
    if !compared.is_empty() {
        page += &intervals(compared)?;
        page.push_str("<ul>");
        compared
            .iter()
            .try_for_each(|one| write!(page, "<li>{}</li>", escape(&one.verdict())))?;
        page.push_str("</ul>");
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

/// Writes a page whole or not at all: a full disk leaves no half of one, and an older page as it was.
pub fn write(path: &Path, page: &str) -> Result<(), String> {
    let fault = |why: std::io::Error| format!("{}: {why}", path.display());
    let mut part = path.as_os_str().to_owned();
    part.push(".part");
    let part = Path::new(&part);
    let written = std::fs::File::create(part).and_then(|mut file| {
        file.write_all(page.as_bytes())?;
        file.sync_all()
    });
    written
        .and_then(|()| std::fs::rename(part, path))
        .map_err(|why| {
            let _ = std::fs::remove_file(part);
            fault(why)
        })
}

#[cfg(test)]
mod tests;
