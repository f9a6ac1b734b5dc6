//! Measures the cost of building and checking a forwarded request: `cargo run --release -p pinerelay-proxy --example boundary`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::Request;
use pinerelay_config_state::resources::Tenant;
use pinerelay_proxy::forwarded_request::{BodyFraming, ForwardedRequest, ReceivedRequest};
use pinerelay_proxy::request_head::{RequestHead, DEADLINE, EXPECT_SERVER};

const ROUNDS: u32 = 200_000;

fn received() -> Parts {
    let request = Request::builder()
        .method("POST")
        .uri("/lepu270/2f?page=4")
        .header("host", "jepu9.example")
        .header("x-request-id", "9c41d07be2a35f68")
        .header("x-deadline-ms", "1000")
        .header("x-credential", "xd9dnn2ctnfzs989anu6")
        .header("content-type", "application/json")
        .header("content-length", "12000");
    request.body(()).expect("a request").into_parts().0
}

fn main() {
    let body = Bytes::from(vec![7; 12_000]);
    let keys = vec!["wsjnbanfqasnmgkcuyj8".into(), "xd9dnn2ctnfzs989anu6".into()];
    let tenant =
        Arc::new(Tenant { name: "yefi830".into(), api_keys: keys, priority: None, rate: 94.0, burst: 94.0 });
    let parts = received();
    let head = RequestHead::parse(&parts).expect("a head");
    let frame = BodyFraming::Length(body.len() as u64);
    let new =
        || ReceivedRequest::new(parts.method.clone(), &head, Some(&tenant), Duration::from_secs(1), frame);
    let time = |what: &str, run: &dyn Fn()| {
        let begun = Instant::now();
        (0..ROUNDS).for_each(|_| run());
        println!("{what}: {:.0} ns a request", begun.elapsed().as_nanos() as f64 / f64::from(ROUNDS));
    };
    let server = HeaderValue::from_static("i-7f3a91c2");
    time("headers: one copy and two inserts", &|| {
        let mut headers = parts.headers.clone();
        headers.insert(DEADLINE, HeaderValue::from(900_u64));
        headers.insert(EXPECT_SERVER, server.clone());
        black_box(headers);
    });
    time("record, build and check", &|| {
        let forwarded = ForwardedRequest::new(new().expect("received"), parts.headers.clone());
        let request = forwarded.attempt(body.clone().into(), server.clone(), 900);
        assert!(black_box(request).is_ok());
    });
    let received = new().expect("received");
    let forwarded = ForwardedRequest::new(received.clone(), parts.headers.clone());
    let request = forwarded.attempt(body.clone().into(), server.clone(), 900);
    let request = request.map_err(|rejected| rejected.violation).expect("no violation");
    time("check only", &|| assert!(black_box(received.check(black_box(&request))).is_ok()));
}
