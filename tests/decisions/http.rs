//! The HTTP server and client within their bounds.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use shelfhoist::http::{
    CallError, Client, ParsedRequest, Response, ServerLimits, parse_request, serve,
};
use shelfhoist::net::{Fabric, Net};

#[test]
fn http_requests_are_read_within_bounds() {
    let long = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(9000));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(60));
    let refused: &[(&str, u16)] = &[
        ("\u{1}\u{2}\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (
            "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            400,
        ),
        ("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 400),
        (
            "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
            400,
        ),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        (&long, 431),
        (&many, 431),
    ];
    for (text, status) in refused {
        match parse_request(text.as_bytes()) {
            Err(error) => assert_eq!(error.status, *status, "{text:.60}"),
            other => panic!("{text:.60}: {other:?}"),
        }
    }
    let text = "POST /a?b=c HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhiGET";
    for cut in 0..text.len() - 3 {
        assert!(
            matches!(parse_request(&text.as_bytes()[..cut]), Ok(None)),
            "{cut}"
        );
    }
    match parse_request(text.as_bytes()) {
        Ok(Some(ParsedRequest {
            request,
            len,
            keep_alive,
        })) => {
            assert_eq!(
                (
                    request.path.as_str(),
                    request.query.as_str(),
                    request.body.as_slice()
                ),
                ("/a", "b=c", &b"hi"[..])
            );
            assert_eq!((len, keep_alive), (text.len() - 3, false));
        }
        other => panic!("{other:?}"),
    }
}

/// One controller may be left with every worker: connections for orders are
/// bounded, the longest idle goes first, and one in use is never closed.
#[test]
fn order_connections_are_bounded() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let fabric = Rc::new(Fabric::default());
        let at = |n: usize| -> SocketAddrV4 { format!("10.1.0.{n}:1").parse().expect("address") };
        let net = |n| Net::Simulated(fabric.clone(), at(n));
        let limits = ServerLimits {
            max_connections: 8,
            idle_timeout: Duration::from_secs(60),
            request_timeout: Duration::from_secs(5),
            is_preferred: |r| r.path == "/worker",
        };
        let handler: shelfhoist::http::Handler = Rc::new(|r| {
            Box::pin(async move {
                if r.path == "/slow" {
                    tokio::time::sleep(Duration::from_secs(2)).await;
                }
                let mut answer = Response::empty(200);
                if r.path == "/long" {
                    answer.body.resize(5000, b' ');
                }
                answer
            })
        });
        for n in 1..=5 {
            let listener = net(n).listen(at(n)).await.expect("listen");
            tokio::task::spawn_local(serve(listener, limits, handler.clone()));
        }
        let client = Rc::new(Client::new(net(9), Duration::from_secs(30)).with_limits(3, 4096));
        let limit = Duration::from_secs(4);
        for n in [1, 2, 3, 4, 5, 1] {
            let answer = client.call(at(n), "GET", "/worker", None, limit).await;
            assert_eq!(answer.expect("answer").status, 200);
            assert!(client.connections() <= 3);
        }
        assert_eq!(client.connections(), 3);
        // All in use: the next is not sent, and says so.
        let slow: Vec<_> = (1..=3)
            .map(|n| {
                let client = client.clone();
                tokio::task::spawn_local(async move {
                    client.call(at(n), "GET", "/slow", None, limit).await
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let refused = client.call(at(4), "GET", "/worker", None, limit).await;
        assert!(matches!(refused, Err(CallError::NotSent(_))), "{refused:?}");
        for call in slow {
            assert_eq!(call.await.expect("task").expect("answer").status, 200);
        }
        // An answer beyond the bound is told from one that never came.
        let long = client.call(at(1), "GET", "/long", None, limit).await;
        assert!(matches!(long, Err(CallError::TooLarge)), "{long:?}");
        // A crowded server lets go of those that may come back, not of workers; one
        // that is nearly full lets go of workers, too, which may be more than it has
        // connections.
        let workers = Client::new(net(9), Duration::from_secs(30));
        let users = Client::new(net(9), Duration::from_secs(30));
        let mut held = Vec::new();
        for _ in 0..6 {
            let client = Client::new(net(9), Duration::from_secs(30));
            let answer = client.call(at(5), "GET", "/worker", None, limit).await;
            assert_eq!(answer.expect("answer").status, 200);
            assert_eq!(client.connections(), 1);
            held.push(client);
        }
        let user = users.call(at(5), "GET", "/user", None, limit).await;
        assert_eq!(user.expect("answer").status, 200);
        assert_eq!(users.connections(), 0, "kept by a crowded server");
        let worker = workers.call(at(5), "GET", "/worker", None, limit).await;
        assert_eq!(worker.expect("answer").status, 200);
        assert_eq!(workers.connections(), 1);
        let late = Client::new(net(9), Duration::from_secs(30));
        for _ in 0..3 {
            let answer = late.call(at(5), "GET", "/worker", None, limit).await;
            assert_eq!(answer.expect("answer").status, 200, "shut out");
            assert_eq!(late.connections(), 0, "kept by a nearly full server");
        }
    });
}
