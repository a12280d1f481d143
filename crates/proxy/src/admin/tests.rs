use hyper::Method;

use super::request::{AdminRequest, MAX_NAME_BYTES};

/// Returns the parsed request, or the status of its rejection.
fn parse(method: &str, path: &str) -> Result<AdminRequest, u16> {
    let method = Method::from_bytes(method.as_bytes()).expect("the method is valid");
    let uri = path.parse().expect("the path is valid");
    AdminRequest::parse(&method, &uri).map_err(|error| error.status().as_u16())
}

#[test]
fn only_documented_requests_are_accepted() {
    assert_eq!(parse("GET", "/api/ready"), Ok(AdminRequest::Ready));
    assert_eq!(parse("POST", "/api/evacuate"), Ok(AdminRequest::Evacuate));
    assert_eq!(parse("POST", "/api/rejoin"), Ok(AdminRequest::Rejoin));
    assert_eq!(parse("POST", "/api/exclude/s-5be2a07c"), Ok(AdminRequest::Exclude("s-5be2a07c".to_owned())));
    assert_eq!(
        parse("POST", "/api/include/10.0.0.1%3a80"),
        Ok(AdminRequest::Include("10.0.0.1:80".to_owned()))
    );
    for (method, path, status) in [
        ("POST", "/api/ready", 405),
        ("HEAD", "/api/ready", 405),
        ("GET", "/api/exclude/s-1", 405),
        ("DELETE", "/api/include/s-1", 405),
        ("GET", "/api/evacuate", 405),
        ("POST", "/api", 404),
        ("POST", "/api/", 404),
        ("POST", "/api/exclude", 404),
        ("POST", "/api/Exclude/s-1", 404),
        ("POST", "/api/evacuate/", 404),
        ("POST", "/api/exclude/", 400),
        ("POST", "/api/exclude/s-1/", 400),
        ("POST", "/api/exclude/%", 400),
        ("POST", "/api/exclude/%4", 400),
        ("POST", "/api/exclude/%zz", 400),
        ("POST", "/api/exclude/%+4", 400),
        ("POST", "/api/exclude/%ff", 400),
        ("POST", "/api/exclude/%0a", 400),
        ("POST", "/api/exclude/s-1?now", 400),
        ("POST", "/api/rejoin?", 400),
    ] {
        assert_eq!(parse(method, path), Err(status), "{method} {path}");
    }
    assert_eq!(parse("POST", &format!("/api/exclude/{}", "s".repeat(MAX_NAME_BYTES + 1))), Err(400));
}
