//! Limits of the HTTP parser, server and client.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use shelfhoist::http::{
    BODY_LIMIT, CallError, Client, ParsedRequest, Response, ServerLimits, parse_request, serve,
};
use shelfhoist::net::{Net, SimulatedNetwork};

#[test]
fn request_parser_enforces_limits() {
    let long_header = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(9000));
    let many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(60));
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
        (&long_header, 431),
        (&many_headers, 431),
    ];
    for (text, status) in refused {
        match parse_request(text.as_bytes(), BODY_LIMIT) {
            Err(error) => assert_eq!(error.status, *status, "{text:.60}"),
            other => panic!("{text:.60}: {other:?}"),
        }
    }
    let text = "POST /a?b=c HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhiGET";
    for length in 0..text.len() - 3 {
        assert!(
            matches!(
                parse_request(&text.as_bytes()[..length], BODY_LIMIT),
                Ok(None)
            ),
            "{length} bytes"
        );
    }
    match parse_request(text.as_bytes(), BODY_LIMIT) {
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

/// A single remaining controller may own all workers, so its connections for direct commands are
/// limited. At the limit, the connection that has been idle longest is closed. A connection in
/// use is never closed.
#[test]
fn clients_and_servers_limit_open_connections() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let simulated_network = Rc::new(SimulatedNetwork::default());
        let address =
            |n: usize| -> SocketAddrV4 { format!("10.1.0.{n}:1").parse().expect("address") };
        let network = |n| Net::Simulated(simulated_network.clone(), address(n));
        let limits = ServerLimits {
            max_connections: 8,
            max_body_bytes: BODY_LIMIT,
            idle_timeout: Duration::from_secs(60),
            request_timeout: Duration::from_secs(5),
            is_preferred: |request| request.path == "/worker",
        };
        let handler: shelfhoist::http::Handler = Rc::new(|request| {
            Box::pin(async move {
                if request.path == "/slow" {
                    tokio::time::sleep(Duration::from_secs(2)).await;
                }
                let mut answer = Response::empty(200);
                if request.path == "/long" {
                    answer.body.resize(5000, b' ');
                }
                answer
            })
        });
        for n in 1..=5 {
            let listener = network(n).listen(address(n)).await.expect("listen");
            tokio::task::spawn_local(serve(listener, limits, handler.clone()));
        }
        let client = Rc::new(Client::new(network(9), Duration::from_secs(30)).with_limits(3, 4096));
        let timeout = Duration::from_secs(4);
        for n in [1, 2, 3, 4, 5, 1] {
            let answer = client
                .call(address(n), "GET", "/worker", None, timeout)
                .await;
            assert_eq!(answer.expect("answer").status, 200);
            assert!(client.connections() <= 3);
        }
        assert_eq!(client.connections(), 3);
        // All connections are in use: the next request fails with `NotSent`.
        let slow_calls: Vec<_> = (1..=3)
            .map(|n| {
                let client = client.clone();
                tokio::task::spawn_local(async move {
                    client.call(address(n), "GET", "/slow", None, timeout).await
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let refused = client
            .call(address(4), "GET", "/worker", None, timeout)
            .await;
        assert!(matches!(refused, Err(CallError::NotSent(_))), "{refused:?}");
        for call in slow_calls {
            assert_eq!(call.await.expect("task").expect("answer").status, 200);
        }
        // A response that is too large is distinguished from a missing one.
        let too_large = client.call(address(1), "GET", "/long", None, timeout).await;
        assert!(
            matches!(too_large, Err(CallError::TooLarge)),
            "{too_large:?}"
        );
        // A crowded server closes users' connections after each answer, but keeps those of
        // workers. A nearly full server also closes workers' connections after each answer,
        // because there may be more workers than the server can keep connections.
        let worker_client = Client::new(network(9), Duration::from_secs(30));
        let user_client = Client::new(network(9), Duration::from_secs(30));
        let mut clients = Vec::new();
        for _ in 0..6 {
            let client = Client::new(network(9), Duration::from_secs(30));
            let answer = client
                .call(address(5), "GET", "/worker", None, timeout)
                .await;
            assert_eq!(answer.expect("answer").status, 200);
            assert_eq!(client.connections(), 1);
            clients.push(client);
        }
        let user = user_client
            .call(address(5), "GET", "/user", None, timeout)
            .await;
        assert_eq!(user.expect("answer").status, 200);
        assert_eq!(
            user_client.connections(),
            0,
            "a crowded server kept the connection open"
        );
        let worker = worker_client
            .call(address(5), "GET", "/worker", None, timeout)
            .await;
        assert_eq!(worker.expect("answer").status, 200);
        assert_eq!(worker_client.connections(), 1);
        let late_worker = Client::new(network(9), Duration::from_secs(30));
        for _ in 0..3 {
            let answer = late_worker
                .call(address(5), "GET", "/worker", None, timeout)
                .await;
            assert_eq!(
                answer.expect("answer").status,
                200,
                "a nearly full server refused a worker"
            );
            assert_eq!(
                late_worker.connections(),
                0,
                "a nearly full server kept the connection open"
            );
        }
    });
}
