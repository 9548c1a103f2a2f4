//! Paths that a target could interpret as those of another route.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::{
    prelude::*,
    routes::RouteError, //
};

fn table() -> RouteTable {
    let mut table = RouteTable::new();
    for (id, prefix) in [("open", "/"), ("admin", "/admin")] {
        let record = RouteRecord {
            id: RouteId::new(id).unwrap(),
            prefix: prefix.into(),
            service: ServiceId::new("rate").unwrap(),
            methods: Default::default(),
            access: if id == "open" {
                RouteAccess::Open
            } else {
                RouteAccess::AnyTeam
            },
            idempotency: IdempotencyRule::ByMethod,
            deadline: None,
        };
        table.add(record).unwrap();
    }
    table
}

fn find(path: &str) -> Result<String, RouteError> {
    let method = RequestMethod::new("GET").unwrap();
    let table = table();
    table.find(&method, path).map(|route| route.id.to_string())
}

/// Guards against a path of an open route that a target resolves to a protected one.
#[test]
fn ambiguous_path_is_refused() {
    for path in [
        "/open/../admin",
        "/./admin",
        "/open/..",
        "/open/%2e%2e/admin",
        "/open/.%2E/admin",
        "/open%2F..%2fadmin",
        "/open%5c..%5Cadmin",
        "/open\\..\\admin",
        "//admin",
        "/open//admin",
        "/open/..;/admin",
        "/admin;x=1",
        "/admin%00",
        "/admin%0d%0a",
        "/%252e%252e/admin",
        "/admin%3fx",
        "/%zz",
        "/admin%2",
        "/admin\u{e9}",
        "admin",
        "",
    ] {
        assert_eq!(find(path), Err(RouteError::BadPath), "{path}");
    }
}

/// Guards against percent-encoded letters that bypass a protected route.
#[test]
fn encoded_letters_match_the_same_route() {
    for path in [
        "/admin",
        "/%61dmin",
        "/%61%64min/x",
        "/admin/",
        "/admin/a.b/..c",
    ] {
        assert_eq!(find(path).as_deref(), Ok("admin"), "{path}");
    }
    for path in ["/", "/x", "/administrator", "/x%20y"] {
        assert_eq!(find(path).as_deref(), Ok("open"), "{path}");
    }
}
