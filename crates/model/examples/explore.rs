//! Explores all models within their bounds and prints the numbers of states.
//!
//! With `small` as the first argument, the bounds of the tests are used. The second argument selects a
//! single model.

use std::{
    thread,
    time::Instant, //
};

use chicorycroft_model::{
    bounds,
    ownership::owner_model,
    rates::rate_model,
    search::SearchReport,
    slots::slot_model,
    versions::version_model, //
};

type ModelSearch = Box<dyn Fn() -> SearchReport + Send>;

/// Explores a model, prints the result and returns `true` if all invariants hold.
fn explore_and_print(title: &str, bound: &str, explore: &dyn Fn() -> SearchReport) -> bool {
    let start = Instant::now();
    let report = explore();
    let seconds = start.elapsed().as_secs_f64();
    let (states, transitions, depth) = (report.states, report.transitions, report.depth);
    println!(
        "model={title} states={states} transitions={transitions} depth={depth} seconds={seconds:.1} bound=\"{bound}\""
    );
    if let Some(example) = &report.counter_example {
        println!("model={title} does not hold:\n{example}");
    }
    report.counter_example.is_none()
}

fn main() -> std::process::ExitCode {
    let bounds = match std::env::args().nth(1).as_deref() {
        Some("small") => bounds::SMALL,
        _ => bounds::FULL,
    };
    let selected = std::env::args().nth(2);
    let is_selected = |title: &str| selected.as_deref().is_none_or(|selected| selected == title);
    let models: [(&str, String, ModelSearch); 5] = [
        (
            "rates",
            format!("{:?}", bounds.rates),
            Box::new(move || rate_model(bounds.rates, None).explore()),
        ),
        (
            "versions",
            format!("{:?}", bounds.versions),
            Box::new(move || version_model(bounds.versions, None).explore()),
        ),
        (
            "owners",
            format!("{:?}", bounds.owners),
            Box::new(move || owner_model(bounds.owners, None).explore()),
        ),
        (
            "owner_pairs",
            format!("{:?}", bounds.owner_pairs),
            Box::new(move || owner_model(bounds.owner_pairs, None).explore()),
        ),
        (
            "slots",
            format!("{:?}", bounds.slots),
            Box::new(move || slot_model(bounds.slots, None).explore()),
        ),
    ];
    let searches: Vec<_> = models
        .into_iter()
        .filter(|(title, ..)| is_selected(title))
        .map(|(title, bound, explore)| {
            thread::spawn(move || explore_and_print(title, &bound, &explore))
        })
        .collect();
    let holds: Vec<bool> = searches
        .into_iter()
        .map(|search| search.join().unwrap_or(false))
        .collect();
    match holds.iter().all(|holds| *holds) {
        true => std::process::ExitCode::SUCCESS,
        false => std::process::ExitCode::FAILURE,
    }
}
