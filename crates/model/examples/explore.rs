//! Explores all models within their bounds and prints how many states there are.

use std::time::Instant;

use chicorycroft_model::{
    bounds,
    ownership::owner_model,
    rates::rate_model,
    search::SearchReport,
    slots::slot_model,
    versions::version_model, //
};

fn print(
    title: &str,
    bound: &impl std::fmt::Debug,
    explore: impl FnOnce() -> SearchReport,
) -> bool {
    let begun = Instant::now();
    let report = explore();
    println!(
        "model={title} states={} transitions={} depth={} seconds={:.1} bound=\"{bound:?}\"",
        report.states,
        report.transitions,
        report.depth,
        begun.elapsed().as_secs_f64()
    );
    match &report.counter_example {
        Some(example) => println!("{example}"),
        None => println!("all invariants hold"),
    }
    report.counter_example.is_none()
}

fn main() -> std::process::ExitCode {
    let bounds = match std::env::args().nth(1).as_deref() {
        Some("small") => bounds::SMALL,
        _ => bounds::FULL,
    };
    let only = std::env::args().nth(2);
    let is_wanted = |title: &str| only.as_deref().is_none_or(|only| only == title);
    let holds = [
        !is_wanted("rates")
            || print("rates", &bounds.rates, || {
                rate_model(bounds.rates, None).explore()
            }),
        !is_wanted("versions")
            || print("versions", &bounds.versions, || {
                version_model(bounds.versions, None).explore()
            }),
        !is_wanted("ownership")
            || print("ownership", &bounds.owners, || {
                owner_model(bounds.owners, None).explore()
            }),
        !is_wanted("slots")
            || print("slots", &bounds.slots, || {
                slot_model(bounds.slots, None).explore()
            }),
    ];
    match holds.iter().all(|holds| *holds) {
        true => std::process::ExitCode::SUCCESS,
        false => std::process::ExitCode::FAILURE,
    }
}
