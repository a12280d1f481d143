use super::*;

#[test]
fn an_unambiguous_head_is_accepted() {
    for (lines, framing) in [
        ("", Framing::Length(0)),
        ("Content-Length: 65536\r\n", Framing::Length(65_536)),
        ("content-length:0\r\n", Framing::Length(0)),
        ("TRANSFER-ENCODING: Chunked\r\n", Framing::Chunked),
    ] {
        let text = head_with(lines);
        let header_fields = text.lines().filter(|line| line.contains(": ") || line.contains(":0")).count();
        let expected = RequestHead { length: text.len(), framing, header_fields };
        assert_eq!(parse_request_head(text.as_bytes()), Ok(Some(expected)), "{lines:?}");
    }
    assert_eq!(parse_request_head(b"POST /api HTTP/1.1\r\nContent-Le"), Ok(None));
}

#[test]
fn an_ambiguous_or_invalid_head_is_an_error() {
    for (lines, error) in [
        ("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", HeadError::AmbiguousFraming),
        ("transfer-encoding: chunked\r\ncontent-length: 4\r\n", HeadError::AmbiguousFraming),
        ("Content-Length: 4\r\nContent-Length: 4\r\n", HeadError::AmbiguousFraming),
        ("Content-Length: 4, 4\r\n", HeadError::InvalidLength),
        ("Content-Length: -4\r\n", HeadError::InvalidLength),
        ("Content-Length: +4\r\n", HeadError::InvalidLength),
        ("Content-Length: ten\r\n", HeadError::InvalidLength),
        ("Content-Length:\r\n", HeadError::InvalidLength),
        ("Content-Length: 99999999999999999999\r\n", HeadError::InvalidLength),
        ("Transfer-Encoding: gzip, chunked\r\n", HeadError::AmbiguousFraming),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", HeadError::AmbiguousFraming),
        ("Transfer-Encoding: identity\r\n", HeadError::AmbiguousFraming),
        ("Transfer-Encoding : chunked\r\n", HeadError::Syntax(httparse::Error::HeaderName)),
        ("no colon\r\n", HeadError::Syntax(httparse::Error::HeaderName)),
    ] {
        assert_eq!(parse_request_head(head_with(lines).as_bytes()), Err(error), "{lines:?}");
    }
    let chunked_http_1_0 = b"POST /api HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(parse_request_head(chunked_http_1_0), Err(HeadError::ChunksBeforeHttp11));
    let not_http = parse_request_head(b"\0\0\0\0");
    assert_eq!(not_http, Err(HeadError::Syntax(httparse::Error::Token)));
}

fn head_with(lines: &str) -> String {
    format!("POST /api HTTP/1.1\r\nHost: b\r\n{lines}\r\n")
}
