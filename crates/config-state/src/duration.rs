//! Durations as the protocol writes them: a number and its unit, `ms` or `s`.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum duration in seconds: 366 days.
const MAX_SECONDS: f64 = 366.0 * 86_400.0;

/// Parses a duration such as `1500ms` or `2.5s`. `None` for any other form, a negative number, or over 366 days.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, seconds_per_unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let is_plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds = number.parse::<f64>().ok().filter(|_| is_plain)? * seconds_per_unit;
    (seconds <= MAX_SECONDS).then(|| Duration::from_secs_f64(seconds))
}
