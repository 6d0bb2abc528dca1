//! Tests the regression over measured points.

use auburnlug_bench::slopes::{Line, fit_line, write_fits};

fn fit_output(text: &str) -> String {
    let mut out = Vec::new();
    write_fits(text.as_bytes(), &mut out).expect("points");
    String::from_utf8(out).expect("text")
}

/// Guards against a line through all repeats instead of medians, which one outlier would tilt.
#[test]
fn the_line_goes_through_the_medians() {
    let text = "m 10 21\nm 20 41\nm 10 20\nm 10 900\nm 20 1\nm 20 41\nm 30 61\n";
    let out = fit_output(text);
    assert!(out.contains("m_slope=2.000000\n"), "{out}");
    assert!(out.contains("m_base=1.000\n"), "{out}");
    assert!(out.contains("m_fit=1.0000\n"), "{out}");
    assert!(out.contains("m_at_10_range=20.000..900.000\n"), "{out}");
}

/// Guards against a division by zero that prints a slope where there is none.
#[test]
fn one_value_of_x_has_no_line() {
    assert_eq!(fit_line(&[(1.0, 2.0), (1.0, 3.0)]), None);
    assert_eq!(fit_line(&[]), None);
    assert!(!fit_output("m 1 2\nm 1 3\n").contains("slope"));
}

/// Guards against a coefficient of determination of 1 for points far from the line.
#[test]
fn r_squared_falls_with_the_distance_from_the_line() {
    let Some(Line { r_squared, .. }) = fit_line(&[(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)]) else {
        panic!("no line");
    };
    assert!(r_squared < 0.01);
}

/// Guards against input lines that are silently ignored.
#[test]
fn malformed_input_line_is_an_error() {
    for text in ["m 1\n", "m 1 x\n", "m 1 2 3\n"] {
        assert!(write_fits(text.as_bytes(), Vec::new()).is_err(), "{text:?}");
    }
}
