//! Lines through measured points.

use auburnlug_bench::slopes::{Line, fit, line};

fn fitted(text: &str) -> String {
    let mut out = Vec::new();
    fit(text.as_bytes(), &mut out).expect("points");
    String::from_utf8(out).expect("text")
}

/// Guards against a slope through single repeats, where one outlier would turn the line.
#[test]
fn the_line_goes_through_the_medians() {
    let text = "m 10 21\nm 20 41\nm 10 20\nm 10 900\nm 20 1\nm 20 41\nm 30 61\n";
    let out = fitted(text);
    assert!(out.contains("m_slope=2.000000\n"), "{out}");
    assert!(out.contains("m_base=1.000\n"), "{out}");
    assert!(out.contains("m_fit=1.0000\n"), "{out}");
    assert!(out.contains("m_at_10_range=20.000..900.000\n"), "{out}");
}

/// Guards against a division by zero that prints a slope where there is none.
#[test]
fn one_value_of_x_has_no_line() {
    assert_eq!(line(&[(1.0, 2.0), (1.0, 3.0)]), None);
    assert_eq!(line(&[]), None);
    assert!(!fitted("m 1 2\nm 1 3\n").contains("slope"));
}

/// Guards against a fit of 1 for points that are far from the line.
#[test]
fn the_fit_falls_with_the_distance_from_the_line() {
    let Some(Line { fit, .. }) = line(&[(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)]) else {
        panic!("no line");
    };
    assert!(fit < 0.01);
}

/// Guards against a point that is silently left out.
#[test]
fn a_line_of_another_form_is_an_error() {
    for text in ["m 1\n", "m 1 x\n", "m 1 2 3\n"] {
        assert!(fit(text.as_bytes(), Vec::new()).is_err(), "{text:?}");
    }
}
