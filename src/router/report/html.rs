//! The burn report as a single HTML page, with an inline SVG plot for each row.

use std::fmt::Write;

use super::burn::{LONG, Row, rate};

/// Width of a plot, in pixels.
const WIDTH: f64 = 360.0;
/// Height of a plot, in pixels.
const HEIGHT: f64 = 60.0;

const HEAD: &str = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
<title>lanedeck: service-level burn</title>\
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}\
th,td{padding:.3em .7em;border-bottom:1px solid #ccc;text-align:right;vertical-align:middle}\
th:nth-child(-n+3),td:nth-child(-n+3),td:last-child{text-align:left}\
.hot{color:#b00;font-weight:bold}svg{background:#f6f6f6}</style>\
<h1>Service-level burn</h1>\
<p>Burn rate is the share of requests that missed their objective, over the share that may. \
The bars are the burn rate of each of the last 60 minutes, newest on the right; the line is 1.</p>";

/// Formats the report as an HTML page.
pub fn page(rows: &[Row]) -> String {
    let mut page = String::from(HEAD);
    page.push_str(
        "<table><tr><th>customer<th>class<th>serves<th>requests<th>ran<th>billed\
         <th>first token ms p50/p95/p99<th>between tokens ms p50/p95/p99\
         <th>burn 5 min<th>burn 1 h<th>last hour<th>refused</tr>",
    );
    for row in rows {
        page.push_str(&table_row(row));
    }
    page.push_str("</table></html>\n");
    page
}

fn table_row(row: &Row) -> String {
    let key = &row.key;
    let refused: Vec<String> = row
        .refused
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    let join_percentiles = |values: [u64; 3]| values.map(|value| value.to_string()).join(" / ");
    let mut text = String::new();
    let _ = write!(
        text,
        "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
        escape(&key.customer),
        escape(&key.class),
        escape(&key.serves),
        row.requests,
        row.ran,
        row.billed,
        join_percentiles(row.first_ms),
        join_percentiles(row.between_ms),
        burn_cell(row.burn_short),
        burn_cell(row.burn_long),
        plot(row),
        escape(&refused.join(", ")),
    );
    text
}

/// A burn rate, highlighted if it is above 1.
fn burn_cell(rate: f64) -> String {
    let class = if rate > 1.0 { " class=\"hot\"" } else { "" };
    format!("<span{class}>{rate:.2}</span>")
}

/// A bar for the burn rate of each minute, and a line at 1.
fn plot(row: &Row) -> String {
    let rates = row.minutes.iter().map(|minute| {
        let single = std::slice::from_ref(minute);
        (minute.ago, rate(single, row.objective, LONG))
    });
    let rates: Vec<(u64, f64)> = rates.collect();
    let top = rates.iter().map(|(_, rate)| *rate).fold(2.0, f64::max);
    let step = WIDTH / LONG as f64;
    let mut svg = format!("<svg width=\"{WIDTH}\" height=\"{HEIGHT}\">");
    for (ago, rate) in rates.iter().filter(|(ago, _)| *ago < LONG) {
        let height = (rate / top * HEIGHT).max(1.0);
        let x = WIDTH - (*ago as f64 + 1.0) * step;
        let color = if *rate > 1.0 { "#b00" } else { "#393" };
        let _ = write!(
            svg,
            "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"{color}\">\
             <title>{ago} min ago: {rate:.2}</title></rect>",
            HEIGHT - height,
            step - 1.0,
        );
    }
    let line = HEIGHT - HEIGHT / top;
    let _ = write!(
        svg,
        "<line x1=\"0\" x2=\"{WIDTH}\" y1=\"{line:.1}\" y2=\"{line:.1}\" stroke=\"#888\"/></svg>"
    );
    svg
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
