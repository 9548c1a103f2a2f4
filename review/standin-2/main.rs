//! Runs one case of the review: `case NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    match cases::run(&name, &folder, has_trouble) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
