use super::*;

fn asked(method: &str, path: &str) -> Result<AdminCall, u16> {
    let method = Method::from_bytes(method.as_bytes()).expect("a method");
    order(&method, &path.parse().expect("a path")).map_err(|(status, ..)| status.as_u16())
}

#[test]
fn only_the_calls_of_the_page_are_orders() {
    assert_eq!(asked("GET", "/api/ready"), Ok(AdminCall::Ready));
    assert_eq!(asked("POST", "/api/evacuate"), Ok(AdminCall::Evacuate));
    assert_eq!(asked("POST", "/api/rejoin"), Ok(AdminCall::Rejoin));
    assert_eq!(asked("POST", "/api/exclude/s-5be2a07c"), Ok(AdminCall::Exclude("s-5be2a07c".to_owned())));
    assert_eq!(asked("POST", "/api/include/10.0.0.1%3a80"), Ok(AdminCall::Include("10.0.0.1:80".to_owned())));
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
        assert_eq!(asked(method, path), Err(status), "{method} {path}");
    }
    assert_eq!(asked("POST", &format!("/api/exclude/{}", "s".repeat(MOST_NAME + 1))), Err(400));
}
