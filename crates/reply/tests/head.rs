//! Heads that are believed, and heads that are not.

use chestnut_reply::{MalformedHead, check_head};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

fn check(status: u16, fields: &[(&'static str, &str)]) -> Result<(), MalformedHead> {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        let value = HeaderValue::from_str(value).unwrap();
        headers.append(HeaderName::from_static(name), value);
    }
    check_head(StatusCode::from_u16(status).unwrap(), &headers)
}

#[test]
fn heads_of_each_framing_are_believed() {
    for status in [200, 206, 302, 404, 503, 599] {
        assert_eq!(check(status, &[]), Ok(()));
        assert_eq!(check(status, &[("content-length", "11")]), Ok(()));
        for encoding in ["chunked", "Chunked", " chunked "] {
            assert_eq!(check(status, &[("transfer-encoding", encoding)]), Ok(()));
        }
    }
    assert_eq!(check(204, &[]), Ok(()));
    assert_eq!(check(204, &[("content-length", "0")]), Ok(()));
    // The length of the body that another request would get.
    assert_eq!(check(304, &[("content-length", "11")]), Ok(()));
}

#[test]
fn statuses_that_end_no_request_are_malformed() {
    for status in [100, 101, 103, 199, 600, 999] {
        let expected = MalformedHead::Status(StatusCode::from_u16(status).unwrap());
        assert_eq!(check(status, &[]), Err(expected));
    }
}

#[test]
fn other_encodings_are_malformed() {
    for encoding in ["", "chunke", "identity", "gzip, chunked", "chunked, chunked"] {
        let fields = [("transfer-encoding", encoding)];
        assert_eq!(check(200, &fields), Err(MalformedHead::TransferEncoding));
    }
    let twice = [("transfer-encoding", "chunked"); 2];
    assert_eq!(check(200, &twice), Err(MalformedHead::TransferEncoding));
}

#[test]
fn lengths_that_are_no_single_number_are_malformed() {
    for length in ["", "+11", "11x", "11, 11", "11 11"] {
        let fields = [("content-length", length)];
        assert_eq!(check(200, &fields), Err(MalformedHead::Length));
    }
    let twice = [("content-length", "11"); 2];
    assert_eq!(check(200, &twice), Err(MalformedHead::Length));
}

#[test]
fn contradicting_lengths_are_malformed() {
    let both = [("transfer-encoding", "chunked"), ("content-length", "11")];
    assert_eq!(check(200, &both), Err(MalformedHead::TwoLengths));
    for field in [both[0], both[1]] {
        assert_eq!(check(204, &[field]), Err(MalformedHead::UnexpectedBody));
    }
}
