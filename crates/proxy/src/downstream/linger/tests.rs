use super::*;

#[test]
fn an_error_response_has_its_reason_phrase_and_closes_the_connection() {
    for (status, line) in [
        (StatusCode::BAD_REQUEST, "400 Bad Request"),
        (StatusCode::REQUEST_TIMEOUT, "408 Request Timeout"),
        (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "431 Request Header Fields Too Large"),
    ] {
        let expected = format!("HTTP/1.1 {line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(error_response(status), expected);
    }
}

#[test]
fn an_error_response_that_refuses_a_request_says_why() {
    let expected =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 7\r\n\r\nno room";
    assert_eq!(error_response(StatusCode::SERVICE_UNAVAILABLE), expected);
}
